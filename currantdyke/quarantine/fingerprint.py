"""What two copies of a request have in common."""

import hashlib

import msgspec

from currantdyke.requests import Exchange

__all__ = ["fingerprint_of"]

FINGERPRINT_BYTES = 12


def fingerprint_of(exchange: Exchange) -> str:
    """Return the fingerprint of a request, whatever its id.

    Copies that differ in the order of keys alone have the same one.  It is kept
    with the request, since its stages and its waits ask for it again and again.
    """
    if not exchange.fingerprint:
        exchange.fingerprint = _digest(exchange)
    return exchange.fingerprint


def _digest(exchange: Exchange) -> str:
    content = msgspec.json.encode(exchange.input, order="sorted")
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (exchange.workspace.encode(), exchange.pipeline.encode(), content):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
