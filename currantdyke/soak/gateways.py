"""Gateways whose processes are stopped, paused and killed by signals."""

import math
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
from currantdyke.soak.proxy import Proxy

__all__ = ["ROTATION_SECONDS", "Incarnation", "SupervisedGateway", "gateway_command"]

POLL_INTERVAL_SECONDS = 0.05
FETCH_TIMEOUT_SECONDS = 0.5
# The platform takes a process out of rotation after two failed probes, a second apart.
ROTATION_SECONDS = 2.0
# Processor time of VMs with slow links, as a share of that of the others.
SLOW_CORES_SHARE = 0.36


@attrs.define(kw_only=True, eq=False)
class Incarnation:
    """One process of a gateway, from its start to its exit.

    Attributes
    ----------
    sigterm_at : float or None
        When SIGTERM was sent.
    interrupted : bool
        Whether it was paused or killed.
    max_version : int
        The highest configuration version that it has reported.
    """

    number: int
    process: anyio.abc.Process
    sigterm_at: float | None = None
    interrupted: bool = False
    max_version: int = 0


@attrs.define(kw_only=True, eq=False)
class SupervisedGateway:
    """A gateway on its own loopback address, restarted whenever its process exits.

    Attributes
    ----------
    store_proxy : Proxy
        Forwards its connections to the store.
    store_addresses : list of str
        Of the store proxy and of the store itself.
    document : dict
        The content of its settings file.
    command : list of str
        The command line of the process.
    on_exit : callable
        Called with this gateway, the incarnation that exited, and its exit code.
    bytes_per_second : float or None
        Bandwidth of its connections if it is behind a slow link.
    events : list of (float, str)
        Starts, signals and exits of its processes, with their times.
    signal_lock : Lock
        Held by the fault that pauses, kills or stops the gateway.
    """

    name: str
    ip: str
    folder: pathlib.Path
    store_proxy: Proxy
    seed_ips: list[str]
    command: list[str]
    on_exit: Callable[["SupervisedGateway", Incarnation, int], None]
    bytes_per_second: float | None = None
    store_addresses: list[str] = attrs.field(factory=list)
    document: dict = attrs.field(factory=dict)
    incarnations: list[Incarnation] = attrs.field(factory=list)
    events: list[tuple[float, str]] = attrs.field(factory=list)
    signal_lock: anyio.Lock = attrs.field(factory=anyio.Lock)

    @property
    def address(self) -> str:
        """Host and port for callers."""
        return f"{self.ip}:{CALLERS_PORT}"

    @property
    def incarnation(self) -> Incarnation:
        """The current incarnation, or the last one if none is running."""
        return self.incarnations[-1]

    def in_rotation(self) -> bool:
        """Whether the platform still sends callers to this gateway."""
        sigterm_at = self.incarnation.sigterm_at
        return (
            sigterm_at is None or anyio.current_time() - sigterm_at < ROTATION_SECONDS
        )

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Keep a process running until cancelled, then kill it."""
        settings = self.folder / f"{self.name}.yaml"
        self.document = node_settings(
            name=self.name,
            ip=self.ip,
            store_address=f"127.0.0.1:{self.store_proxy.port}",
            seed_ips=self.seed_ips,
        )
        if self.bytes_per_second is not None:
            self.document["limits"]["cpu_quota"] = SLOW_CORES_SHARE
        self.write_settings()
        environment = os.environ | {SETTINGS_VARIABLE: str(settings)}
        started = False
        while True:
            with (self.folder / f"{self.name}.log").open("ab") as log:
                process = await anyio.open_process(
                    self.command, stdin=None, stdout=log, stderr=log, env=environment
                )
            self.incarnations.append(
                Incarnation(number=len(self.incarnations) + 1, process=process)
            )
            self.record_event("started")
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
            self.record_event(f"exited with {code}")
            self.on_exit(self, self.incarnation, code)

    @property
    def cut_file(self) -> pathlib.Path:
        """The file that says which ports it is cut off from."""
        return self.folder / f"{self.name}.cut"

    def write_settings(self) -> None:
        """Write the settings file, as the platform does when they change."""
        path = self.folder / f"{self.name}.yaml"
        path.write_text(yaml.safe_dump(self.document))

    def record_event(self, text: str) -> None:
        """Add an event of its processes."""
        self.events.append((anyio.current_time(), text))

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        incarnation = self.incarnation
        if incarnation.process.returncode is not None:
            return
        self.record_event(signal_number.name)
        if signal_number is signal.SIGTERM:
            # Bounds run from the first one.
            incarnation.sigterm_at = incarnation.sigterm_at or anyio.current_time()
        elif signal_number in (signal.SIGSTOP, signal.SIGKILL):
            incarnation.interrupted = True
        incarnation.process.send_signal(signal_number)

    async def wait_ready(self, seconds: float) -> bool:
        """Wait until the process reports readiness; return False after a timeout."""
        with anyio.move_on_after(seconds):
            while (await self.fetch(READINESS_PORT, READY_TARGET))[0] != 200:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
            return True
        return False

    async def configuration_version(self) -> int:
        """Return the configuration version in the metrics; 0 if there is none."""
        _, text = await self.fetch(METRICS_PORT, METRICS_TARGET)
        for line in text.splitlines():
            if line.startswith(b"currantdyke_gateway_configuration_version "):
                return int(float(line.split()[1]))
        return 0

    async def fetch(self, port: int, target: bytes) -> tuple[int, bytes]:
        """Fetch a page; return its status and body, or status 0 without an answer."""
        read = b""
        try:
            with anyio.fail_after(FETCH_TIMEOUT_SECONDS):
                async with await anyio.connect_tcp(self.ip, port) as stream:
                    await stream.send(b"GET %s HTTP/1.0\r\nhost: x\r\n\r\n" % target)
                    async for data in stream:
                        read += data
        except (OSError, TimeoutError, anyio.BrokenResourceError):
            # The process is paused, stopping or not running.
            return 0, b""
        head, _, body = read.partition(b"\r\n\r\n")
        words = head.split()
        return (int(words[1]) if len(words) > 1 else 0), body


def gateway_command(
    planted: str, ip: str, bytes_per_second: float | None, cut_file: pathlib.Path
) -> list[str]:
    """Return the command line of a gateway.

    Parameters
    ----------
    planted : str
        Name of a fault to inject into its code; empty for none.
    ip : str
        Address that its connections come from.
    bytes_per_second : float or None
        Bandwidth of its connections; None for no limit.
    cut_file : Path
        Says which ports it is cut off from, and how; see `soak.link`.
    """
    arguments = [ip, str(bytes_per_second or math.inf), str(cut_file)]
    if planted:
        arguments.append(planted)
    return [sys.executable, "-m", "currantdyke.soak.link", *arguments]
