"""Fingerprints that are equal for copies of the same request."""

import msgspec

from currantdyke.core import digest_of
from currantdyke.requests import Exchange

__all__ = ["fingerprint_of"]

FINGERPRINT_BYTES = 12


def fingerprint_of(exchange: Exchange) -> str:
    """Return the fingerprint of a request, which does not depend on its id.

    Copies that differ only in the order of keys have the same fingerprint. It is
    cached in the exchange, since it is read repeatedly while stages run or wait.
    """
    if not exchange.fingerprint:
        exchange.fingerprint = _digest(exchange)
    return exchange.fingerprint


def _digest(exchange: Exchange) -> str:
    content = msgspec.json.encode(exchange.input, order="sorted")
    workspace, pipeline = exchange.workspace.encode(), exchange.pipeline.encode()
    return digest_of(workspace, pipeline, content, size=FINGERPRINT_BYTES).hex()
