"""What two copies of a request have in common."""

import msgspec

from currantdyke.core import digest_of
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
    workspace, pipeline = exchange.workspace.encode(), exchange.pipeline.encode()
    return digest_of(workspace, pipeline, content, size=FINGERPRINT_BYTES).hex()
