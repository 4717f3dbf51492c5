"""Loopback proxy that delays, resets, blocks in one direction or stalls connections."""

import enum

import anyio
import anyio.abc
import attrs

from currantdyke.emulator.http import reset_on_close
from currantdyke.http1 import CONNECTION_ERRORS

__all__ = ["Mode", "Proxy"]

READ_BYTES = 65_536
# Half of the plain route's target latency, so that requests still succeed.
DELAY_SECONDS = 0.15


class Mode(enum.Enum):
    """Treatment of forwarded bytes and new connections.

    ``DELAY`` forwards each read after ``DELAY_SECONDS``; ``REFUSE`` resets new
    connections; ``SILENT`` forwards nothing in either direction; ``NO_ANSWERS``
    forwards nothing from the server; ``RESET_ANSWERS`` resets a connection when
    bytes from the server arrive.
    """

    PASS = "pass"
    DELAY = "delay"
    REFUSE = "refuse"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    RESET_ANSWERS = "reset answers"


@attrs.define(kw_only=True, eq=False)
class Proxy:
    """Forwards connections to a server, subject to its mode.

    Attributes
    ----------
    target_port : int
        The server's port on loopback.
    open_streams : set
        The streams of all open connections, on both sides.
    """

    target_port: int
    port: int = 0
    mode: Mode = Mode.PASS
    mode_changed: anyio.Event = attrs.field(factory=anyio.Event)
    open_streams: set[anyio.abc.SocketStream] = attrs.field(factory=set)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Forward connections until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, also for open connections."""
        self.mode = mode
        self.mode_changed.set()
        self.mode_changed = anyio.Event()

    async def reset_all(self) -> None:
        """Reset all open connections."""
        for stream in list(self.open_streams):
            await _reset(stream)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        if self.mode is Mode.REFUSE:
            await _reset(client)
            return
        host = client.extra(anyio.abc.SocketAttribute.remote_address, ("", 0))[0]
        try:
            # The server sees the address of the client.
            server = await anyio.connect_tcp(
                "127.0.0.1", self.target_port, local_host=host or None
            )
        except OSError:
            # The server is down; the caller gets a reset.
            await _reset(client)
            return
        self.open_streams |= {client, server}
        try:
            async with client, server, anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward, client, server, False, tasks.cancel_scope
                )
                tasks.start_soon(
                    self._forward, server, client, True, tasks.cancel_scope
                )
        finally:
            self.open_streams -= {client, server}

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        from_server: bool,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(READ_BYTES)
                await self._wait_to_forward(from_server)
                if from_server and self.mode is Mode.RESET_ANSWERS:
                    await _reset(sink)
                    scope.cancel()
                    return
                await sink.send(data)
        except CONNECTION_ERRORS:
            # One side closed or failed, so both are closed.
            scope.cancel()

    async def _wait_to_forward(self, from_server: bool) -> None:
        """Wait while the mode delays or blocks bytes in this direction."""
        if self.mode is Mode.DELAY:
            await anyio.sleep(DELAY_SECONDS)
        while self.mode is Mode.SILENT or (
            from_server and self.mode is Mode.NO_ANSWERS
        ):
            await self.mode_changed.wait()


async def _reset(stream: anyio.abc.SocketStream) -> None:
    reset_on_close(stream)
    await anyio.aclose_forcefully(stream)
