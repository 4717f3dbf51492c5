"""Read the requests of one caller connection and write the answers."""

import contextlib

import anyio
import anyio.abc
import h11

from currantdyke.catalog import CallerLimits
from currantdyke.http1 import (
    CONNECTION_ERRORS,
    BadRequestError,
    ConnectionLostError,
    Http1Connection,
    header_values,
    read_body,
)

__all__ = ["CallerConnection", "CallerDisconnectedError", "SlowCallerError"]

READ_BYTES = 65_536
# Bytes that are read ahead while a request is served; the rest waits in the socket.
MAX_READ_AHEAD_BYTES = 65_536
# Time to read what the event loop or the socket already holds when the wait for a
# request ends.
ARRIVED_READ_SECONDS = 0.02
# Limits on reading what the caller sends behind the last answer on a connection.
# Closing a connection with unread bytes resets it, and the caller may lose the answer.
LINGER_SECONDS = 1.0
LINGER_BYTES = 1_048_576
# A write that is not shielded from cancellation and takes longer counts as a lost
# connection.
WRITE_TIMEOUT_SECONDS = 5.0
# A write that is shielded from cancellation, of a complete answer or the end of a body,
# may take this long after the deadline of its request, or after the end of the process
# has begun. Until then only the kernel's time-out for unacknowledged data bounds it,
# which a caller that reads slowly does not exceed.
FINAL_WRITE_SECONDS = 0.5


class CallerDisconnectedError(Exception):
    """The caller has disconnected or accepts no data."""


class SlowCallerError(Exception):
    """A request was not received completely within its time limit."""


class CallerConnection:
    """Server side of the connection of one caller.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The connection.
    limits : CallerLimits
        Limits of the configuration in force.

    Attributes
    ----------
    max_header_bytes : int
        Limit on the size of a head, which a connection keeps as long as it is open.
    response_started : bool
        Whether sending of the answer to the current request has started.
    answered : bool
        Whether a complete answer to the current request was written.
    has_left : bool
        Whether the caller has disconnected.
    deadline_at : float or None
        Monotonic time in seconds until which the caller waits for its answer.
    must_close : bool
        Whether the connection closes after the current answer.
    idle_scope : CancelScope or None
        Cancels the wait for a request; set only during this wait.
    request_scope : CancelScope or None
        Cancels the reading or the handling of a request.
    """

    def __init__(self, *, stream: anyio.abc.SocketStream, limits: CallerLimits):
        self.stream = stream
        self.limits = limits
        self.max_header_bytes = limits.header_bytes
        self.http = Http1Connection(
            stream=stream, role=h11.SERVER, max_header_bytes=limits.header_bytes
        )
        self.response_started = False
        self.answered = False
        self.has_left = False
        self.must_close = False
        self.method = b""
        self.deadline_at: float | None = None
        self.process_ends = False
        self.idle_scope: anyio.CancelScope | None = None
        self.request_scope: anyio.CancelScope | None = None
        self.write_scope: anyio.CancelScope | None = None

    async def read_request(self) -> h11.Request | None:
        """Return the head of the next request, or None if the wait for it ends.

        The wait ends at the idle time-out, by cancellation of ``idle_scope``, or if the
        caller disconnects.

        Raises
        ------
        SlowCallerError
            If the head takes longer than the header time-out.
        BadRequestError
            If the framing is ambiguous.
        h11.RemoteProtocolError
            If the bytes are not HTTP.
        ConnectionLostError
            If the connection breaks within the head.
        """
        self.response_started = False
        self.answered = False
        self.deadline_at = None
        event = self.http.state.next_event()
        if event is h11.NEED_DATA and not self.http.state.trailing_data[0]:
            if not await self._wait_for_bytes():
                return None
            event = self.http.state.next_event()
        if event is h11.NEED_DATA:
            with anyio.move_on_after(self.limits.header_timeout):
                event = await self.http.next_event()
        if event is h11.NEED_DATA:
            seconds = self.limits.header_timeout
            raise SlowCallerError(f"the head took over {seconds} s")
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise BadRequestError("a request was expected")
        self.method = event.method
        _check_framing(event)
        return event

    async def _wait_for_bytes(self) -> bool:
        data: bytes | None = None
        try:
            with anyio.CancelScope() as self.idle_scope:
                idle_timeout = self.limits.idle_timeout
                self.idle_scope.deadline = anyio.current_time() + idle_timeout
                data = await self.stream.receive(READ_BYTES)
            self.idle_scope = None
            if data is None:
                data = await self._read_arrived()
        except CONNECTION_ERRORS:
            return False
        finally:
            self.idle_scope = None
        if data is None:
            return False
        self.http.state.receive_data(data)
        return True

    async def _read_arrived(self) -> bytes | None:
        """Return bytes that arrived while the wait for them ended, or None."""
        while True:
            with anyio.move_on_after(ARRIVED_READ_SECONDS, shield=True):
                return await self.stream.receive(READ_BYTES)
            if not self.http.unread_bytes():
                return None

    async def read_body(self) -> bytes:
        """Return the body of the request.

        Raises
        ------
        MessageTooLargeError
            If the body exceeds the limit.
        SlowCallerError
            If the body takes longer than twice the header time-out.
        """
        if self.http.state.they_are_waiting_for_100_continue:
            await self.http.send(h11.InformationalResponse(status_code=100, headers=[]))
        seconds = 2 * self.limits.header_timeout
        with anyio.move_on_after(seconds):
            return await read_body(self.http, self.limits.body_bytes)
        raise SlowCallerError(f"the body took over {seconds} s")

    async def cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Read ahead, and cancel a scope if the caller disconnects.

        Once ``MAX_READ_AHEAD_BYTES`` are read ahead, a disconnect is not detected.
        """
        while len(self.http.state.trailing_data[0]) < MAX_READ_AHEAD_BYTES:
            try:
                data = await self.stream.receive(READ_BYTES)
            except CONNECTION_ERRORS:
                self.has_left = True
                self.must_close = True
                scope.cancel()
                return
            self.http.state.receive_data(data)

    async def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete answer."""
        other_headers = [
            (key, value) for key, value in headers if key != b"content-length"
        ]
        other_headers.append((b"content-length", b"%d" % len(body)))
        head = h11.Response(
            status_code=status, headers=other_headers + self._connection_headers()
        )
        data = b"" if self.method == b"HEAD" else body
        self.response_started = True
        # A complete answer is sent even if the deadline passes during the write.
        await self._send_shielded(head, h11.Data(data=data), h11.EndOfMessage())
        self.answered = True

    async def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer of unknown length."""
        self.response_started = True
        await self._send(
            h11.Response(
                status_code=status, headers=headers + self._connection_headers()
            )
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the body as complete."""
        await self._send_shielded(h11.EndOfMessage())
        self.answered = True

    def prepare_next_request(self) -> bool:
        """Prepare for another request; return False if the connection must close."""
        if self.must_close or not self.http.reusable:
            return False
        self.http.state.start_next_cycle()
        return True

    def may_be_reset(self) -> bool:
        """Return whether closing now could cost the caller the last answer.

        It can if bytes behind the request have arrived, or may arrive while a part of
        the answer waits to be sent.
        """
        if self.http.state.trailing_data[0] or self.http.unread_bytes():
            return True
        return self.http.unsent_bytes() > 0

    async def linger(self) -> None:
        """Discard input for a moment, so that the caller receives the last answer."""
        bytes_read = 0
        with (
            anyio.move_on_after(LINGER_SECONDS),
            contextlib.suppress(*CONNECTION_ERRORS),
        ):
            await self.stream.send_eof()
            while bytes_read < LINGER_BYTES:
                bytes_read += len(await self.stream.receive(READ_BYTES))

    async def close(self) -> None:
        """Close the connection at once."""
        await self.http.close()

    def _connection_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if self.must_close else []

    def end_writes(self) -> None:
        """Bound the current and later writes, since the process ends."""
        self.process_ends = True
        if self.write_scope is not None:
            limit = anyio.current_time() + FINAL_WRITE_SECONDS
            self.write_scope.deadline = min(self.write_scope.deadline, limit)

    def _final_write_deadline(self) -> float:
        limit = anyio.current_time() + FINAL_WRITE_SECONDS
        if self.deadline_at is None or self.process_ends:
            return limit
        return max(limit, self.deadline_at)

    async def _send_shielded(self, *events: h11.Event) -> None:
        """Send the end of an answer, shielded from cancellation."""
        try:
            with anyio.CancelScope(shield=True) as self.write_scope:
                self.write_scope.deadline = self._final_write_deadline()
                await self._send_now(*events)
                return
        finally:
            self.write_scope = None
        # Bytes that the framing already counts may not have been sent.
        raise CallerDisconnectedError("the caller accepts no data")

    async def _send(self, *events: h11.Event) -> None:
        with anyio.move_on_after(WRITE_TIMEOUT_SECONDS):
            await self._send_now(*events)
            return
        raise CallerDisconnectedError("the caller accepts no data")

    async def _send_now(self, *events: h11.Event) -> None:
        try:
            await self.http.send(*events)
        except ConnectionLostError as error:
            self.has_left = True
            raise CallerDisconnectedError(str(error)) from error


def _check_framing(request: h11.Request) -> None:
    """Reject a request whose end or host two HTTP parsers could read differently."""
    if request.method == b"CONNECT":
        # A success would end HTTP on the connection, before the body of the answer.
        raise BadRequestError("the method CONNECT is not served")
    lengths = header_values(request.headers, b"content-length")
    encodings = header_values(request.headers, b"transfer-encoding")
    if encodings and (lengths or len(encodings) > 1):
        raise BadRequestError("the length of the body is given in two ways")
    if len(header_values(request.headers, b"host")) != 1:
        raise BadRequestError("one Host header is needed")
