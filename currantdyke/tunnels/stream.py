"""The two ends of a tunnel.

Towards the endpoint, bytes are sent as they are, and the end of the connection closes
the one to the endpoint. From the endpoint they come in blocks, each after its length;
an empty one is the end of the endpoint's data. Without it the connection was broken.
"""

from collections.abc import Callable, Mapping
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import attrs

from currantdyke.http1 import CONNECTION_ERRORS, is_reset_unread

__all__ = ["LENGTH_BYTES", "READ_BYTES", "TunnelStream", "forward"]

READ_BYTES = 65_536
LENGTH_BYTES = 4


@attrs.define(kw_only=True, eq=False)
class TunnelStream(anyio.abc.ByteStream):
    """A connection to an endpoint through another daemon.

    Attributes
    ----------
    peer_ip : str
        IP of the other daemon.
    buffer : bytearray
        Bytes that have arrived and were not returned.
    block_left : int
        Bytes of the current block that were not returned.
    """

    stream: anyio.abc.ByteStream
    peer_ip: str
    buffer: bytearray = attrs.field(factory=bytearray)
    block_left: int = 0
    ended: bool = False

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the connection to the other daemon."""
        return self.stream.extra_attributes

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return the endpoint's next bytes."""
        if self.ended:
            raise anyio.EndOfStream
        if not self.block_left:
            while len(self.buffer) < LENGTH_BYTES:
                await self._read()
            self.block_left = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            del self.buffer[:LENGTH_BYTES]
            if not self.block_left:
                self.ended = True
                raise anyio.EndOfStream
        if self.buffer:
            # The blocks of an endpoint may be small, and many may have arrived.
            await anyio.lowlevel.checkpoint()
        else:
            await self._read()
        size = min(max_bytes, self.block_left, len(self.buffer))
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self.block_left -= size
        return data

    async def _read(self) -> None:
        try:
            self.buffer += await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream as error:
            raise anyio.BrokenResourceError from error

    async def send(self, item: bytes) -> None:
        """Send bytes to the endpoint."""
        await self.stream.send(item)

    async def send_eof(self) -> None:
        """Do nothing: the end of this direction would close the tunnel."""

    async def aclose(self) -> None:
        """Close the tunnel, and so the connection to the endpoint."""
        await self.stream.aclose()


async def forward(asking: anyio.abc.ByteStream, endpoint: anyio.abc.ByteStream) -> None:
    """Forward a tunnel's bytes until one of its ends closes or breaks."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_forward_answers, endpoint, asking, tasks.cancel_scope)
        try:
            while True:
                await endpoint.send(await asking.receive(READ_BYTES))
        except CONNECTION_ERRORS:
            # The asking daemon has closed it, or the endpoint has, whose last bytes
            # the other direction still reads.
            await _wait_for_end(asking)
        tasks.cancel_scope.cancel()


async def _wait_for_end(asking: anyio.abc.ByteStream) -> None:
    try:
        while True:
            await asking.receive(READ_BYTES)
    except CONNECTION_ERRORS:
        return


async def _forward_answers(
    endpoint: anyio.abc.ByteStream,
    asking: anyio.abc.ByteStream,
    scope: anyio.CancelScope,
) -> None:
    try:
        while True:
            data = await endpoint.receive(READ_BYTES)
            await asking.send(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    except anyio.EndOfStream:
        if await is_reset_unread(endpoint):
            # Its answer may be cut, since the request was not read.
            scope.cancel()
        else:
            await _send_end(asking, scope)
    except CONNECTION_ERRORS:
        # Without the empty block, the asking daemon sees a broken connection.
        scope.cancel()


async def _send_end(asking: anyio.abc.ByteStream, scope: anyio.CancelScope) -> None:
    try:
        await asking.send(bytes(LENGTH_BYTES))
    except CONNECTION_ERRORS:
        # The asking daemon is gone.
        scope.cancel()
