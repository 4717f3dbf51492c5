"""Digests of sequences of byte strings."""

import hashlib

__all__ = ["digest_of"]


def digest_of(*parts: bytes, size: int) -> bytes:
    """Return the BLAKE2b digest of byte strings.

    Each part is preceded by its length, so that the same bytes split into different
    parts have a different digest.

    Parameters
    ----------
    *parts : bytes
        The byte strings, in order.
    size : int
        Length of the digest in bytes.

    Examples
    --------
    >>> digest_of(b"a", b"bc", size=8) == digest_of(b"ab", b"c", size=8)
    False
    """
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
