"""Accept connections, and stop without losing one that waits to be accepted."""

import select
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.http1 import limit_reading

__all__ = ["Acceptor"]

# Connections that wait to be accepted; a full queue delays a caller by seconds.
LISTEN_BACKLOG = 512
# Pause after an error in accepting connections, which may persist.
RETRY_SECONDS = 0.05
CHECK_SECONDS = 0.01


@attrs.define(kw_only=True, eq=False)
class Acceptor:
    """The listening sockets of an address.

    Attributes
    ----------
    serve : callable
        Serves a connection and closes it; must not raise.
    listening : bool
        Whether connections are accepted.
    open_connections : int
        Number of accepted connections that are being served.
    accepting : int
        Number of connections that are being accepted.
    waits : dict of int to CancelScope
        Waits for a connection, by the descriptor of the listening socket.
    """

    address: str
    serve: Callable[[anyio.abc.SocketStream], Awaitable[None]]
    log: DecisionLog
    listening: bool = False
    open_connections: int = 0
    accepting: int = 0
    waits: dict[int, anyio.CancelScope] = attrs.field(factory=dict)
    tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Serve connections until cancelled, or until `stop` and the last has ended."""
        host, _, port = self.address.rpartition(":")
        listeners: Any = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        self.listening = True
        async with anyio.create_task_group() as self.tasks:
            # The listening sockets close when accepting ends, before the connections.
            await self._accept_until_stopped(listeners)

    async def stop(self) -> None:
        """Accept the connections that wait for it, and no more."""
        while self.accepting or any(map(_is_readable, self.waits)):
            await anyio.sleep(CHECK_SECONDS)
        for scope in self.waits.values():
            scope.cancel()
        self.waits.clear()
        self.listening = False

    async def _accept_until_stopped(self, listeners: Any) -> None:
        async with listeners, anyio.create_task_group() as tasks:
            for listener in listeners.listeners:
                tasks.start_soon(self._accept_all, listener)

    async def _accept_all(self, listener: Any) -> None:
        raw_socket = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        while True:
            # Only this wait is cancelled, so that no accepted connection is lost.
            with anyio.CancelScope() as scope:
                self.waits[raw_socket.fileno()] = scope
                await anyio.wait_readable(raw_socket)
            if scope.cancel_called:
                return
            self.accepting += 1
            try:
                await self._accept(listener)
            finally:
                self.accepting -= 1

    async def _accept(self, listener: Any) -> None:
        try:
            stream = await listener.accept()
        except OSError as error:
            # The connection broke before it was accepted, or descriptors ran out.
            self.log.write("accept_failed", failure=True, reason=str(error))
            await anyio.sleep(RETRY_SECONDS)
            return
        limit_reading(stream)
        self.open_connections += 1
        assert self.tasks is not None
        self.tasks.start_soon(self._serve, stream)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        try:
            await self.serve(stream)
        finally:
            self.open_connections -= 1


def _is_readable(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
