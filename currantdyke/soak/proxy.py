"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import enum

import anyio
import anyio.abc
import attrs

from currantdyke.emulator.http import reset_on_close
from currantdyke.http1 import BROKEN

__all__ = ["Mode", "Proxy"]

READ_BYTES = 65_536
# Half of the plain route's target: late answers, but answers.
DELAY_SECONDS = 0.15


class Mode(enum.Enum):
    """What the proxy does with bytes and with new connections."""

    PASS = "pass"
    DELAY = "delay"
    REFUSE = "refuse"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    RESET_ANSWERS = "reset answers"


@attrs.define(kw_only=True, eq=False)
class Proxy:
    """Passes connections on to a server, or treats them as its mode says.

    Attributes
    ----------
    target_port : int
        Where the server listens on loopback.
    open : set
        The streams of all open connections, both sides.
    """

    target_port: int
    port: int = 0
    mode: Mode = Mode.PASS
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    open: set[anyio.abc.SocketStream] = attrs.field(factory=set)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Pass connections on until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    def use(self, mode: Mode) -> None:
        """Treat bytes in another way from now on."""
        self.mode = mode
        self.changed.set()
        self.changed = anyio.Event()

    async def reset_all(self) -> None:
        """Reset all open connections."""
        for stream in list(self.open):
            await _reset(stream)

    async def _serve(self, near: anyio.abc.SocketStream) -> None:
        if self.mode is Mode.REFUSE:
            await _reset(near)
            return
        try:
            far = await anyio.connect_tcp("127.0.0.1", self.target_port)
        except OSError:
            # The server is down: its callers see a reset.
            await _reset(near)
            return
        self.open |= {near, far}
        try:
            async with near, far, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, near, far, False, tasks.cancel_scope)
                tasks.start_soon(self._pump, far, near, True, tasks.cancel_scope)
        finally:
            self.open -= {near, far}

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        answers: bool,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(READ_BYTES)
                await self._hold(answers)
                if answers and self.mode is Mode.RESET_ANSWERS:
                    await _reset(sink)
                    scope.cancel()
                    return
                await sink.send(data)
        except BROKEN:
            # Either side ended or broke: so do both.
            scope.cancel()

    async def _hold(self, answers: bool) -> None:
        """Wait while the mode keeps bytes of this direction back."""
        if self.mode is Mode.DELAY:
            await anyio.sleep(DELAY_SECONDS)
        while self.mode is Mode.SILENT or (answers and self.mode is Mode.NO_ANSWERS):
            await self.changed.wait()


async def _reset(stream: anyio.abc.SocketStream) -> None:
    reset_on_close(stream)
    await anyio.aclose_forcefully(stream)
