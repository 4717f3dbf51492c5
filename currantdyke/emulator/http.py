"""HTTP/1.1 server whose handlers can violate the protocol to inject faults."""

import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
import h11

from currantdyke.http1 import (
    CONNECTION_ERRORS,
    ConnectionLostError,
    Http1Connection,
    read_body,
)

__all__ = ["Handler", "Reply", "Request", "reset_on_close", "serve_http"]

MAX_BODY_BYTES = 16_000_000


@attrs.frozen(kw_only=True)
class Request:
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    @property
    def attempt_id(self) -> str:
        """The attempt id of the request; empty if it has none."""
        return self.headers.get("x-attempt-id", "")

    @property
    def prompt_parts(self) -> list[str]:
        """The ids of the prompt's parts, in order."""
        entries = self.headers.get("x-prefix-hash", "")
        return [entry.partition(":")[0] for entry in entries.split(",") if entry]


class Reply:
    """Methods to answer a request, completely, partly or not at all.

    Attributes
    ----------
    connection : Http1Connection
        The caller's connection.
    """

    def __init__(self, connection: Http1Connection):
        self.connection = connection

    @property
    def remote_host(self) -> str:
        """The address of the caller; empty if the caller has reset the connection."""
        stream = self.connection.stream
        return stream.extra(anyio.abc.SocketAttribute.remote_address, ("", 0))[0]

    async def send_response(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a complete answer with a Content-Length header."""
        fields = _encode_headers(headers or {}) + [
            (b"content-length", b"%d" % len(body))
        ]
        await self.connection.send(
            h11.Response(status_code=status, headers=fields),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def send_head(
        self, status: int, headers: dict[str, str], length: int | None = None
    ) -> None:
        """Send the status and headers of an answer.

        Parameters
        ----------
        length : int or None
            Size of the body; None for a chunked body.
        """
        delimiter = (b"transfer-encoding", b"chunked")
        if length is not None:
            delimiter = (b"content-length", b"%d" % length)
        fields = [*_encode_headers(headers), delimiter]
        await self.connection.send(h11.Response(status_code=status, headers=fields))

    async def send_undelimited_head(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer whose body ends with the connection.

        The body is sent with `send_raw`, since h11 would add a delimiter.
        """
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        await self.send_raw(f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode())

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body, as one chunk if the body is chunked."""
        await self.connection.send(h11.Data(data=data))

    async def send_end(self) -> None:
        """Send the end of the body."""
        await self.connection.send(h11.EndOfMessage())

    async def send_raw(self, data: bytes) -> None:
        """Send bytes directly to the socket, without HTTP framing."""
        try:
            await self.connection.stream.send(data)
        except CONNECTION_ERRORS as error:
            raise ConnectionLostError(str(error) or "closed by the caller") from error

    async def close(self) -> None:
        """Close the connection without a reset; raise ConnectionLostError."""
        await self.connection.close()
        raise ConnectionLostError("closed by the emulator")

    async def reset(self) -> None:
        """Reset the connection; raise ConnectionLostError."""
        reset_on_close(self.connection.stream)
        await self.close()


def reset_on_close(stream: anyio.abc.ByteStream) -> None:
    """Make closing the stream reset the TCP connection."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if raw.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


Handler = Callable[[Request, Reply], Awaitable[None]]


async def serve_http(
    host: str,
    port: int,
    handler: Handler,
    streams: set[anyio.abc.SocketStream] | None = None,
    *,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; the task's start value is the port.

    Parameters
    ----------
    streams : set, optional
        Contains the open connections while this runs.
    """
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    open_streams = set() if streams is None else streams

    async def serve(stream: anyio.abc.SocketStream) -> None:
        connection = Http1Connection(stream=stream, role=h11.SERVER)
        open_streams.add(stream)
        try:
            while await _serve_one(connection, handler):
                connection.state.start_next_cycle()
        except (ConnectionLostError, h11.ProtocolError):
            return
        finally:
            open_streams.discard(stream)
            await connection.close()

    async with listener:
        task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
        await listener.serve(serve)


async def _serve_one(connection: Http1Connection, handler: Handler) -> bool:
    head = await connection.next_event()
    if not isinstance(head, h11.Request):
        return False
    body = await read_body(connection, MAX_BODY_BYTES)
    request = Request(
        method=head.method.decode("latin-1"),
        target=head.target.decode("latin-1"),
        headers={
            key.decode("latin-1"): value.decode("latin-1")
            for key, value in head.headers
        },
        body=body,
    )
    closed = False
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, connection, tasks.cancel_scope)
            await handler(request, Reply(connection))
            tasks.cancel_scope.cancel()
    except* ConnectionLostError:
        # The handler closed or reset the connection.
        closed = True
    return connection.reusable and not closed


async def _cancel_on_disconnect(
    connection: Http1Connection, scope: anyio.CancelScope
) -> None:
    """Cancel the handling of a request whose connection has closed."""
    try:
        data = await connection.stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        scope.cancel()
    else:
        # The start of the next request.
        connection.state.receive_data(data)
