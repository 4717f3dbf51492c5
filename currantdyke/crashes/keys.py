"""Keys of a request that may be the reason why it crashes endpoints."""

from collections.abc import Iterable

import xxhash

__all__ = ["is_request_key", "request_key", "request_keys"]

PART_PREFIX = "part:"
REQUEST_PREFIX = "request:"


def request_keys(
    *, target: bytes, key: str | None, body: bytes, parts: Iterable[bytes] = ()
) -> frozenset[str]:
    """Return the keys of a request: the parts that it may share, and its hash.

    Parameters
    ----------
    key : str or None
        The caller's workspace key.
    parts : iterable of bytes
        Ids of the parts of the prompt, in order. The last one belongs to the request
        itself.

    Examples
    --------
    >>> keys = request_keys(target=b"/", key="k", body=b"", parts=(b"AB", b"cd"))
    >>> sorted(key for key in keys if key.startswith("part:"))
    ['part:ab']
    >>> request_keys(target=b"/a", key="b", body=b"c") == request_keys(
    ...     target=b"/", key="ab", body=b"c"
    ... )
    False
    """
    hasher = xxhash.xxh64()
    for field in (target, (key or "").encode(), body):
        hasher.update(b"%d:" % len(field))
        hasher.update(field)
    shared = list(parts)[:-1]
    keys = {PART_PREFIX + part.decode("latin-1").lower() for part in shared}
    return frozenset(keys | {request_key(hasher.hexdigest())})


def request_key(fingerprint: str) -> str:
    """Return the key of one request and its repeats."""
    return REQUEST_PREFIX + fingerprint


def is_request_key(key: str) -> bool:
    """Whether a key is that of one request and its repeats."""
    return key.startswith(REQUEST_PREFIX)
