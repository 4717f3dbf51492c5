"""Read the requests of one caller connection and write the answers."""

import contextlib
import itertools
import math

import anyio
import anyio.abc
import h11

from currantdyke.catalog import CallerLimits
from currantdyke.gateway.memory import MemoryAccount
from currantdyke.http1 import (
    CONNECTION_ERRORS,
    BadRequestError,
    ConnectionLostError,
    Http1Connection,
    header_values,
    read_body,
)

__all__ = [
    "CallerConnection",
    "CallerDisconnectedError",
    "SlowCallerError",
]

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
# Pause before reading ahead is tried again after memory was short.
MEMORY_RETRY_SECONDS = 0.1

CONNECTION_NUMBERS = itertools.count(1)


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
    memory : MemoryAccount, optional
        From which the connection reserves the memory that it uses; the default has no
        limit.

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
    number : int
        Rises with each connection of the process.
    held_bytes : int
        Memory that the account holds for this connection.
    waits_since : float
        Monotonic time in seconds at which the last wait for a request began.
    requests_read : int
        Number of heads that were read.
    handling : bool
        Whether a request is being served; its connection is not closed for its memory
        before the answer is written.
    closed_early : bool
        Whether the connection closes because its memory or descriptor is needed.
    idle_scope : CancelScope or None
        Cancels the wait for a request; set only during this wait.
    request_scope : CancelScope or None
        Cancels the reading or the handling of a request.
    """

    def __init__(
        self,
        *,
        stream: anyio.abc.SocketStream,
        limits: CallerLimits,
        memory: MemoryAccount | None = None,
    ):
        self.stream = stream
        self.memory = memory or MemoryAccount(limit_bytes=math.inf)
        self.number = next(CONNECTION_NUMBERS)
        self.held_bytes = 0
        self.waits_since = anyio.current_time()
        self.requests_read = 0
        self.handling = False
        self.closed_early = False
        self.body_bytes = 0
        self.reserved_bytes = 0
        self.written_bytes = 0
        self.limits = limits
        self.max_header_bytes = limits.header_bytes
        self.http = Http1Connection(
            stream=stream, role=h11.SERVER, max_header_bytes=limits.header_bytes
        )
        self.http.before_receive = self._reserve_read
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
        self.part_scope: anyio.CancelScope | None = None

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
        self.body_bytes = 0
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
        self.requests_read += 1
        self.method = event.method
        _check_framing(event)
        return event

    async def _wait_for_bytes(self) -> bool:
        data: bytes | None = None
        try:
            with anyio.CancelScope() as self.idle_scope:
                self.waits_since = anyio.current_time()
                self.idle_scope.deadline = self.waits_since + self.limits.idle_timeout
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
            return await read_body(
                self.http, self.limits.body_bytes, on_data=self._count_body
            )
        raise SlowCallerError(f"the body took over {seconds} s")

    async def cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        """Read ahead, and cancel a scope if the caller disconnects.

        Once ``MAX_READ_AHEAD_BYTES`` are read ahead, or while memory is short, a
        disconnect is not detected.
        """
        ahead = 0
        while (ahead := self._bytes_ahead()) < MAX_READ_AHEAD_BYTES:
            if not self._reserve(ahead + READ_BYTES):
                self._reserve(ahead)
                await anyio.sleep(MEMORY_RETRY_SECONDS)
                continue
            try:
                data = await self.stream.receive(READ_BYTES)
            except CONNECTION_ERRORS:
                self.has_left = True
                self.must_close = True
                scope.cancel()
                return
            self.http.state.receive_data(data)
        self._reserve(ahead)

    def _bytes_ahead(self) -> int:
        return len(self.http.state.trailing_data[0])

    def _hold(self) -> bool:
        total = self.body_bytes + self.reserved_bytes + self.written_bytes
        return self.memory.hold(self, total)

    def _reserve(self, count: int) -> bool:
        """Reserve what is read ahead, or may be by the next read."""
        self.reserved_bytes = count
        return self._hold()

    def _reserve_read(self) -> None:
        self._reserve(READ_BYTES)

    def _hold_written(self, events: tuple[h11.Event, ...]) -> None:
        """Hold the parts of a body that are being written; none when they are taken."""
        self.written_bytes = sum(
            len(event.data) for event in events if isinstance(event, h11.Data)
        )
        self._hold()

    async def _count_body(self, count: int) -> None:
        self.body_bytes += count

    def hold_request(self, body: bytes) -> bool:
        """Hold a complete request while it is served; return False if memory is short.

        The connection is not closed for its memory until its answer is written.
        """
        self.handling = True
        self.body_bytes = len(body)
        return self._reserve(self._bytes_ahead())

    def release_memory(self) -> None:
        """Return what was held for the request and its answer."""
        self.handling = False
        self.body_bytes = self.written_bytes = 0
        self._reserve(0)

    @property
    def close_cost(self) -> int | None:
        """Return how much closing costs the caller; None while a request is served."""
        if self.write_scope is not None or self.part_scope is not None:
            return 1
        return None if self.handling else 0

    def close_early(self) -> None:
        """End the wait, the reading or the writing that the memory is held for."""
        self.closed_early = True
        self.must_close = True
        scopes = (
            self.write_scope,
            self.part_scope,
            self.idle_scope,
            self.request_scope,
        )
        for scope in scopes:
            if scope is not None:
                scope.cancel()
                return

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
                self._hold_written(events)
                await self._send_now(*events)
                return
        finally:
            self.write_scope = None
            self._hold_written(())
        # Bytes that the framing already counts may not have been sent.
        raise CallerDisconnectedError("the caller accepts no data")

    async def _send(self, *events: h11.Event) -> None:
        try:
            with anyio.move_on_after(WRITE_TIMEOUT_SECONDS) as self.part_scope:
                self._hold_written(events)
                await self._send_now(*events)
                return
        finally:
            self.part_scope = None
            self._hold_written(())
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
