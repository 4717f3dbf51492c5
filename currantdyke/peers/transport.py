"""The narrow port between a daemon and its peers' network."""

from collections.abc import Awaitable, Callable
from typing import Protocol

__all__ = ["CallHandler", "MAX_DATAGRAM_BYTES", "PeerTransport"]

MAX_DATAGRAM_BYTES = 1_200

CallHandler = Callable[[bytes], Awaitable[bytes]]


class PeerTransport(Protocol):
    """Datagrams that may be lost, and calls for larger pulls.

    Attributes
    ----------
    address : str
        Where this daemon's peers reach it, ``host:port``.
    """

    address: str

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram; it may be lost without notice."""

    async def receive(self) -> tuple[bytes, str]:
        """Wait for the next datagram; return it with its sender's address."""

    async def call(self, address: str, data: bytes, max_bytes: int) -> bytes:
        """Ask a peer; raise ``OSError`` or ``TimeoutError`` where it fails."""

    async def serve_calls(self, handler: CallHandler) -> None:
        """Answer peers' calls with ``handler`` until cancelled."""
