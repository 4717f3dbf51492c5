"""A small deployment for the scripts of the third review.

Gateways and runners are processes of their own; the store, which is the project's
emulator, the callers and the operator run in the process of the script. Everything has
loopback addresses, and files are in a temporary folder.
"""

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import anyio
import yaml

from currantdyke.emulator import Caller, CallerAnswer, StoreEmulator

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_SECONDS = 1.2
# An entry is removed after three intervals of silence.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
METRICS_PORT = 9464
# An error of the script itself ends it with 1, so that run.sh maps these codes.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2


def free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are free at an address."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


def free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    return free_ports(ip, 1)[0]


def free_ip() -> str:
    """Return a loopback address at which the port of the metrics is free."""
    while True:
        parts = [random.randint(2, 250) for _ in range(3)]
        ip = "127." + ".".join(map(str, parts))
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, METRICS_PORT))
            return ip


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, world: "World", name: str, ip: str, ports: list[int]):
        self.world, self.name, self.ip = world, name, ip
        self.address = f"{ip}:{ports[0]}"
        self.readiness_port = ports[1]
        self.process: subprocess.Popen | None = None
        self.settings = world.folder / f"{name}.yaml"

    def start(self) -> None:
        """Start the process."""
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "currantdyke.gateway"],
                cwd=ROOT,
                env=os.environ
                | {
                    "CURRANTDYKE_CONFIG": str(self.settings),
                    "PYTHONPATH": f"{ROOT}/target/deps",
                },
                stdout=log,
                stderr=log,
            )
        self.world.processes.append(self.process)

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        try:
            with anyio.fail_after(0.5):
                async with await anyio.connect_tcp(
                    self.ip, self.readiness_port
                ) as stream:
                    await stream.send(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    return b" 200" in (await stream.receive())[:16]
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False


class World:
    """The platform, the gateways and the runners of one script."""

    def __init__(self, record: pathlib.Path, *, disrupted: bool, store: StoreEmulator):
        self.record_path = record
        self.disrupted = disrupted
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.runner_record = self.folder / "runners.jsonl"
        self.runner_record.touch()
        self.store = store
        self.gateways: list[Gateway] = []
        self.processes: list[subprocess.Popen] = []
        self.lines: list[dict] = []
        self.started_at = time.monotonic()

    def log(self, event: str, **fields: object) -> None:
        """Add a line to the record."""
        self.lines.append({"at": time.monotonic(), "event": event} | fields)

    def runner_lines(self) -> list[dict]:
        """Return what the runners have recorded so far."""
        return [json.loads(line) for line in self.runner_record.open()]

    def configure(self, *, routes: list[dict], services: list[dict]) -> None:
        """Write the configuration, as the operator would."""
        self.store.configure(
            {
                "version": 7,
                "route_list": routes,
                "services": services,
                "limits": {
                    "max_header_bytes": 16_384,
                    "max_body_bytes": 4_194_304,
                    "header_timeout_ms": 3_000,
                    "idle_timeout_ms": 15_000,
                },
                "tenants": [{"name": "cider", "api_keys": ["k1"], "priority": 1}],
            }
        )

    async def start_gateways(self, count: int, *, bounds: dict | None = None) -> bool:
        """Start gateways, with further bounds; return whether all became ready."""
        ips = [free_ip() for _ in range(count)]
        ports = free_ports(ips[0], 4)
        for number, ip in enumerate(ips, 1):
            gateway = Gateway(self, f"edge-{number}", ip, ports)
            document = {
                "node_name": gateway.name,
                "role": "gateway",
                "machine_class": "edge",
                "serves": ["edge", "control"],
                "ip": ip,
                "zone": "zone-a",
                "region": "region-a",
                "zones": {"zone-a": "region-a"},
                "listen": {
                    "frontend": gateway.address,
                    "readiness": f"{ip}:{ports[1]}",
                    "control_plane": f"{ip}:{ports[2]}",
                },
                "internal_port_range": [ports[3], ports[3]],
                "seed_nodes": [f"{seed}:{ports[2]}" for seed in ips[:3]],
                "bootstrap": True,
                "limits": {
                    "cpu_quota": 0.731,
                    "cpu_cores": 1,
                    "memory_mb": 222,
                    "max_fds": 1_535,
                    "link_mbps": 350.0,
                    "disk_mb": 0,
                },
                "data_dir": None,
                "heartbeat_ms": int(HEARTBEAT_SECONDS * 1_000),
                "bounds": {
                    "contact_ms": 3_000,
                    "drain_ms": 2_000,
                    "grace_s": 8,
                    "config_apply_ms": 2_000,
                    "retry_budget_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_budget_slack": 104,
                }
                | (bounds or {}),
                "platform": {
                    "address": self.store.address,
                    "form": "kv",
                    "writes_per_s": 400,
                    "reads_per_s": 2_000,
                    "history_s": 20,
                    "value_bytes": 1_048_576,
                    "min_ttl_ms": 1_000,
                },
            }
            gateway.settings.write_text(yaml.safe_dump(document))
            gateway.start()
            self.gateways.append(gateway)
        with anyio.move_on_after(15):
            while not all([await gateway.is_ready() for gateway in self.gateways]):
                await anyio.sleep(0.1)
            return True
        return False

    async def run_runner(
        self,
        address: str,
        *,
        instance: str,
        service: str = "llm",
        version: str = "v1",
        options: list[str] | None = None,
        cold_ms: int = 0,
    ) -> None:
        """Run one lifetime of a runner and write its entry until the process ends.

        Parameters
        ----------
        cold_ms : int
            For how long it is cold after its start.
        """
        born = int(time.time() * 1_000)
        process = subprocess.Popen(
            [
                sys.executable,
                str(ROOT / "review" / "runner_3.py"),
                *("--address", address, "--instance", instance),
                *("--version", version, "--born", str(born)),
                *("--record", str(self.runner_record), "--cold-ms", str(cold_ms)),
                *(options or []),
            ],
            cwd=ROOT,
        )
        self.processes.append(process)
        self.runner_processes[instance] = process
        host, _, port = address.rpartition(":")
        while process.poll() is None:
            with contextlib.suppress(OSError):
                await (await anyio.connect_tcp(host, int(port))).aclose()
                break
            await anyio.sleep(0.02)
        next_beat = listens_at = time.monotonic()
        sequence = 0
        while process.poll() is None:
            if time.monotonic() >= next_beat and not self.runners_cut:
                sequence += 1
                self.beats[instance] = time.monotonic()
                next_beat = time.monotonic() + HEARTBEAT_SECONDS
                entry = {
                    "service": service,
                    "address": address,
                    "zone": "zone-a",
                    "version": version,
                    "slots": 64,
                    "state": "ready",
                    "cold_remaining_ms": max(
                        0, cold_ms - int((time.monotonic() - listens_at) * 1_000)
                    ),
                    "sequence": sequence,
                    "born": born,
                }
                self.store.announce(instance, entry)
                if sequence == 1:
                    self.log("announced", runner=instance, version=version, born=born)
            await anyio.sleep(0.02)
        self.log("runner_ended", runner=instance, born=born, code=process.returncode)

    async def expire_entries(self) -> None:
        """Remove the entries of runners that have been silent for three intervals."""
        while True:
            await anyio.sleep(0.05)
            for instance, at in list(self.beats.items()):
                if time.monotonic() > at + EXPIRY_SECONDS:
                    del self.beats[instance]
                    self.store.withdraw(instance)
                    self.log("entry_removed", runner=instance)

    async def cut_runners_off(self, seconds: float) -> None:
        """Cut all runners off from the store for some seconds, and from no other."""
        self.log("runners_cut_off")
        self.runners_cut = True
        await anyio.sleep(seconds)
        self.runners_cut = False
        self.log("runners_reach_the_store")

    async def request(
        self,
        gateway: Gateway,
        attempt: str,
        *,
        method: str = "POST",
        path: str = "/stream/x",
        deadline_ms: int = 10_000,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> CallerAnswer | None:
        """Send one request on a new channel; None without an answer."""
        caller = Caller(address=gateway.address)
        try:
            with anyio.fail_after(deadline_ms / 1_000 + 1):
                return await caller.request(
                    method,
                    path,
                    body=body,
                    headers={
                        "authorization": "Token k1",
                        "x-attempt-id": attempt,
                        "x-deadline-ms": str(deadline_ms),
                    }
                    | (headers or {}),
                )
        except Exception:
            # Whatever ended the channel, there was no answer.
            return None
        finally:
            await caller.close()

    def end_processes(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()

    async def main(self, script: Callable[["World"], Awaitable[int]]) -> int:
        """Run a script with the store, and write the record."""
        self.runner_processes: dict[str, subprocess.Popen] = {}
        self.runners_cut = False
        self.beats: dict[str, float] = {}
        code = COULD_NOT_RUN
        try:
            async with anyio.create_task_group() as self.tasks:
                await self.tasks.start(self.store.run)
                self.tasks.start_soon(self.expire_entries)
                code = await script(self)
                self.tasks.cancel_scope.cancel()
        finally:
            self.end_processes()
            self.write_record(code)
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in self.folder.iterdir():
                    (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
            self.temporary.cleanup()
        return code

    def write_record(self, code: int) -> None:
        """Write what was sent, answered and run, in the order of time."""
        lines = sorted(self.lines + self.runner_lines(), key=lambda line: line["at"])
        with self.record_path.open("w") as file:
            for line in lines:
                at = line.pop("at") - self.started_at
                file.write(f"{at:8.3f} {json.dumps(line)}\n")
            file.write(f"exit {code}\n")


def run(
    script: Callable[[World], Awaitable[int]],
    record: pathlib.Path,
    *,
    store: StoreEmulator | None = None,
) -> int:
    """Run a script and write its record; TROUBLE=0 leaves the disruption out."""
    disrupted = os.environ.get("TROUBLE", "1") != "0"
    world = World(record, disrupted=disrupted, store=store or StoreEmulator())
    # The end of the time that run.sh allows ends the processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    return anyio.run(world.main, script)
