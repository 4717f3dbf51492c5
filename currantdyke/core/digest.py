"""Digests of several parts, none of which runs into the next."""

import hashlib

__all__ = ["digest_of"]


def digest_of(*parts: bytes, size: int) -> bytes:
    """Return a digest of ``size`` bytes.

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
