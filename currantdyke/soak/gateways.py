"""Gateways as processes of their own, which signals stop, pause and kill."""

import os
import pathlib
import signal
import sys
from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import yaml

from currantdyke.emulator import node_settings
from currantdyke.emulator.nodes import CALLERS_PORT, READINESS_PORT
from currantdyke.platform.names import METRICS_PORT, METRICS_TARGET, READY_TARGET
from currantdyke.platform.settings import SETTINGS_VARIABLE

__all__ = ["ROTATION_SECONDS", "GatewayProcess", "Life", "gateway_command"]

POLL_SECONDS = 0.05
PAGE_SECONDS = 0.5
# The platform takes a process out of rotation after two misses, a second apart.
ROTATION_SECONDS = 2.0


@attrs.define(kw_only=True, eq=False)
class Life:
    """One life of a gateway.

    Attributes
    ----------
    told_to_stop : float or None
        When SIGTERM was sent.
    disturbed : bool
        Whether it was paused or killed.
    version : int
        The highest version of the configuration that it was seen to have.
    """

    number: int
    process: anyio.abc.Process
    told_to_stop: float | None = None
    disturbed: bool = False
    version: int = 0


@attrs.define(kw_only=True, eq=False)
class GatewayProcess:
    """A gateway on a loopback address of its own; it is started again when it ends.

    Attributes
    ----------
    command : list of str
        What runs it.
    ended : callable
        Called with this gateway, a life of it that has ended, and its exit code.
    busy : Lock
        Held by whoever pauses, kills or stops it.
    """

    name: str
    ip: str
    folder: pathlib.Path
    store_port: int
    seed_ips: list[str]
    command: list[str]
    ended: Callable[["GatewayProcess", Life, int], None]
    lives: list[Life] = attrs.field(factory=list)
    busy: anyio.Lock = attrs.field(factory=anyio.Lock)

    @property
    def address(self) -> str:
        """Where callers reach it."""
        return f"{self.ip}:{CALLERS_PORT}"

    @property
    def life(self) -> Life:
        """The present or the last life."""
        return self.lives[-1]

    def in_rotation(self) -> bool:
        """Whether the platform would still send callers here."""
        told = self.life.told_to_stop
        return told is None or anyio.current_time() - told < ROTATION_SECONDS

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Keep a process running until cancelled; the last one is killed then."""
        settings = self.folder / f"{self.name}.yaml"
        document = node_settings(
            name=self.name,
            ip=self.ip,
            store_address=f"127.0.0.1:{self.store_port}",
            seed_ips=self.seed_ips,
        )
        settings.write_text(yaml.safe_dump(document))
        environment = os.environ | {SETTINGS_VARIABLE: str(settings)}
        started = False
        while True:
            with (self.folder / f"{self.name}.log").open("ab") as log:
                process = await anyio.open_process(
                    self.command, stdin=None, stdout=log, stderr=log, env=environment
                )
            self.lives.append(Life(number=len(self.lives) + 1, process=process))
            if not started:
                task_status.started()
                started = True
            try:
                code = await process.wait()
            finally:
                if process.returncode is None:
                    process.kill()
                    with anyio.CancelScope(shield=True):
                        await process.wait()
            self.ended(self, self.life, code)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        life = self.life
        if life.process.returncode is not None:
            return
        if number is signal.SIGTERM:
            life.told_to_stop = anyio.current_time()
        elif number in (signal.SIGSTOP, signal.SIGKILL):
            life.disturbed = True
        life.process.send_signal(number)

    async def wait_ready(self, seconds: float) -> bool:
        """Wait until the process says that it is ready."""
        with anyio.move_on_after(seconds):
            while (await self.page(READINESS_PORT, READY_TARGET))[0] != 200:
                await anyio.sleep(POLL_SECONDS)
            return True
        return False

    async def configuration_version(self) -> int:
        """Return the version that the process shows; 0 if it shows none."""
        _, text = await self.page(METRICS_PORT, METRICS_TARGET)
        for line in text.splitlines():
            if line.startswith(b"currantdyke_gateway_configuration_version "):
                return int(float(line.split()[1]))
        return 0

    async def page(self, port: int, target: bytes) -> tuple[int, bytes]:
        """Return status and body of a page; status 0 if there is none."""
        read = b""
        try:
            with anyio.fail_after(PAGE_SECONDS):
                async with await anyio.connect_tcp(self.ip, port) as stream:
                    await stream.send(b"GET %s HTTP/1.0\r\nhost: x\r\n\r\n" % target)
                    async for data in stream:
                        read += data
        except (OSError, TimeoutError, anyio.BrokenResourceError):
            # Not there, paused or ending: no page.
            return 0, b""
        head, _, body = read.partition(b"\r\n\r\n")
        words = head.split()
        return (int(words[1]) if len(words) > 1 else 0), body


def gateway_command(planted: str) -> list[str]:
    """Return the command of a gateway, with a fault planted if one is named."""
    if planted:
        return [sys.executable, "-m", "currantdyke.soak.planted", planted]
    return [sys.executable, "-m", "currantdyke.gateway"]
