"""Builders of requests, connections and failing functions for the gateway's tests."""

import contextlib
import socket
from unittest import mock

import anyio
import h11

from currantdyke.catalog import CallerLimits
from currantdyke.gateway import handler
from currantdyke.gateway.caller import CallerConnection

__all__ = [
    "KEY",
    "ScriptedStream",
    "UnexpectedError",
    "build_connection",
    "build_request_bytes",
    "connect_at_once",
    "forward_with",
    "read_answer",
    "send_request",
]

KEY = {"authorization": "Token k1"}
ANSWER_TIMEOUT_SECONDS = 8.0


class UnexpectedError(Exception):
    """An error that no part of the gateway expects."""


class ScriptedStream:
    """Stream of a caller whose bytes and pace the test determines.

    Parameters
    ----------
    seconds_per_write : float
        Time that the caller takes to accept the data of one write.
    """

    def __init__(self, *, seconds_per_write: float = 0.0):
        self.seconds_per_write = seconds_per_write
        self.unread: list[bytes] = []
        self.arrived = anyio.Event()
        self.written = b""
        self.closed = False

    def extra(self, attribute: object, default: object = None) -> object:
        """Return the default, since there is no socket."""
        return default

    def feed(self, data: bytes) -> None:
        """Let bytes of the caller arrive."""
        self.unread.append(data)
        self.arrived.set()

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return bytes that have arrived, and wait for them if there are none."""
        if self.unread:
            await anyio.lowlevel.checkpoint()
        else:
            self.arrived = anyio.Event()
            await self.arrived.wait()
        return self.unread.pop(0)

    async def send(self, data: bytes) -> None:
        """Accept bytes at the caller's pace."""
        await anyio.sleep(self.seconds_per_write)
        self.written += data

    async def aclose(self) -> None:
        """Close the stream."""
        self.closed = True


def build_connection(stream: ScriptedStream, **limits) -> CallerConnection:
    """Return a connection over a stream, with the given limits."""
    return CallerConnection(stream=stream, limits=CallerLimits(**limits))


def build_request_bytes(
    *,
    method: bytes = b"GET",
    attempt_id: bytes = b"raw",
    body: bytes = b"",
    extra: bytes = b"",
) -> bytes:
    """Return a whole request for the plain route; ``extra`` are header lines."""
    return (
        b"%s /plain/ HTTP/1.1\r\nhost: one.example\r\nx-attempt-id: %s\r\n"
        b"x-deadline-ms: 3000\r\nauthorization: Token k1\r\ncontent-length: %d\r\n"
        b"%s\r\n%s" % (method, attempt_id, len(body), extra, body)
    )


def connect_at_once(address: str, *, receive_bytes: int | None = None) -> socket.socket:
    """Return a connected socket, without a step of the event loop.

    Parameters
    ----------
    receive_bytes : int or None
        Size of the socket's receive buffer; None for the default.
    """
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    if receive_bytes is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    connection.connect((host, int(port)))
    connection.setblocking(False)
    return connection


def send_request(connection: socket.socket, data: bytes) -> None:
    """Send a request without a step of the event loop."""
    assert connection.send(data) == len(data)


async def read_answer(
    connection: socket.socket, *, step_bytes: int = 65_536, pause: float = 0.0
) -> tuple[int | None, bool, bytes]:
    """Read one answer; return its status, whether it is whole, and its body.

    Parameters
    ----------
    step_bytes, pause
        Bytes that are read at once, and the seconds between two reads.

    Returns
    -------
    tuple
        The status is None if the connection closes without an answer.
    """
    state = h11.Connection(h11.CLIENT)
    state.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    state.send(h11.EndOfMessage())
    status, body = None, b""
    with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
        while True:
            try:
                event = state.next_event()
            except h11.RemoteProtocolError:
                return status, False, body
            if event is h11.NEED_DATA:
                await anyio.sleep(pause)
                await anyio.wait_readable(connection)
                try:
                    data = connection.recv(step_bytes)
                except ConnectionResetError:
                    return status, False, body
                if not data and status is None:
                    return None, False, b""
                state.receive_data(data)
                continue
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return status, True, body
            elif isinstance(event, h11.ConnectionClosed):
                return status, False, body


@contextlib.contextmanager
def forward_with(forward):
    """Replace the forwarding of plain requests by another function."""
    with mock.patch.object(handler, "forward_plain", forward):
        yield
