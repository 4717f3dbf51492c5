"""A single attempt to send a request to an endpoint."""

import contextlib
from collections.abc import AsyncIterator, Callable, Collection

import anyio
import anyio.lowlevel
import attrs
import h11

from currantdyke.catalog import Endpoint
from currantdyke.forward.connections import EndpointConnections
from currantdyke.http1 import (
    ConnectionLostError,
    Http1Connection,
    header_values,
    is_reset_unread,
)
from currantdyke.platform.answers import ResponseMetadata, decode_response_metadata
from currantdyke.tunnels.stream import TunnelStream

__all__ = [
    "EndpointResponse",
    "EvacuatedError",
    "MaybeRanError",
    "NotSentError",
    "OutgoingRequest",
    "attempt",
]

# Bodies up to this size fit into the socket buffers and are written before reading.
# Larger ones are written while reading, since an endpoint may respond before it has
# read the whole request.
MAX_DIRECT_WRITE_BYTES = 8_192
# Endpoints send at most a few interim responses.
MAX_INTERIM_RESPONSES = 32
# HTTP has no other statuses. A client takes an answer with another one for a failure of
# the server (RFC 9110, section 15).
MAX_STATUS = 599
# Failures, and answers to calls of stages, have short bodies in few parts.
MAX_SHORT_BODY_BYTES = 1_048_576
MAX_SHORT_BODY_PARTS = 4_096
# Marks that are kept of the responses on one connection, which is closed then.
MAX_MARKS = 4_096
# Parts of a body that are read at once if they have arrived; then other tasks run.
MAX_PARTS_PER_READ = 64


class NotSentError(Exception):
    """No byte of the request was sent, so it has not run."""


class EvacuatedError(NotSentError):
    """The zone of the endpoint was evacuated after its choice; it has not failed."""


class MaybeRanError(Exception):
    """The request was sent but no complete response arrived; it may have run."""


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request as sent to one endpoint.

    Attributes
    ----------
    attempt_id : str or None
        Identifier of the exchange: that of the caller, the same in all attempts for its
        request, or one of this daemon. No response may name another one. None if the
        caller has given none.
    signed : bool
        Whether a success must have a signature and name the attempt.
    once : bool
        Whether the request may run only once.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempt_id: str | None
    once: bool
    signed: bool = True


@attrs.define(kw_only=True, eq=False)
class EndpointResponse:
    """Head of an endpoint's response, whose body is still to be read.

    Attributes
    ----------
    parts_read : int
        Parts in which the body has arrived so far.
    following : h11.Event, h11.RemoteProtocolError or None
        What has arrived behind the data that was returned last, if it is no data.
    identified : bool
        Whether a second copy of the response would be recognised, so that other
        responses may follow on the connection.
    """

    connection: Http1Connection
    head: h11.Response
    facts: ResponseMetadata
    parts_read: int = 0
    following: h11.Event | h11.RemoteProtocolError | None = None
    identified: bool = attrs.field(
        default=attrs.Factory(
            lambda self: self.facts.attempt_id is not None, takes_self=True
        )
    )

    def identify(self, marks: Collection[str]) -> None:
        """Recognise a response that names no request by what only it contains.

        Raises
        ------
        MaybeRanError
            If an earlier response on the connection contained one of the marks.
        """
        if self.identified or not marks:
            return
        known = self.connection.marks
        if not known.isdisjoint(marks):
            raise MaybeRanError("a second copy of an earlier answer")
        known.update(marks)
        self.identified = len(known) <= MAX_MARKS

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or None after its end.

        Small parts that have arrived are returned together, so that their number costs
        little beyond the parsing.

        Raises
        ------
        MaybeRanError
            If the response is incomplete.
        """
        event, self.following = self.following, None
        try:
            if event is None:
                event = await self.connection.next_event()
            elif isinstance(event, h11.RemoteProtocolError):
                raise event
        except (ConnectionLostError, h11.ProtocolError) as error:
            raise MaybeRanError(f"the answer broke off: {error}") from error
        if isinstance(event, h11.Data):
            return await self._join_arrived(event)
        if isinstance(event, h11.EndOfMessage):
            if self._ends_with_connection():
                await self._check_not_reset()
            return None
        raise MaybeRanError("the endpoint closed the connection in its answer")

    def _ends_with_connection(self) -> bool:
        headers = self.head.headers
        return not (
            header_values(headers, b"content-length")
            or header_values(headers, b"transfer-encoding")
        )

    async def _check_not_reset(self) -> None:
        """Raise MaybeRanError if the endpoint resets the connection behind its end.

        Nothing but the end of the connection shows that such a body is complete.
        """
        if await is_reset_unread(self.connection.stream):
            raise MaybeRanError("the connection was reset while the request was sent")

    async def _join_arrived(self, first: h11.Data) -> bytes:
        """Return a part of the body with those that have arrived behind it."""
        parts = [bytes(first.data)]
        while self.following is None and len(parts) < MAX_PARTS_PER_READ:
            try:
                event = self.connection.arrived_event()
            except h11.RemoteProtocolError as error:
                # Raised by the next call, since the data comes first.
                self.following = error
                break
            if event is None:
                break
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            else:
                self.following = event
        self.parts_read += len(parts)
        if len(parts) == MAX_PARTS_PER_READ:
            await anyio.lowlevel.checkpoint()
        return b"".join(parts)

    async def read_short_body(self) -> bytes:
        """Return the whole body of a short response, such as a failure.

        Raises
        ------
        MaybeRanError
            If the response is incomplete, or the body too long.
        """
        body = bytearray()
        while (data := await self.read()) is not None:
            body += data
            if (
                len(body) > MAX_SHORT_BODY_BYTES
                or self.parts_read > MAX_SHORT_BODY_PARTS
            ):
                raise MaybeRanError("the body is too long")
        return bytes(body)


@contextlib.asynccontextmanager
async def attempt(
    connections: EndpointConnections,
    endpoint: Endpoint,
    request: OutgoingRequest,
    *,
    on_send: Callable[[], None],
) -> AsyncIterator[EndpointResponse]:
    """Send a request and yield the head of its response.

    The connection is kept for other requests only after a complete exchange whose
    response is identified: nothing would tell a second copy of another one from the
    response to the next request.

    Parameters
    ----------
    on_send : callable
        Called before the first byte is sent.

    Raises
    ------
    NotSentError
        If the endpoint can't be reached, or HTTP can't express the request, for example
        with the event id of another endpoint.
    EvacuatedError
        If the endpoint may get no new work any more.
    MaybeRanError
        If there is no response, or it does not belong to this request.
    """
    try:
        head = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
    except h11.LocalProtocolError as error:
        raise NotSentError(str(error)) from error
    _check_not_withheld(connections, endpoint)
    try:
        connection = await connections.acquire(endpoint, once=request.once)
    except ConnectionLostError as error:
        raise NotSentError(str(error)) from error
    try:
        _check_not_withheld(connections, endpoint)
    except EvacuatedError:
        await connection.close()
        raise
    response = None
    written = anyio.Event()
    sent_at = anyio.current_time()
    on_send()
    try:
        async with anyio.create_task_group() as tasks:
            await _write_request(connection, head, request.body, tasks, written)
            response = await _read_head(connection, request)
            stream = connection.stream
            via = stream.peer_ip if isinstance(stream, TunnelStream) else ""
            connections.on_response(endpoint, response.facts, sent_at, via)
            yield response
            tasks.cancel_scope.cancel()
    except BaseExceptionGroup as group:
        # The group contains the exception from the body of the caller's "async with".
        raise _unwrap_single_error(group) from None
    finally:
        if (
            response is not None
            and written.is_set()
            and connection.reusable
            and response.identified
        ):
            await connections.release(endpoint, connection, response.facts)
        else:
            await connection.close()


def _check_not_withheld(connections: EndpointConnections, endpoint: Endpoint) -> None:
    if connections.is_withheld(endpoint):
        raise EvacuatedError("its zone is evacuated")


def _unwrap_single_error(group: BaseExceptionGroup) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error


async def _write_request(
    connection: Http1Connection,
    head: h11.Request,
    body: bytes,
    tasks: anyio.abc.TaskGroup,
    written: anyio.Event,
) -> None:
    events = (head, h11.Data(data=body), h11.EndOfMessage())

    async def write() -> None:
        try:
            await connection.send(*events)
        except ConnectionLostError:
            # Reading fails as well, unless the response has ended before.
            return
        written.set()

    if len(body) <= MAX_DIRECT_WRITE_BYTES:
        await write()
    else:
        tasks.start_soon(write)


async def _read_head(
    connection: Http1Connection, request: OutgoingRequest
) -> EndpointResponse:
    try:
        event = await connection.next_event()
        interim_responses = 0
        while isinstance(event, h11.InformationalResponse):
            interim_responses += 1
            if interim_responses > MAX_INTERIM_RESPONSES:
                raise MaybeRanError("too many interim responses")
            event = await connection.next_event()
    except (ConnectionLostError, h11.ProtocolError) as error:
        raise MaybeRanError(f"no answer: {error}") from error
    if not isinstance(event, h11.Response):
        raise MaybeRanError("the endpoint closed the connection without an answer")
    if event.status_code > MAX_STATUS:
        raise MaybeRanError(f"the status {event.status_code} is none of HTTP")
    facts = decode_response_metadata(event)
    if facts.attempt_id not in (request.attempt_id, None):
        raise MaybeRanError("the answer is to another request")
    if request.signed and facts.success:
        if facts.attempt_id is None and request.attempt_id is not None:
            raise MaybeRanError("a success that names no request")
        if not facts.signed:
            raise MaybeRanError("a success without a signature")
    return EndpointResponse(connection=connection, head=event, facts=facts)
