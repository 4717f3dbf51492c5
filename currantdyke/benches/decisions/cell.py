"""One benchmark cell: a user, a scenario, a load, a policy and a seed."""

import math
import random
from collections.abc import Callable
from typing import Any

import anyio
import attrs

from currantdyke.benches.decisions.fakes import (
    CONNECT_TIMEOUT_SECONDS,
    REFUSED_CONNECTION_SECONDS,
    FakeEndpoint,
    FakeEngine,
    FakeServer,
    Job,
)
from currantdyke.benches.decisions.figures import Figures, measure
from currantdyke.benches.decisions.scenarios import Scenario
from currantdyke.benches.decisions.workload import (
    POOL_SLOTS,
    ZONE_COUNT,
    SimulatedRequest,
    User,
    draw_requests,
    make_bundle,
)
from currantdyke.bundle import Bundle, Policy, StageKind
from currantdyke.core import FailureKind
from currantdyke.daemon import Daemon
from currantdyke.pipelines import Decisions, make_decisions
from currantdyke.requests import Exchange
from currantdyke.settings import DaemonSettings
from currantdyke.stagecalls import Attempt, AttemptEnd, AttemptReport, TrackedAttempt
from currantdyke.stagecalls.engine import DeliveredTokens
from currantdyke.testing import run_virtual

__all__ = ["Cell", "PolicyUnderTest", "run_cell"]

DAEMON_COUNT = 12
ARRIVAL_SECONDS = 30.0
LOAD_REPORT_PERIOD_SECONDS = 0.5
CACHE_EVENT_LAG_SECONDS = 1.0
CACHE_EVENT_LOSS_PROBABILITY = 0.1
MAX_RESENDS = 3
TIMEOUT_DEADLINE_RATIO = 0.8


@attrs.frozen(kw_only=True)
class PolicyUnderTest:
    """A policy to measure.

    Attributes
    ----------
    replace_decisions : callable or None
        Returns the decisions of a baseline, which replace those of the daemon.
    """

    name: str
    policy: Policy
    replace_decisions: Callable[[Daemon], Decisions] | None = None


@attrs.define(kw_only=True, eq=False)
class Cell:
    """The state of one benchmark run."""

    user: User
    scenario: Scenario
    load: float
    tested: PolicyUnderTest
    seed: int
    bundle: Bundle
    requests: list[SimulatedRequest]
    rng: random.Random
    endpoints: dict[str, FakeEndpoint] = attrs.field(factory=dict)
    daemons: list[Daemon] = attrs.field(factory=list)
    lost_daemons: set[int] = attrs.field(factory=set)
    exchanges: list[tuple[SimulatedRequest, Exchange]] = attrs.field(factory=list)
    attempts: dict[str, list[Attempt]] = attrs.field(factory=dict)
    jobs: list[tuple[str, Job, Attempt]] = attrs.field(factory=list)
    requests_by_id: dict[str, SimulatedRequest] = attrs.field(factory=dict)
    attained: dict[int, float] = attrs.field(factory=dict)

    def engines(self) -> list[FakeEngine]:
        """Return the endpoints that are engines."""
        return [e for e in self.endpoints.values() if isinstance(e, FakeEngine)]


def run_cell(
    user: User, scenario: Scenario, load: float, tested: PolicyUnderTest, seed: int
) -> Figures:
    """Run one cell in virtual time and return its figures."""
    cell = Cell(
        user=user,
        scenario=scenario,
        load=load,
        tested=tested,
        seed=seed,
        bundle=make_bundle(user, tested.policy),
        requests=draw_requests(
            user,
            seed=seed,
            load=load,
            seconds=ARRIVAL_SECONDS,
            daemons=DAEMON_COUNT,
            burst=scenario.burst,
            flood=scenario.flood,
        ),
        rng=random.Random(seed),
    )
    run_virtual(_run, cell)
    return measure(cell, ARRIVAL_SECONDS)


async def _run(cell: Cell) -> None:
    async with anyio.create_task_group() as tasks:
        _make_endpoints(cell, tasks)
        cell.daemons = [_make_daemon(cell, n, tasks) for n in range(DAEMON_COUNT)]
        tasks.start_soon(_report_loads, cell)
        tasks.start_soon(_deliver_cache_events, cell)
        tasks.start_soon(_inject_fault, cell)
        async with anyio.create_task_group() as callers:
            for request in cell.requests:
                callers.start_soon(_run_caller, cell, request)
        tasks.cancel_scope.cancel()


async def _inject_fault(cell: Cell) -> None:
    await cell.scenario.inject_fault(cell)


def _make_endpoints(cell: Cell, tasks) -> None:
    for service_name, service in cell.bundle.services.items():
        for spec in service.endpoints:
            zone = spec.availability_zone
            endpoint: FakeEndpoint
            if service.kind == StageKind.GENERATE:
                endpoint = FakeEngine(name=spec.name, zone=zone)
                tasks.start_soon(endpoint.serve)
            else:
                endpoint = FakeServer(
                    name=spec.name,
                    zone=zone,
                    slots=POOL_SLOTS,
                    service=service_name,
                    tasks=tasks,
                )
            cell.endpoints[spec.name] = endpoint


def _make_daemon(cell: Cell, number: int, tasks) -> Daemon:
    daemon = Daemon(
        settings=DaemonSettings(
            name=f"entry-{number}",
            availability_zone=f"zone-{number % ZONE_COUNT}",
            bundle_file="/nowhere/bundle.yaml",
        ),
        client=_UNUSED_CLIENT,
        random_source=random.Random(cell.seed * 100 + number),
    )
    daemon.active_bundle.activate(1, cell.bundle)
    daemon.tasks = tasks
    daemon.run_context.decisions = make_decisions(
        daemon.endpoints,
        daemon.random_source,
        daemon=daemon.settings.name,
        zone=daemon.settings.availability_zone,
        count_daemons=lambda: DAEMON_COUNT,
    )
    if cell.tested.replace_decisions is not None:
        daemon.run_context.decisions = cell.tested.replace_decisions(daemon)

    async def call(
        tracked_attempt: TrackedAttempt, kind: str, delivered: DeliveredTokens
    ) -> AttemptReport:
        return await _call_endpoint(cell, daemon, tracked_attempt, delivered)

    daemon.run_context.call_stage = call
    return daemon


_UNUSED_CLIENT: Any = None


async def _run_caller(cell: Cell, request: SimulatedRequest) -> None:
    """Simulate one caller, which may resend after a timeout, failure or refusal."""
    await anyio.sleep(request.arrived_at)
    sends = 1 + (MAX_RESENDS if cell.scenario.resend else 0)
    for number in range(sends):
        exchange = _make_exchange(cell, request, number)
        await anyio.sleep(cell.user.client_delay)
        daemon = _pick_daemon(cell, request, number)
        bundle = daemon.active_bundle.bundle
        assert bundle is not None
        pipeline = bundle.pipelines[request.pipeline]
        cell.exchanges.append((request, exchange))
        failure = daemon.submit(bundle, pipeline, exchange)
        if failure is not None:
            exchange.settle(failure=failure, now=anyio.current_time())
            if failure.retry_after is None or not cell.scenario.resend:
                return
            await anyio.sleep(failure.retry_after)
            continue
        timeout_seconds = (
            math.inf
            if number + 1 == sends
            else TIMEOUT_DEADLINE_RATIO * request.deadline
        )
        with anyio.move_on_after(timeout_seconds):
            await exchange.wait_until_ended()
        if exchange.outcome is not None and exchange.failure is None:
            return


def _make_exchange(cell: Cell, request: SimulatedRequest, number: int) -> Exchange:
    now = anyio.current_time()
    request_id = f"r{request.number}.{number}"
    cell.requests_by_id[request_id] = request
    return Exchange(
        request_id=request_id,
        workspace=request.workspace,
        pipeline=request.pipeline,
        input=f"{request.prefix:08d}" * 64 + str(request.number),
        started=now,
        deadline=now + request.deadline,
    )


def _pick_daemon(cell: Cell, request: SimulatedRequest, number: int) -> Daemon:
    index = (request.daemon + number) % DAEMON_COUNT
    while index in cell.lost_daemons:
        index = (index + 1) % DAEMON_COUNT
    return cell.daemons[index]


async def _call_endpoint(
    cell: Cell,
    daemon: Daemon,
    tracked_attempt: TrackedAttempt,
    delivered: DeliveredTokens,
) -> AttemptReport:
    attempt = tracked_attempt.attempt
    started = anyio.current_time()
    endpoint = cell.endpoints[attempt.endpoint]
    same_zone = endpoint.zone == daemon.settings.availability_zone
    delay = 0.0 if same_zone else cell.user.zone_delay
    job = Job(
        request=cell.requests_by_id[attempt.request_id], priority=attempt.priority
    )
    cell.jobs.append((attempt.service, job, attempt))
    report = AttemptReport(attempt=attempt, end=AttemptEnd.TIMED_OUT)
    try:
        with anyio.move_on_after(attempt.seconds):
            report.end = await _run_call(
                cell, endpoint, job, delay, tracked_attempt, delivered
            )
    finally:
        job.cancelled = job.end is None
    report.seconds = anyio.current_time() - started
    lag = cell.scenario.load_lag
    report.load = float(endpoint.load_at(anyio.current_time() - lag))
    if report.end is AttemptEnd.NOT_HANDED:
        report.handed, report.load = False, None
    if report.end is AttemptEnd.DONE:
        report.output = {"stage": attempt.stage}
    return report


async def _run_call(
    cell: Cell,
    endpoint: FakeEndpoint,
    job: Job,
    delay: float,
    tracked_attempt: TrackedAttempt,
    delivered: DeliveredTokens,
) -> AttemptEnd:
    await anyio.sleep(delay)
    if endpoint.silent:
        await anyio.sleep(CONNECT_TIMEOUT_SECONDS)
        return AttemptEnd.NOT_HANDED
    if endpoint.dead:
        await anyio.sleep(REFUSED_CONNECTION_SECONDS)
        return AttemptEnd.NOT_HANDED
    tracked_attempt.hand_off.handed = True
    fails = cell.rng.random() < endpoint.failure_probability
    endpoint.enqueue(job)
    while job.end is None:
        if not await _wait_for_progress(
            endpoint, job, tracked_attempt.attempt.idle_seconds
        ):
            return AttemptEnd.TIMED_OUT
        if isinstance(endpoint, FakeEngine):
            for index in range(len(delivered.texts), job.tokens_done):
                delivered.take(index, "t")
    await anyio.sleep(delay)
    return AttemptEnd.FAILED if fails and job.end is AttemptEnd.DONE else job.end


async def _wait_for_progress(
    endpoint: FakeEndpoint, job: Job, idle_seconds: float
) -> bool:
    """Wait for the next progress of a job and return whether it came.

    A stream that has begun times out after ``idle_seconds``.
    """
    streams = isinstance(endpoint, FakeEngine) and job.tokens_done > 0
    with anyio.move_on_after(idle_seconds if streams else math.inf):
        await job.progressed.wait()
        if endpoint.silent:
            await anyio.sleep_forever()
        return True
    return False


async def _report_loads(cell: Cell) -> None:
    """Periodically report the load of each endpoint, with a lag, to every daemon."""
    while True:
        await anyio.sleep(LOAD_REPORT_PERIOD_SECONDS)
        lag = cell.scenario.load_lag
        measured_at = anyio.current_time() - lag
        for daemon in cell.daemons:
            for service_name in cell.bundle.services:
                for known in daemon.endpoints.of_service(service_name):
                    fake = cell.endpoints[known.name]
                    if not (fake.dead or fake.silent) and measured_at >= 0:
                        deliver = getattr(known, "record_load", None)
                        if deliver is not None:
                            deliver(float(fake.load_at(measured_at)), measured_at)


async def _deliver_cache_events(cell: Cell) -> None:
    """Deliver the engines' cache events to every daemon, delayed and with losses."""
    seen = dict.fromkeys(cell.endpoints, 0)
    while True:
        await anyio.sleep(LOAD_REPORT_PERIOD_SECONDS)
        until = anyio.current_time() - CACHE_EVENT_LAG_SECONDS
        for engine in cell.engines():
            events = engine.cache_events
            while seen[engine.name] < len(events):
                time, prefix, held = events[seen[engine.name]]
                if time > until:
                    break
                seen[engine.name] += 1
                if cell.rng.random() >= CACHE_EVENT_LOSS_PROBABILITY:
                    _deliver_cache_event(cell, engine.name, prefix, held)


def _deliver_cache_event(cell: Cell, endpoint: str, prefix: int, held: bool) -> None:
    for daemon in cell.daemons:
        known = daemon.endpoints.by_service[cell.user.engine].get(endpoint)
        deliver = getattr(known, "hear_prefix", None)
        if deliver is not None:
            deliver(f"{prefix:08d}" * 64, held)


def overloaded(exchange: Exchange) -> bool:
    """Return whether a request was refused because of insufficient capacity."""
    kinds = (FailureKind.OVERLOADED, FailureKind.DEADLINE_TOO_SHORT)
    return exchange.failure is not None and exchange.failure.kind in kinds
