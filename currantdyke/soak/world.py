"""Soak test: an emulated platform, gateway processes, callers and faults."""

import functools
import itertools
import pathlib
import random
import tempfile
from typing import Any

import anyio
import anyio.abc
import attrs

from currantdyke.emulator import StoreEmulator
from currantdyke.emulator.endpoints import EndpointEmulator
from currantdyke.soak.callers import Attempt, send_requests
from currantdyke.soak.completeness import CONTACT_SECONDS
from currantdyke.soak.configurations import Configurations
from currantdyke.soak.faults import inject_faults
from currantdyke.soak.gateways import SupervisedGateway, gateway_command
from currantdyke.soak.patterns import PATTERNS, Pattern
from currantdyke.soak.promises import (
    MAX_CONFIGURATION_DELAY_SECONDS,
    GuaranteeChecker,
)
from currantdyke.soak.prompts import BAD, CrashObservations
from currantdyke.soak.proxy import Proxy
from currantdyke.soak.record import Report, keep_record
from currantdyke.testing.gateways import loopback_ip

__all__ = ["GATEWAY_COUNT", "SLOW_GATEWAY_COUNT", "Report", "soak"]

GATEWAY_COUNT = 3
SLOW_GATEWAY_COUNT = 1
FIRST_HOST_NUMBER = 200
CALLERS_PER_GATEWAY = 4
# The callers, the endpoints and the store of a run share one process.
MAX_CALLERS = 32
GATEWAYS_PER_FAULT_SERIES = 4
# The platform names at most this many VMs to a process.
MAX_SEEDS = 3
READY_TIMEOUT_SECONDS = 30.0
SETTLE_SECONDS = 2.0
CHECK_INTERVAL_SECONDS = 0.25


@attrs.define(kw_only=True, eq=False)
class World:
    """State of a soak run.

    Attributes
    ----------
    endpoints, proxies : dict
        Endpoints and the proxies in front of them, by instance.
    gateways : list of SupervisedGateway
        Those behind slow links come last.
    crashes : CrashObservations
        Kept by the runs with a crashing part.
    arrivals : list of (float, dict)
        Times, endpoints and attempt ids of the requests that reached endpoints, with
        the gateway processes that got them from callers and whether these were in
        touch, and the same of the gateways that sent them, also for stage calls.
    limits : list of NamedLimit
        The limits that endpoints named.
    streams : list of StreamRecord
        Streams whose callers resume them elsewhere.
    lost_streams : list of StreamRecord
        Those that were in progress at a gateway that was lost on purpose.
    cold_times : list of ColdTime
        When endpoints were cold.
    pauses : list of StatedPause
        The pauses that endpoints asked for.
    fragile_periods : list of (float, float)
        When endpoints said that they are fragile.
    cuts : list of CutPeriod
        When gateways were cut off from the endpoints.
    evacuations : list of Evacuation
        When availability zones were evacuated.
    removals : dict of str to float
        When the entry of each endpoint that left without a word was removed.
    outages : list of (float, float)
        When the store was away, in runs that judge by it.
    isolated : set of str
        Names of the gateways that do not reach the store, or are paused.
    replacement_lock : Lock
        Held while an endpoint is replaced.
    """

    seed: int
    pattern: Pattern
    tasks: anyio.abc.TaskGroup
    store: StoreEmulator = attrs.field(factory=StoreEmulator)
    endpoints: dict[str, EndpointEmulator] = attrs.field(factory=dict)
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    gateways: list[SupervisedGateway] = attrs.field(factory=list)
    arrivals: list = attrs.field(factory=list)
    limits: list = attrs.field(factory=list)
    streams: list = attrs.field(factory=list)
    lost_streams: list = attrs.field(factory=list)
    cold_times: list = attrs.field(factory=list)
    pauses: list = attrs.field(factory=list)
    fragile_periods: list = attrs.field(factory=list)
    cuts: list = attrs.field(factory=list)
    evacuations: list = attrs.field(factory=list)
    removals: dict[str, float] = attrs.field(factory=dict)
    outages: list = attrs.field(factory=list)
    isolated: set[str] = attrs.field(factory=set)
    crashes: CrashObservations = attrs.field(factory=CrashObservations)
    attempts: list = attrs.field(factory=list)
    checker: GuaranteeChecker = attrs.field(factory=GuaranteeChecker)
    instance_numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    replacement_lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    finished: bool = False
    configurations: Configurations = attrs.field(
        default=attrs.Factory(
            lambda self: Configurations(store=self.store), takes_self=True
        )
    )

    async def start(
        self, folder: pathlib.Path, *, planted: str, gateways: int, slow_gateways: int
    ) -> None:
        """Start the platform, then the gateways, and wait until all are ready."""
        await self.tasks.start(self.store.run)
        timeout_ms = int(1_000 * self.pattern.timeout_seconds)
        self.configurations.has_stages = self.pattern.route_stages
        self.configurations.route_fields = {"timeout_ms": timeout_ms}
        self.configurations.publish()
        self.checker.sound_endpoints = self.pattern.sound_endpoints
        for endpoint_class, service, count in self.pattern.endpoints:
            for _ in range(count):
                await self.start_endpoint(endpoint_class, service)
        await self.pattern.start_endpoints(self)
        ips = [
            loopback_ip(FIRST_HOST_NUMBER + number)
            for number in range(gateways + slow_gateways)
        ]
        for number, ip in enumerate(ips):
            slow = number >= gateways
            await self._start_gateway(
                folder,
                ip,
                ips,
                planted,
                self.pattern.slow_bytes_per_second if slow else None,
            )
        for gateway in self.gateways:
            if not await gateway.wait_ready(READY_TIMEOUT_SECONDS):
                log = (folder / f"{gateway.name}.log").read_text()[-2_000:]
                raise RuntimeError(f"{gateway.name} did not become ready: {log}")

    async def _start_gateway(
        self,
        folder: pathlib.Path,
        ip: str,
        seed_ips: list[str],
        planted: str,
        bytes_per_second: float | None,
    ) -> None:
        store_proxy = Proxy(target_port=self.store.port)
        await self.tasks.start(store_proxy.run)
        name = f"gateway-{len(self.gateways) + 1}"
        gateway = SupervisedGateway(
            name=name,
            ip=ip,
            folder=folder,
            store_proxy=store_proxy,
            store_addresses=[f"127.0.0.1:{store_proxy.port}", self.store.address],
            seed_ips=seed_ips[:MAX_SEEDS],
            command=gateway_command(
                planted, ip, bytes_per_second, folder / f"{name}.cut"
            ),
            on_exit=self.checker.check_exit,
            bytes_per_second=bytes_per_second,
        )
        self.gateways.append(gateway)
        await self.tasks.start(gateway.run)

    async def start_endpoint(
        self, endpoint_class: type, service: str, **settings: Any
    ) -> str:
        """Start an endpoint behind a proxy and announce it; return its instance."""
        number = next(self.instance_numbers)
        instance = f"{service}-{number}"
        zones = self.pattern.zones
        endpoint = endpoint_class(
            instance=instance,
            service=service,
            availability_zone=zones[number % len(zones)],
            **settings,
        )
        endpoint_random = random.Random(f"{self.seed} {instance}")
        endpoint.plan_answer = self.pattern.plan_answers(endpoint_random)
        self.observe(endpoint)
        await self.tasks.start(endpoint.run)
        proxy = Proxy(target_port=endpoint.port)
        await self.tasks.start(proxy.run)
        self.endpoints[instance] = endpoint
        self.proxies[instance] = proxy
        self.announce(instance, state="ready")
        return instance

    def observe(self, endpoint: EndpointEmulator) -> None:
        """Check the requests that reach an endpoint."""
        endpoint.handle_first = functools.partial(self._record_arrival, endpoint)
        endpoint.on_turn_away = self._forget_run

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

    async def _record_arrival(self, endpoint: EndpointEmulator, request, reply) -> bool:
        instance = endpoint.instance
        attempt = self._find_attempt(request.attempt_id)
        in_touch = attempt is not None and self.is_in_touch(attempt.gateway)
        fields = {
            "endpoint": instance,
            "attempt_id": request.attempt_id,
            "gateway": "" if attempt is None else attempt.process_name,
            "host": reply.remote_host,
            "in_touch": in_touch,
            "zone": endpoint.availability_zone,
            "host_in_touch": any(
                gateway.ip == reply.remote_host and self.is_in_touch(gateway)
                for gateway in self.gateways
            ),
        }
        self.arrivals.append((anyio.current_time(), fields))
        name = "the owner of its stages" if attempt is None else attempt.gateway.name
        self.checker.check_arrival(instance, request.attempt_id, name)
        if in_touch and attempt is not None and attempt.kind == BAD:
            self.crashes.bad_arrivals.append(anyio.current_time())
        return False

    def _forget_run(self, request) -> None:
        """Don't count a request as run that an endpoint turns away on its arrival."""
        self.checker.executions[request.attempt_id] -= 1

    def _find_attempt(self, attempt_id: str) -> Attempt | None:
        recent = (a for a in reversed(self.attempts) if a.attempt_id == attempt_id)
        return next(recent, None)

    def is_in_touch(self, gateway: SupervisedGateway) -> bool:
        """Whether the users' bounds on time hold for a gateway now."""
        undisrupted = self.checker.is_undisrupted(gateway, CONTACT_SECONDS)
        return undisrupted and not gateway.signal_lock.locked()

    async def check_configurations(self) -> None:
        """Check the gateways' configurations until the run ends."""
        while not self.finished:
            for gateway in self.gateways:
                await self.checker.check_configuration(
                    gateway, self._required_version(gateway)
                )
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    def _required_version(self, gateway: SupervisedGateway) -> int:
        """Return the lowest version that a gateway may have; 0 if undetermined.

        A slow link transfers each write once, and after a disruption the last one,
        unless the pattern holds gateways behind slow links to the same bound.
        """
        configurations = self.configurations
        rate = gateway.bytes_per_second or float("inf")
        if not self.pattern.transfers_excuse:
            rate = float("inf")
        transfer_seconds = configurations.writes[-1].size / rate
        undisrupted = self.checker.is_undisrupted(
            gateway, MAX_CONFIGURATION_DELAY_SECONDS + transfer_seconds
        )
        if not undisrupted:
            return 0
        return configurations.required_version(MAX_CONFIGURATION_DELAY_SECONDS, rate)


async def soak(
    seed: int,
    seconds: float,
    *,
    pattern: str = "faults",
    planted: str = "",
    gateways: int = GATEWAY_COUNT,
    slow_gateways: int = SLOW_GATEWAY_COUNT,
    kept_logs: pathlib.Path | None = None,
) -> Report:
    """Run gateways under faults for a time and check their guarantees.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the callers' choices. Processes and sockets run in
        real time, so a seed does not reproduce a run exactly.
    seconds : float
        Duration of the run.
    pattern : str
        Name of a pattern in `PATTERNS`.
    planted : str
        Name of a fault in `PLANTED` to inject into the gateways; empty for none.
    gateways, slow_gateways : int
        Number of gateways, and of additional ones behind slow links.
    kept_logs : Path, optional
        Folder for the logs and the record of a run that violates a guarantee.
    """
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="currantdyke-soak-") as folder:
        async with anyio.create_task_group() as tasks:
            world = World(tasks=tasks, seed=seed, pattern=PATTERNS[pattern])
            await world.start(
                pathlib.Path(folder),
                planted=planted,
                gateways=gateways,
                slow_gateways=slow_gateways,
            )
            await _run_activities(world, rng, seconds)
            tasks.cancel_scope.cancel()
        checker = world.checker
        for gateway in world.gateways:
            with (pathlib.Path(folder) / f"{gateway.name}.log").open() as lines:
                checker.check_log(gateway.name, lines)
        report = Report(
            seed=seed,
            pattern=pattern,
            broken=checker.violations,
            counts=dict(checker.counts),
        )
        if report.broken and kept_logs is not None:
            target = kept_logs / f"{pattern}-{seed}"
            keep_record(world, pathlib.Path(folder), target, report.text())
    return report


async def _run_activities(world: World, rng: random.Random, seconds: float) -> None:
    """Run callers, faults and checks for a time, and check the executions."""
    count = len(world.gateways)
    world.crashes.started_at = anyio.current_time()
    async with anyio.create_task_group() as activity:
        activity.start_soon(world.check_configurations)
        for function in world.pattern.activities:
            activity.start_soon(function, world, _derive_random(rng))
        for _ in range(min(MAX_CALLERS, CALLERS_PER_GATEWAY * count)):
            activity.start_soon(send_requests, world, _derive_random(rng))
        for _ in range(
            max(world.pattern.fault_series, count // GATEWAYS_PER_FAULT_SERIES)
        ):
            activity.start_soon(inject_faults, world, _derive_random(rng))
        await anyio.sleep(seconds)
        world.finished = True
    await anyio.sleep(SETTLE_SECONDS)
    for attempt in world.attempts:
        world.checker.check_executions(attempt)
    world.checker.violations += world.pattern.find_violations(world)


def _derive_random(rng: random.Random) -> random.Random:
    return random.Random(rng.random())
