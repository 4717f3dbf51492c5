"""Soak test: an emulated platform, gateway processes, callers and faults."""

import functools
import itertools
import pathlib
import random
import tempfile

import anyio
import anyio.abc
import attrs

from currantdyke.emulator import (
    EngineEmulator,
    PlainEmulator,
    StageEmulator,
    StoreEmulator,
)
from currantdyke.emulator.endpoints import EndpointEmulator
from currantdyke.soak.callers import send_requests
from currantdyke.soak.faults import inject_faults
from currantdyke.soak.gateways import SupervisedGateway, gateway_command
from currantdyke.soak.promises import (
    MAX_CONFIGURATION_DELAY_SECONDS,
    GuaranteeChecker,
)
from currantdyke.soak.proxy import Proxy
from currantdyke.testing.gateways import (
    configuration,
    loopback_ip,
    plain_route,
    stream_route,
)

__all__ = ["Report", "soak"]

GATEWAY_COUNT = 3
FIRST_HOST_NUMBER = 200
CALLER_COUNT = 12
FAULT_SERIES_COUNT = 5
ENDPOINTS = ((PlainEmulator, "plain", 3), (EngineEmulator, "engine", 3))
STAGE_ENDPOINTS = (StageEmulator, "rank", 2)
READY_TIMEOUT_SECONDS = 30.0
SETTLE_SECONDS = 2.0
CHECK_INTERVAL_SECONDS = 0.25
ROUTE_STAGES = [{"service": "rank", "after": [], "size_bytes": 1_000}]


@attrs.frozen(kw_only=True)
class Report:
    """Result of a soak run.

    Attributes
    ----------
    broken : list of str
        Violated guarantees.
    counts : dict
        Numbers of requests, checks and injected faults, by name.
    """

    seed: int
    broken: list[str]
    counts: dict[str, int]

    def text(self) -> str:
        """Return the report, with a line for each count and each violation."""
        lines = [f"seed {self.seed}: {len(self.broken)} broken"]
        lines += [f"  {count:>6} {name}" for name, count in sorted(self.counts.items())]
        lines += [f"  BROKEN {text}" for text in self.broken]
        return "\n".join(lines)


@attrs.define(kw_only=True, eq=False)
class World:
    """State of a soak run.

    Attributes
    ----------
    endpoints, proxies : dict
        Endpoints and the proxies in front of them, by instance.
    replacement_lock, configuration_lock : Lock
        Held while an endpoint is replaced, and while a configuration is written.
    version : int
        The latest configuration version.
    """

    tasks: anyio.abc.TaskGroup
    store: StoreEmulator = attrs.field(factory=StoreEmulator)
    store_proxy: Proxy | None = None
    endpoints: dict[str, EndpointEmulator] = attrs.field(factory=dict)
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    gateways: list[SupervisedGateway] = attrs.field(factory=list)
    attempts: list = attrs.field(factory=list)
    checker: GuaranteeChecker = attrs.field(factory=GuaranteeChecker)
    instance_numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    replacement_lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    configuration_lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    version: int = 0
    published_at: float = 0.0
    finished: bool = False

    async def start(self, folder: pathlib.Path, command: list[str]) -> None:
        """Start the platform, then the gateways, and wait until all are ready."""
        await self.tasks.start(self.store.run)
        self.store_proxy = Proxy(target_port=self.store.port)
        await self.tasks.start(self.store_proxy.run)
        self.publish_configuration(routes=1)
        for endpoint_class, service, count in (*ENDPOINTS, STAGE_ENDPOINTS):
            for _ in range(count):
                await self.start_endpoint(endpoint_class, service)
        ips = [
            loopback_ip(FIRST_HOST_NUMBER + number) for number in range(GATEWAY_COUNT)
        ]
        for ip in ips:
            gateway = SupervisedGateway(
                name=f"gateway-{len(self.gateways) + 1}",
                ip=ip,
                folder=folder,
                store_port=self.store_proxy.port,
                seed_ips=ips,
                command=command,
                on_exit=self.checker.check_exit,
            )
            self.gateways.append(gateway)
            await self.tasks.start(gateway.run)
        for gateway in self.gateways:
            if not await gateway.wait_ready(READY_TIMEOUT_SECONDS):
                log = (folder / f"{gateway.name}.log").read_text()[-2_000:]
                raise RuntimeError(f"{gateway.name} did not become ready: {log}")

    async def start_endpoint(self, endpoint_class: type, service: str) -> None:
        """Start an endpoint behind a proxy and announce it."""
        instance = f"{service}-{next(self.instance_numbers)}"
        endpoint = endpoint_class(instance=instance, service=service)
        endpoint.handle_first = functools.partial(self._record_arrival, instance)
        await self.tasks.start(endpoint.run)
        proxy = Proxy(target_port=endpoint.port)
        await self.tasks.start(proxy.run)
        self.endpoints[instance] = endpoint
        self.proxies[instance] = proxy
        self.announce(instance, state="ready")

    def announce(self, instance: str, *, state: str) -> None:
        """Write an endpoint's entry, with its proxy's address."""
        entry = self.endpoints[instance].entry(state=state)
        entry["address"] = f"127.0.0.1:{self.proxies[instance].port}"
        self.store.announce(instance, entry)

    def remove_endpoint(self, instance: str) -> None:
        """Remove a drained endpoint and its entry."""
        self.store.withdraw(instance)
        self.endpoints.pop(instance)
        self.proxies.pop(instance)

    def publish_configuration(self, *, routes: int) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 1
        self.write_configuration(self.version, routes=routes)
        self.published_at = anyio.current_time()

    def write_configuration(self, version: int, *, routes: int) -> None:
        """Write a given version of the configuration to the store."""
        self.store.configure(self._configuration_document(version, routes))

    def _configuration_document(self, version: int, routes: int) -> dict:
        extra = [
            plain_route(name=f"r-{n}", prefix=f"/more/{n}/") for n in range(routes - 1)
        ]
        once = plain_route(
            name="r-once", prefix="/once/", type="non_idempotent", max_attempts=3
        )
        stream = stream_route(stages=ROUTE_STAGES)
        return configuration(version, [plain_route(), once, stream, *extra])

    async def _record_arrival(self, instance: str, request, reply) -> bool:
        self.checker.check_arrival(instance, request.attempt_id)
        return False

    async def check_configurations(self) -> None:
        """Check the gateways' configurations until the run ends."""
        while not self.finished:
            settled = (
                anyio.current_time() - self.published_at
                > MAX_CONFIGURATION_DELAY_SECONDS
            )
            undisrupted = self.checker.is_undisrupted(MAX_CONFIGURATION_DELAY_SECONDS)
            required_version = self.version if settled and undisrupted else 0
            for gateway in self.gateways:
                await self.checker.check_configuration(gateway, required_version)
            await anyio.sleep(CHECK_INTERVAL_SECONDS)


async def soak(seed: int, seconds: float, *, planted: str = "") -> Report:
    """Run gateways under faults for a time and check their guarantees.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers' choices. Processes and sockets run in
        real time, so a seed does not reproduce a run exactly.
    seconds : float
        Duration of the run.
    planted : str
        Name of a fault in `PLANTED` to inject into the gateways; empty for none.
    """
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="currantdyke-soak-") as folder:
        async with anyio.create_task_group() as tasks:
            world = World(tasks=tasks)
            await world.start(pathlib.Path(folder), gateway_command(planted))
            async with anyio.create_task_group() as activity:
                activity.start_soon(world.check_configurations)
                for _ in range(CALLER_COUNT):
                    activity.start_soon(send_requests, world, _derive_random(rng))
                for _ in range(FAULT_SERIES_COUNT):
                    activity.start_soon(inject_faults, world, _derive_random(rng))
                await anyio.sleep(seconds)
                world.finished = True
            await anyio.sleep(SETTLE_SECONDS)
            for attempt in world.attempts:
                world.checker.check_executions(attempt)
            tasks.cancel_scope.cancel()
    checker = world.checker
    return Report(seed=seed, broken=checker.violations, counts=dict(checker.counts))


def _derive_random(rng: random.Random) -> random.Random:
    return random.Random(rng.random())
