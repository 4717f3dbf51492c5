"""The peers' network over UDP and TCP sockets on one port number."""

import contextlib
import functools
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs

from currantdyke.peers.transport import CallHandler

__all__ = ["SocketTransport", "open_peer_sockets"]

CALL_TIMEOUT_SECONDS = 3.0
MAX_QUESTION_BYTES = 262_144
MAX_CALLS_SERVED = 32
READ_BYTES = 65_536


@attrs.define(kw_only=True, eq=False)
class SocketTransport:
    """Datagrams by UDP; each call by one TCP connection, read to its end."""

    udp: anyio.abc.UDPSocket
    listener: anyio.abc.Listener[anyio.abc.SocketStream]
    address: str
    serving: anyio.CapacityLimiter
    sending: anyio.Lock = attrs.field(factory=anyio.Lock)

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram; what the network refuses counts as lost."""
        host, _, port = address.rpartition(":")
        with contextlib.suppress(OSError, ValueError):
            async with self.sending:
                await self.udp.sendto(data, host, int(port))

    async def receive(self) -> tuple[bytes, str]:
        """Wait for the next datagram; return it with its sender's address."""
        while True:
            with contextlib.suppress(OSError):
                data, (host, port) = await self.udp.receive()
                return data, f"{host}:{port}"

    async def call(self, address: str, data: bytes, max_bytes: int) -> bytes:
        """Ask a peer over a connection of its own."""
        host, _, port = address.rpartition(":")
        with anyio.fail_after(CALL_TIMEOUT_SECONDS):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                try:
                    await stream.send(data)
                    await stream.send_eof()
                    return await _read_all(stream, max_bytes)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
                    raise OSError("the peer broke the connection") from error

    async def serve_calls(self, handler: CallHandler) -> None:
        """Answer calls until cancelled, each in a task of its own."""
        await self.listener.serve(functools.partial(self._answer, handler))

    async def _answer(
        self, handler: CallHandler, stream: anyio.abc.SocketStream
    ) -> None:
        broken = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
        async with stream:
            with (
                contextlib.suppress(*broken),
                anyio.move_on_after(CALL_TIMEOUT_SECONDS),
            ):
                async with self.serving:
                    question = await _read_all(stream, MAX_QUESTION_BYTES)
                    await stream.send(await handler(question))


async def _read_all(stream: anyio.abc.ByteReceiveStream, max_bytes: int) -> bytes:
    read = bytearray()
    while True:
        try:
            read += await stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return bytes(read)
        if len(read) > max_bytes:
            raise OSError(f"the peer sent more than {max_bytes} bytes")


@contextlib.asynccontextmanager
async def open_peer_sockets(host: str, port: int) -> AsyncIterator[SocketTransport]:
    """Open the UDP and TCP sockets of a daemon; port 0 takes any free one."""
    async with await anyio.create_tcp_listener(
        local_host=host, local_port=port
    ) as listener:
        taken = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with await anyio.create_udp_socket(
            local_host=host, local_port=taken
        ) as udp:
            yield SocketTransport(
                udp=udp,
                listener=listener.listeners[0],
                address=f"{host}:{taken}",
                serving=anyio.CapacityLimiter(MAX_CALLS_SERVED),
            )
