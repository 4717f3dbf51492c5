"""Accept callers' connections, and end them well when the daemon stops."""

import anyio
import anyio.abc
import attrs
import h11

from currantdyke.catalog import CallerLimits
from currantdyke.core import Failure, FailureKind
from currantdyke.decisionlog import note_fault
from currantdyke.directory import Directory
from currantdyke.gateway.caller import (
    CallerConnection,
    CallerLeftError,
    SlowCallerError,
)
from currantdyke.gateway.handle import RequestHandler
from currantdyke.http1 import (
    BadRequestError,
    ConnectionLostError,
    MessageTooLargeError,
    set_socket_options,
)
from currantdyke.platform.answers import failure_answer

__all__ = ["Entrance"]

# Opening packets that wait to be accepted; a full queue costs a caller seconds.
LISTEN_BACKLOG = 512
OVERLOADED_RETRY_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class Entrance:
    """The callers' connections of a daemon.

    Attributes
    ----------
    max_connections : int
        Connections beyond this many are closed as soon as they are accepted.
    max_held_bytes : int
        Bodies of requests in progress together; beyond it requests are refused.
    serving : int
        Requests in progress.
    leaving : bool
        Whether the daemon is stopping: each answer is then its connection's last.
    """

    address: str
    directory: Directory
    handler: RequestHandler
    max_connections: int
    max_held_bytes: int
    connections: set[CallerConnection] = attrs.field(factory=set)
    held_bytes: int = 0
    serving: int = 0
    leaving: bool = False

    async def run(self) -> None:
        """Serve callers until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        async with listener:
            await listener.serve(self._serve)

    def close_idle(self) -> int:
        """End the connections on which no request is arriving or served."""
        closed = 0
        for connection in self.connections:
            if connection.idle is not None:
                connection.idle.cancel()
                closed += 1
        return closed

    def is_quiet(self) -> bool:
        """Whether no request is arriving or served on any connection."""
        return all(connection.idle is not None for connection in self.connections)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        if len(self.connections) >= self.max_connections:
            await anyio.aclose_forcefully(stream)
            return
        set_socket_options(stream)
        connection = CallerConnection(stream=stream, limits=self._limits())
        self.connections.add(connection)
        try:
            while await self._serve_request(connection):
                connection.limits = self._limits()
        except (ConnectionLostError, CallerLeftError, h11.LocalProtocolError):
            # The caller is gone; what was sent for it has been cancelled.
            return
        except Exception as error:
            # A fault in one request must not end those of other callers.
            note_fault(self.handler.log, error, where="a caller's connection")
        finally:
            self.connections.discard(connection)
            await connection.close()

    def _limits(self) -> CallerLimits:
        routes = self.directory.routes
        return CallerLimits() if routes is None else routes.catalog.limits

    async def _serve_request(self, connection: CallerConnection) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await connection.read_request()
            if request is None:
                return False
            body = await connection.read_body()
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
        if self.held_bytes + len(body) > self.max_held_bytes:
            return await self._refuse(
                connection, FailureKind.OVERLOADED, "too many bodies are held"
            )
        connection.last = connection.last or self.leaving
        self.held_bytes += len(body)
        self.serving += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.watch, tasks.cancel_scope)
                await self.handler.handle(request, body, connection)
                tasks.cancel_scope.cancel()
        finally:
            self.serving -= 1
            self.held_bytes -= len(body)
        return connection.next_request()

    async def _refuse(
        self, connection: CallerConnection, kind: FailureKind, detail: str
    ) -> bool:
        """Answer a request that was not read whole, and end its connection."""
        failure = Failure(
            kind=kind, detail=detail, retry_after=OVERLOADED_RETRY_SECONDS
        )
        connection.last = True
        status, headers, body = failure_answer(failure, None)
        self.handler.log.write(
            "request_refused", failure=True, reason=kind.code, detail=detail[:200]
        )
        if connection.http.state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await connection.answer(status, headers, body)
            await connection.linger()
        return False
