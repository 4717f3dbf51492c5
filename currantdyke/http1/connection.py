"""HTTP/1.1 connections that are read and written as h11 events."""

import contextlib
import fcntl
import select
import socket
import sys
import termios
from collections.abc import Callable

import anyio
import anyio.abc
import h11

__all__ = [
    "CONNECTION_ERRORS",
    "ConnectionLostError",
    "Http1Connection",
    "is_reset_unread",
    "limit_reading",
    "set_socket_options",
]

READ_BYTES = 65_536
# Bytes that the event loop takes from a socket at once, twice the usual limit on heads:
# connections that all send at once hold this much each before any of them is looked at.
SOCKET_READ_BYTES = 32_768
# Larger messages are written in parts of this size: the event loop copies what the peer
# has not taken.
WRITE_BYTES = 65_536

# Errors that a stream raises when its peer or the network is gone.
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)

# A peer that ends its direction and closes the connection with bytes unread resets it
# at once. These are the time for which that is awaited, and the interval of the checks.
RESET_NOTICE_SECONDS = 0.5
RESET_CHECK_SECONDS = 0.01

# Keep-alive probes detect an unresponsive peer: the first is sent after 2 s without
# data, then one per second. The user time-out below decides when they give up, whatever
# their number; the number counts where that option does not exist.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
# Data that stays unacknowledged for this long ends the connection; the time allows a
# few retransmissions on a link that loses packets.
USER_TIMEOUT_MILLISECONDS = 4_000


class ConnectionLostError(Exception):
    """The connection broke, could not be opened, or ended before a whole message."""


def set_socket_options(stream: anyio.abc.SocketStream) -> None:
    """Make the kernel detect an unresponsive peer."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    )
    for level, option, value in options:
        # A kernel that lacks an option is still usable; deadlines bound every wait.
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(level, option, value)


def limit_reading(stream: anyio.abc.SocketStream) -> None:
    """Make an accepted connection read only while its data is waited for.

    anyio pauses the reading of a connection that it opens, but not of one that it
    accepts: such a connection is read without limit until its queue of data is empty
    for the first time, which a client that sends without a pause never lets happen.
    """
    transport = getattr(stream, "_transport", None)
    if transport is None:
        return
    transport.pause_reading()
    transport.max_size = SOCKET_READ_BYTES


def _socket_bytes(raw_socket: socket.socket, request: int) -> int:
    """Return a number of bytes in a buffer of a socket; 0 if it is closed."""
    if raw_socket.fileno() < 0:
        return 0
    count = fcntl.ioctl(raw_socket.fileno(), request, bytes(4))
    return int.from_bytes(count, sys.byteorder)


async def is_reset_unread(stream: anyio.abc.ByteStream) -> bool:
    """Return whether the peer resets a connection of which it has ended its direction.

    A peer that has received all bytes has read the request, as far as this side can
    know. As long as it has not, a reset is awaited for `RESET_NOTICE_SECONDS`.
    """
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
    if raw_socket is None:
        return False
    ends_at = anyio.current_time() + RESET_NOTICE_SECONDS
    while True:
        if raw_socket.fileno() < 0:
            # The event loop closes the socket when writing to it fails.
            return True
        poll = select.poll()
        poll.register(raw_socket.fileno(), select.POLLERR | select.POLLHUP)
        if poll.poll(0):
            return True
        unread = _socket_bytes(raw_socket, termios.TIOCOUTQ)
        if not unread or anyio.current_time() >= ends_at:
            return False
        await anyio.sleep(RESET_CHECK_SECONDS)


class Http1Connection:
    """HTTP/1.1 connection over a byte stream.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The transport.
    role : type
        ``h11.SERVER`` or ``h11.CLIENT``.
    max_header_bytes : int
        Maximum size of a message head.

    Attributes
    ----------
    marks : set of str
        What earlier responses are recognised by that name no request.
    before_receive : callable
        Called before data is read within a message.
    """

    def __init__(
        self,
        *,
        stream: anyio.abc.ByteStream,
        role: type,
        max_header_bytes: int = 65_536,
    ):
        self.stream = stream
        self.marks: set[str] = set()
        self.before_receive: Callable[[], None] | None = None
        self.state = h11.Connection(role, max_incomplete_event_size=max_header_bytes)

    async def next_event(self):
        """Return the next event from the peer.

        Raises
        ------
        h11.RemoteProtocolError
            If the peer's data is not HTTP.
        ConnectionLostError
            If the connection broke; an orderly close does not raise it.
        """
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.before_receive is not None:
                self.before_receive()
            try:
                data = await self.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            except CONNECTION_ERRORS as error:
                raise ConnectionLostError(str(error) or "reset") from error
            self.state.receive_data(data)

    def arrived_event(self):
        """Return the next event if all of it has arrived, or None.

        Raises
        ------
        h11.RemoteProtocolError
            If the peer's data is not HTTP.
        """
        event = self.state.next_event()
        return None if event is h11.NEED_DATA else event

    async def send(self, *events: h11.Event) -> None:
        """Write events, in a single send unless they are large."""
        parts = [self.state.send(event) or b"" for event in events]
        try:
            if sum(map(len, parts)) <= WRITE_BYTES:
                if data := b"".join(parts):
                    await self.stream.send(data)
                return
            for part in parts:
                for start in range(0, len(part), WRITE_BYTES):
                    await self.stream.send(part[start : start + WRITE_BYTES])
        except CONNECTION_ERRORS as error:
            raise ConnectionLostError(str(error) or "reset") from error

    @property
    def reusable(self) -> bool:
        """Whether both sides have finished an exchange and may start another."""
        return self.state.our_state is h11.DONE and self.state.their_state is h11.DONE

    def is_quiet(self) -> bool:
        """Return whether an idle connection is open and has no unread data."""
        if self.state.trailing_data[0]:
            return False
        raw_socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if raw_socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(raw_socket.fileno(), select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    def unread_bytes(self) -> int:
        """Return the number of bytes in the receive buffer of the socket."""
        return self._socket_bytes(termios.FIONREAD)

    def unsent_bytes(self) -> int:
        """Return the number of bytes that the peer has not acknowledged."""
        return self._socket_bytes(termios.TIOCOUTQ)

    def _socket_bytes(self, request: int) -> int:
        raw_socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
        return 0 if raw_socket is None else _socket_bytes(raw_socket, request)

    async def close(self) -> None:
        """Close the transport immediately."""
        with anyio.CancelScope(shield=True), contextlib.suppress(*CONNECTION_ERRORS):
            await anyio.aclose_forcefully(self.stream)
