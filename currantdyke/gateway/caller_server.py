"""Accept callers' connections, and drain them when the daemon stops."""

from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import h11

from currantdyke.catalog import CallerLimits
from currantdyke.core import Failure, FailureKind
from currantdyke.decisionlog import log_internal_error
from currantdyke.directory import Directory
from currantdyke.gateway.accept import Acceptor
from currantdyke.gateway.caller import (
    CallerConnection,
    CallerDisconnectedError,
    SlowCallerError,
)
from currantdyke.gateway.denials import DENIALS, deny, refuse_for_now
from currantdyke.gateway.handler import RequestHandler
from currantdyke.gateway.limit_log import LimitLog
from currantdyke.gateway.memory import MemoryAccount, choose_to_close
from currantdyke.http1 import (
    BadRequestError,
    ConnectionLostError,
    MessageTooLargeError,
    set_socket_options,
)
from currantdyke.platform.answers import encode_failure_response

__all__ = ["CallerServer"]

REFUSED_RETRY_SECONDS = 0.5
CLOSE_CHECK_SECONDS = 0.05
# Part of the connections that is kept for callers that send requests: beyond the rest,
# connections that have sent none are closed.
ORDINARY_CONNECTIONS_SHARE = 0.125
# A caller that has just connected, or got an answer, may send its next request at once:
# its connection is not closed for others before this time.
NEXT_REQUEST_SECONDS = 0.5
# Time for the answers of the requests that are ended with the process.
END_SECONDS = 0.7


@attrs.define(kw_only=True, eq=False)
class CallerServer:
    """Server for the connections of callers.

    Attributes
    ----------
    max_connections : int
        Limit on open connections. Near it, connections without a request are closed;
        at it, others that are not being served, or else the new one.
    memory : MemoryAccount
        Memory for bodies, answers and data read ahead; requests beyond it are refused.
    limit_log : LimitLog
        Receives what is closed or refused for its memory or descriptor.
    requests_in_progress : int
        Number of requests that are being handled.
    draining : bool
        Whether the daemon is stopping; each connection then closes after its answer.
    """

    address: str
    directory: Directory
    handler: RequestHandler
    max_connections: int
    memory: MemoryAccount
    limit_log: LimitLog
    connections: set[CallerConnection] = attrs.field(factory=set)
    requests_in_progress: int = 0
    draining: bool = False
    acceptor: Acceptor = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the part that accepts the connections."""
        self.acceptor = Acceptor(
            address=self.address, serve=self._serve_connection, log=self.handler.log
        )

    async def run(self) -> None:
        """Serve callers until cancelled."""
        await self.acceptor.run()

    def start_draining(self) -> None:
        """Close each connection after the next answer that begins on it."""
        self.draining = True
        for connection in self.connections:
            if not connection.response_started:
                connection.must_close = True

    async def finish(self, deadline: float) -> None:
        """Accept no more connections, and serve the open ones to their ends.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which requests in progress are answered with a
            failure.
        """
        with anyio.CancelScope(deadline=deadline):
            await self.acceptor.stop()
            await self._wait_until_closed()
        with anyio.move_on_after(END_SECONDS):
            await self.acceptor.stop()
            await self._wait_until_closed(self._end_requests)

    async def _wait_until_closed(
        self, hurry: Callable[[], None] = lambda: None
    ) -> None:
        while self.acceptor.open_connections:
            self.close_idle()
            hurry()
            await anyio.sleep(CLOSE_CHECK_SECONDS)

    def _end_requests(self) -> None:
        """Answer the requests in progress with a failure."""
        for connection in self.connections:
            connection.end_writes()
            waits = connection.idle_scope is not None
            if connection.request_scope is not None and not waits:
                connection.request_scope.cancel()

    def close_idle(self) -> int:
        """Close the connections that wait for a request; return how many."""
        closed = 0
        for connection in self.connections:
            if connection.idle_scope is not None:
                connection.idle_scope.cancel()
                closed += 1
        return closed

    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        return all(connection.idle_scope is not None for connection in self.connections)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        """Serve a connection; an error does not affect the others."""
        try:
            if not self._make_room():
                self.limit_log.record("no_descriptor")
                await anyio.aclose_forcefully(stream)
                return
            set_socket_options(stream)
            await self._serve_requests(stream)
        except (ConnectionLostError, CallerDisconnectedError):
            # The caller has disconnected; calls to endpoints for it are cancelled.
            return
        except Exception as error:
            log_internal_error(self.handler.log, error, where="caller connection")
            await anyio.aclose_forcefully(stream)

    def _is_crowded(self) -> bool:
        ordinary = ORDINARY_CONNECTIONS_SHARE * self.max_connections
        return len(self.connections) >= self.max_connections - ordinary

    def _make_room(self) -> bool:
        """Close a connection if descriptors are short; return whether one is free."""
        if not self._is_crowded():
            return True
        full = len(self.connections) >= self.max_connections
        before = anyio.current_time() - NEXT_REQUEST_SECONDS
        unserved = [
            connection
            for connection in self.connections
            if connection.close_cost == 0
            and not connection.closed_early
            and connection.waits_since <= before
        ]
        silent = [entry for entry in unserved if not entry.requests_read]
        chosen = choose_to_close(silent or (unserved if full else ()))
        if chosen is None:
            return not full
        chosen.close_early()
        self.limit_log.record("descriptors")
        return True

    async def _serve_requests(self, stream: anyio.abc.SocketStream) -> None:
        connection = CallerConnection(
            stream=stream, limits=self._limits(), memory=self.memory
        )
        self.connections.add(connection)
        try:
            while await self._serve_request(connection):
                connection.limits = self._limits()
        finally:
            self.connections.discard(connection)
            connection.release_memory()
            await connection.close()

    def _limits(self) -> CallerLimits:
        routes = self.directory.routes
        return CallerLimits() if routes is None else routes.catalog.limits

    async def _read_request(
        self, connection: CallerConnection
    ) -> tuple[h11.Request, bytes] | None:
        request = await connection.read_request()
        if request is None:
            return None
        connection.limits = self._limits()
        return request, await connection.read_body()

    async def _serve_request(self, connection: CallerConnection) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            with anyio.CancelScope() as connection.request_scope:
                read = await self._read_request(connection)
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == 431
            kind = FailureKind.HEADERS_TOO_LARGE if too_large else FailureKind.MALFORMED
            return await self._refuse(connection, kind, str(error))
        except BadRequestError as error:
            return await self._refuse(connection, FailureKind.MALFORMED, str(error))
        except MessageTooLargeError as error:
            return await self._refuse(connection, FailureKind.TOO_LARGE, str(error))
        except SlowCallerError as error:
            return await self._refuse(connection, FailureKind.SLOW_REQUEST, str(error))
        if connection.request_scope.cancelled_caught and connection.closed_early:
            return await self._refuse(
                connection, FailureKind.OVERLOADED, "it is closed for others"
            )
        if connection.request_scope.cancelled_caught:
            return await self._refuse(
                connection, FailureKind.SHUTTING_DOWN, "the daemon stops"
            )
        if read is None:
            return False
        request, body = read
        if not connection.hold_request(body):
            self.limit_log.record("memory_request")
            return await self._refuse(
                connection, FailureKind.OVERLOADED, "too many bodies are held"
            )
        connection.must_close = connection.must_close or self.draining
        self.requests_in_progress += 1
        try:
            async with anyio.create_task_group() as tasks:
                connection.request_scope = tasks.cancel_scope
                tasks.start_soon(connection.cancel_on_disconnect, tasks.cancel_scope)
                await self.handler.handle(request, body, connection)
                tasks.cancel_scope.cancel()
        finally:
            connection.request_scope = None
            self.requests_in_progress -= 1
            connection.release_memory()
        if connection.prepare_next_request():
            return True
        if connection.answered and connection.may_be_reset() and not self._is_crowded():
            await connection.linger()
        return False

    def _deny(
        self, connection: CallerConnection, kind: FailureKind, detail: str
    ) -> Failure:
        """Return the failure of a request that exceeds a limit of its connection."""
        limits = self._limits()
        if kind is FailureKind.HEADERS_TOO_LARGE:
            raised = connection.max_header_bytes < limits.header_bytes
        else:
            raised = connection.limits.body_bytes < limits.body_bytes
        if raised:
            # The connection took its limit over before that.
            return refuse_for_now(FailureKind.STALE_CONFIGURATION, detail)
        return deny(self.directory, kind, detail)

    async def _refuse(
        self, connection: CallerConnection, kind: FailureKind, detail: str
    ) -> bool:
        """Refuse a request before it is handled, and close its connection."""
        if kind in DENIALS:
            failure = self._deny(connection, kind, detail)
        else:
            failure = Failure(
                kind=kind, detail=detail, retry_after=REFUSED_RETRY_SECONDS
            )
        connection.must_close = True
        connection.release_memory()
        status, headers, body = encode_failure_response(failure, None)
        self.handler.log.write(
            "request_refused",
            failure=True,
            reason=failure.kind.code,
            detail=failure.detail[:200],
        )
        if connection.http.state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await connection.answer(status, headers, body)
            if not self._is_crowded():
                await connection.linger()
        return False
