"""Accept connections, and stop without losing one that waits to be accepted."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from currantdyke.decisionlog import DecisionLog

__all__ = ["Acceptor"]

# Connections that wait to be accepted; a full queue delays a caller by seconds.
LISTEN_BACKLOG = 512
# Pause after an error in accepting connections, which may persist.
RETRY_SECONDS = 0.05


@attrs.define(kw_only=True, eq=False)
class Acceptor:
    """The listening sockets of an address.

    Attributes
    ----------
    serve : callable
        Serves a connection and closes it; must not raise.
    open_connections : int
        Number of accepted connections that are being served.
    """

    address: str
    serve: Callable[[anyio.abc.SocketStream], Awaitable[None]]
    log: DecisionLog
    open_connections: int = 0
    tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Accept and serve connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        listeners: Any = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        async with listeners, anyio.create_task_group() as self.tasks:
            for listener in listeners.listeners:
                self.tasks.start_soon(self._accept, listener)

    async def _accept(self, listener: Any) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                # The connection broke before it was accepted, or descriptors ran out.
                self.log.write("accept_failed", failure=True, reason=str(error))
                await anyio.sleep(RETRY_SECONDS)
                continue
            self.open_connections += 1
            assert self.tasks is not None
            self.tasks.start_soon(self._serve, stream)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        try:
            await self.serve(stream)
        finally:
            self.open_connections -= 1
