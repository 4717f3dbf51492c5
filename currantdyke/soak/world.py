"""The emulated platform, the gateways before it and their callers."""

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
from currantdyke.soak.callers import call_on_and_on
from currantdyke.soak.faults import one_after_the_other
from currantdyke.soak.gateways import GatewayProcess, gateway_command
from currantdyke.soak.promises import IN_FORCE_SECONDS, Promises
from currantdyke.soak.proxy import Proxy
from currantdyke.testing.gateways import (
    configuration,
    loopback_ip,
    plain_route,
    stream_route,
)

__all__ = ["Report", "soak"]

GATEWAYS = 3
FIRST_ADDRESS = 200
CALLERS = 12
SERIES = 5
ENDPOINTS = ((PlainEmulator, "plain", 3), (EngineEmulator, "engine", 3))
STAGES = (StageEmulator, "rank", 2)
READY_SECONDS = 30.0
SETTLE_SECONDS = 2.0
LOOK_SECONDS = 0.25
STAGE = [{"service": "rank", "after": [], "size_bytes": 1_000}]


@attrs.frozen(kw_only=True)
class Report:
    """What a soak saw.

    Attributes
    ----------
    broken : list of str
        Promises that did not hold.
    counts : dict
        What was sent, judged and brought in.
    """

    seed: int
    broken: list[str]
    counts: dict[str, int]

    def text(self) -> str:
        """Return the report, a line for each count and each broken promise."""
        lines = [f"seed {self.seed}: {len(self.broken)} broken"]
        lines += [f"  {count:>6} {name}" for name, count in sorted(self.counts.items())]
        lines += [f"  BROKEN {text}" for text in self.broken]
        return "\n".join(lines)


@attrs.define(kw_only=True, eq=False)
class World:
    """All that a soak runs.

    Attributes
    ----------
    endpoints, proxies : dict
        Endpoints and the proxies before them, by instance.
    replacing, configuring : Lock
        Held while an endpoint is replaced, and while a configuration is shown.
    """

    tasks: anyio.abc.TaskGroup
    store: StoreEmulator = attrs.field(factory=StoreEmulator)
    store_proxy: Proxy | None = None
    endpoints: dict[str, EndpointEmulator] = attrs.field(factory=dict)
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    attempts: list = attrs.field(factory=list)
    promises: Promises = attrs.field(factory=Promises)
    numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    replacing: anyio.Lock = attrs.field(factory=anyio.Lock)
    configuring: anyio.Lock = attrs.field(factory=anyio.Lock)
    version: int = 0
    configured_at: float = 0.0
    over: bool = False

    async def start(self, folder: pathlib.Path, command: list[str]) -> None:
        """Start the platform, then the gateways, and wait until all are ready."""
        await self.tasks.start(self.store.run)
        self.store_proxy = Proxy(target_port=self.store.port)
        await self.tasks.start(self.store_proxy.run)
        self.configure(routes=1)
        for kind, service, count in (*ENDPOINTS, STAGES):
            for _ in range(count):
                await self.start_endpoint(kind, service)
        ips = [loopback_ip(FIRST_ADDRESS + number) for number in range(GATEWAYS)]
        for ip in ips:
            gateway = GatewayProcess(
                name=f"gateway-{len(self.gateways) + 1}",
                ip=ip,
                folder=folder,
                store_port=self.store_proxy.port,
                seed_ips=ips,
                command=command,
                ended=self.promises.judge_end,
            )
            self.gateways.append(gateway)
            await self.tasks.start(gateway.run)
        for gateway in self.gateways:
            if not await gateway.wait_ready(READY_SECONDS):
                log = (folder / f"{gateway.name}.log").read_text()[-2_000:]
                raise RuntimeError(f"{gateway.name} did not get ready: {log}")

    async def start_endpoint(self, kind: type, service: str) -> None:
        """Start an endpoint behind a proxy and announce it."""
        instance = f"{service}-{next(self.numbers)}"
        endpoint = kind(instance=instance, service=service)
        endpoint.misbehave = functools.partial(self._arrived, instance)
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

    def end_endpoint(self, instance: str) -> None:
        """End an endpoint that has left."""
        self.store.withdraw(instance)
        self.endpoints.pop(instance)
        self.proxies.pop(instance)

    def configure(self, *, routes: int) -> None:
        """Put the next version of the configuration into the store."""
        self.version += 1
        self.show_configuration(self.version, routes=routes)
        self.configured_at = anyio.current_time()

    def show_configuration(self, version: int, *, routes: int) -> None:
        """Let the store show a version of the configuration."""
        self.store.configure(self._document(version, routes))

    def _document(self, version: int, routes: int) -> dict:
        more = [
            plain_route(name=f"r-{n}", prefix=f"/more/{n}/") for n in range(routes - 1)
        ]
        once = plain_route(
            name="r-once", prefix="/once/", type="non_idempotent", max_attempts=3
        )
        stream = stream_route(stages=STAGE)
        return configuration(version, [plain_route(), once, stream, *more])

    async def _arrived(self, instance: str, request, reply) -> bool:
        self.promises.arrived(instance, request.attempt_id)
        return False

    async def look(self) -> None:
        """Judge the gateways' configurations until the soak is over."""
        while not self.over:
            settled = anyio.current_time() - self.configured_at > IN_FORCE_SECONDS
            calm = self.promises.is_calm(IN_FORCE_SECONDS)
            newest = self.version if settled and calm else 0
            for gateway in self.gateways:
                await self.promises.judge_version(gateway, newest)
            await anyio.sleep(LOOK_SECONDS)


async def soak(seed: int, seconds: float, *, planted: str = "") -> Report:
    """Run gateways under faults for a time, and judge the promises.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers' choices. Processes and sockets run in
        real time, so that a seed does not repeat a run exactly.
    planted : str
        A fault of `planted` that the gateways are to have.
    """
    source = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="currantdyke-soak-") as folder:
        async with anyio.create_task_group() as tasks:
            world = World(tasks=tasks)
            await world.start(pathlib.Path(folder), gateway_command(planted))
            async with anyio.create_task_group() as acting:
                acting.start_soon(world.look)
                for _ in range(CALLERS):
                    acting.start_soon(call_on_and_on, world, _fork(source))
                for _ in range(SERIES):
                    acting.start_soon(one_after_the_other, world, _fork(source))
                await anyio.sleep(seconds)
                world.over = True
            await anyio.sleep(SETTLE_SECONDS)
            for attempt in world.attempts:
                world.promises.judge_runs(attempt)
            tasks.cancel_scope.cancel()
    promises = world.promises
    return Report(seed=seed, broken=promises.broken, counts=dict(promises.counts))


def _fork(source: random.Random) -> random.Random:
    return random.Random(source.random())
