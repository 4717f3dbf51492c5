"""Gateways as separate processes before a stand-in of the platform's store."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable

from standin_http import Client
from standin_store import Store

ROOT = pathlib.Path(__file__).resolve().parents[1]
METRICS_PORT = 9464
READY_SECONDS = 30.0
HEARTBEAT_SECONDS = 1.2
KEY = "9dnn2ctnfzs989anu6ws"
HOST = "entries.example"

# The bounds of the small deployment of DEPLOY.md.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 5000,
    "revoke_strict": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_budget_slack": 104,
    "recovery_s": 12,
    "delivery_ms": 120,
    "reuse_window_s": 10,
}


class CouldNotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.started = time.monotonic()
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.started:9.3f} s  {text}")

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, name: str, ip: str, zone: str, ports: list[int]):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.caller_port, self.ready_port, self.control_port, self.peer_port = ports
        self.process: subprocess.Popen | None = None

    def client(self) -> Client:
        """Return a new channel for a requester."""
        return Client(self.ip, self.caller_port)

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        client = Client(self.ip, self.ready_port)
        answer = await client.request("GET", "/api/readyz", {"Host": "x"}, timeout=1.0)
        client.close()
        return answer.status == 200


class Deployment:
    """The store, the gateways and the runners' entries of one case."""

    def __init__(self, record: Record, gateways: int):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.store = Store(f"{self.network}.1")
        ips = [f"{self.network}.{11 + number}" for number in range(gateways)]
        ports = _free_ports(ips, 4)
        zones = ["ng-west-a", "ng-west-b", "ng-west-c", "ng-west-d"]
        self.gateways = [
            Gateway(f"edge-{number}", ip, zones[number % len(zones)], ports)
            for number, ip in enumerate(ips)
        ]
        self.entries: dict[str, dict] = {}
        self.tasks: list[asyncio.Task] = []

    @property
    def runner_host(self) -> str:
        """The address at which runners listen."""
        return f"{self.network}.100"

    def run(self, coroutine) -> None:
        """Run something beside the case until it ends."""
        self.tasks.append(asyncio.create_task(coroutine))

    async def start(self, configuration: dict, *, spare: int = 0) -> None:
        """Start the store with a configuration, then the gateways but the last ones.

        ``spare`` is the number of gateways that ``add`` starts later.
        """
        await self.store.server.start()
        self.run(self.store.run_leases())
        self.run(self._beat())
        self.store.put("op/config", configuration)
        await self.add(self.gateways[: len(self.gateways) - spare])

    async def add(self, gateways: list[Gateway]) -> None:
        """Start gateways, and wait until they are ready."""
        for gateway in gateways:
            self._start_gateway(gateway)
        end = time.monotonic() + READY_SECONDS
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise CouldNotRunError(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.1)
        names = ", ".join(gateway.name for gateway in gateways)
        self.record.write(f"ready: {names}")

    def announce(self, instance: str, entry: dict) -> None:
        """Have a runner write its entry now and at each heartbeat."""
        self.entries[instance] = {"sequence": 0} | entry
        self._write_entry(instance)

    def withdraw(self, instance: str, *, remove: bool = True) -> None:
        """End a runner's heartbeats; a crashed runner doesn't remove its entry."""
        self.entries.pop(instance, None)
        if remove:
            self.store.remove(f"servers/{instance}")

    def write_entries(self) -> None:
        """Have all runners write their entries at once."""
        for instance in self.entries:
            self._write_entry(instance)

    async def stop(self) -> None:
        """End all processes that this deployment has started."""
        for gateway in self.gateways:
            process = gateway.process
            if process is None:
                continue
            code = process.poll()
            if code is not None:
                self.record.write(f"{gateway.name} had ended by itself with {code}")
            else:
                process.kill()
            process.wait()
        for task in self.tasks:
            task.cancel()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _write_entry(self, instance: str) -> None:
        entry = self.entries[instance]
        entry["sequence"] += 1
        self.store.put(f"servers/{instance}", entry)

    async def _beat(self) -> None:
        rng = random.Random(7)
        due: dict[str, float] = {}
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for instance in list(self.entries):
                if instance not in due:
                    due[instance] = now + rng.uniform(0.0, HEARTBEAT_SECONDS)
                elif now >= due[instance] and not self.store.away:
                    self._write_entry(instance)
                    due[instance] = now + HEARTBEAT_SECONDS

    def _start_gateway(self, gateway: Gateway) -> None:
        settings = self.folder / f"{gateway.name}.yaml"
        settings.write_text(json.dumps(self._settings(gateway), indent=1))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CURRANTDYKE_CONFIG": str(settings),
        }
        with (self.folder / f"{gateway.name}.log").open("ab") as log:
            gateway.process = subprocess.Popen(
                ["python3", "-m", "currantdyke.gateway"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self, gateway: Gateway) -> dict:
        return {
            "node_name": gateway.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge", "control"],
            "ip": gateway.ip,
            "zone": gateway.zone,
            "region": "ng-west",
            "zones": {entry.zone: "ng-west" for entry in self.gateways},
            "listen": {
                "frontend": f"{gateway.ip}:{gateway.caller_port}",
                "readiness": f"{gateway.ip}:{gateway.ready_port}",
                "control_plane": f"{gateway.ip}:{gateway.control_port}",
            },
            "internal_port_range": [gateway.peer_port, gateway.peer_port + 15],
            "seed_nodes": [
                f"{entry.ip}:{entry.control_port}" for entry in self.gateways[:3]
            ],
            "bootstrap": True,
            "counts_as_loss": False,
            "limits": {
                "cpu_quota": 0.731,
                "cpu_cores": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry_point": "vip",
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1_000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
                "stages",
            ],
            "fault_tolerance": {
                "max_machine_failures": 1,
                "zones": 0,
                "max_region_failures": 0,
            },
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.server.address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses; gateways have the same ones."""
    ports: list[int] = []
    for _ in range(500):
        port = random.randint(20_000, 30_000)
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
        if len(ports) == count:
            if all(_is_free(ip, METRICS_PORT) for ip in ips):
                return ports
            break
    raise CouldNotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def plain_route(**fields: object) -> dict:
    """Return a route of a plain service."""
    return {
        "name": "status-lookup",
        "host": HOST,
        "prefix": "/status/",
        "type": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 2,
        "service": "entry-desk",
        "max_attempts": 2,
        "public": False,
    } | fields


def stream_route(**fields: object) -> dict:
    """Return a route of a model service."""
    return (
        plain_route(
            name="judging-dossier",
            prefix="/dossier/",
            type="streaming",
            timeout_ms=12000,
            target_latency_ms=1301,
            target_itl_ms=200,
            priority=1,
            service="pomace-llm",
            stream_resume=True,
            session_affinity=True,
        )
        | fields
    )


def configuration(version: int, routes: list[dict], **fields: object) -> dict:
    """Return a configuration with one tenant and the services of the cases."""
    stage = {
        "slots": 1,
        "queue": 2,
        "batch": 4,
        "call_ms": 150.0,
        "item_ms": 32.0,
        "headroom_mb": 18.0,
        "handle_ttl_s": 4.0,
        "link_mbps": 10_000,
    }
    engine = {"slots": 64, "kv_capacity_tokens": 557_011}
    return {
        "version": version,
        "route_list": routes,
        "services": [
            {"name": "entry-desk", "health_path": "/healthz", "max_connections": 192},
            {"name": "new-desk", "health_path": "/healthz", "max_connections": 192},
            {
                "name": "pomace-llm",
                "health_path": "/healthz",
                "max_connections": 720,
                "engine": engine,
            },
            {
                "name": "score-ledger",
                "health_path": "/healthz",
                "max_connections": 720,
                "segments": stage,
            },
            {
                "name": "member-roll",
                "health_path": "/healthz",
                "max_connections": 720,
                "segments": stage,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "cider", "api_keys": [KEY], "priority": 1}],
    } | fields


def trouble() -> bool:
    """Return whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def born_now() -> int:
    """Return the Unix millisecond of a runner's start."""
    return int(time.time() * 1_000)


def run_case(
    play: Callable[[Deployment], Awaitable[int]], path: pathlib.Path, *, gateways: int
) -> int:
    """Play a case, end all processes, write its record, and return the exit code.

    The code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run,
    for whatever reason.
    """
    return asyncio.run(_run_case(play, path, gateways))


async def _run_case(
    play: Callable[[Deployment], Awaitable[int]], path: pathlib.Path, gateways: int
) -> int:
    record = Record(path)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    code = 2
    deployment = None
    try:
        deployment = Deployment(record, gateways)
        code = await play(deployment)
    except CouldNotRunError as error:
        record.write(f"could not run: {error}")
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
    finally:
        if deployment is not None:
            await deployment.stop()
        record.write(f"exit code {code}")
        record.save()
    return code
