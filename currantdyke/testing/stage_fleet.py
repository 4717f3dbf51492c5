"""Simulation of stage endpoints and streaming requests, for tests of the stage queues.

It runs in virtual time. The endpoints behave like the platform's: they run one call at
a time, whose duration has a fixed part and a part per piece; they have limited memory
for results, whose sizes deviate from the configured ones; they fetch the inputs of
each piece.
"""

import itertools
import math
import os
import random
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import attrs

from currantdyke.catalog import (
    Catalog,
    Endpoint,
    RouteTable,
    Service,
    StageLimits,
    StageStep,
)
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import Directory, EndpointTable
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.endpointlimits.cold import ColdEndpoints
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointslots.client import EndpointSlots
from currantdyke.endpointslots.fragile import FragileServices
from currantdyke.forward.budget import FleetRetryBudget
from currantdyke.platform.answers import EndpointLoad
from currantdyke.platform.requests import PromptPart
from currantdyke.platform.stagecalls import PieceCall, PieceFailure, PieceResult
from currantdyke.scheduler.messages import (
    Placement,
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.scheduler.scheduler import Scheduler
from currantdyke.scheduler.stagecall import CallOutcome
from currantdyke.scheduler.stages import StageQueues
from currantdyke.testing.speeds import AgedLoads, VaryingSpeed, load_of_factor

__all__ = [
    "FleetFigures",
    "RequestKind",
    "StageFleet",
    "own_limits",
    "own_slots",
    "silent_log",
    "state_speed",
]

RESULT_SIZE_SPREAD = 0.35
BYTES_PER_GB = 1e9


@attrs.frozen(kw_only=True)
class RequestKind:
    """A kind of streaming request.

    Attributes
    ----------
    rate : float
        Requests per second at a load of 1.
    pieces : callable
        Draws the number of pieces of each stage.
    work : tuple of float
        Duration of a piece of each stage, relative to the service's ``piece_seconds``.
    engine_seconds : float
        From the placement to the first event of the engine.
    """

    name: str
    rate: float
    target: float
    deadline: float
    rank: int
    steps: tuple[StageStep, ...]
    pieces: Callable[[random.Random], tuple[int, ...]]
    work: tuple[float, ...]
    sheddable: bool = False
    engine_seconds: float = 0.15
    prompt: Callable[[random.Random], tuple[PromptPart, ...]] = lambda _: ()


@attrs.define(kw_only=True)
class FleetFigures:
    """Counts of the requests of each kind by outcome, and of the work done.

    Attributes
    ----------
    late_first_attempt : dict of str to int
        Late requests that were admitted at the first attempt.
    results_made, results_used : dict of str to int
        Results of stages, and those of them that were fetched.
    moved_gb : float
        Gigabytes of results fetched from another availability zone.
    first_event_seconds : dict of str to list of float
        Time to the first event of each request that was served.
    """

    asked: dict[str, int] = attrs.field(factory=dict)
    in_time: dict[str, int] = attrs.field(factory=dict)
    late: dict[str, int] = attrs.field(factory=dict)
    late_first_attempt: dict[str, int] = attrs.field(factory=dict)
    refused: dict[str, int] = attrs.field(factory=dict)
    results_made: dict[str, int] = attrs.field(factory=dict)
    results_used: dict[str, int] = attrs.field(factory=dict)
    moved_gb: float = 0.0
    no_room: int = 0
    calls: int = 0
    pieces: int = 0
    busy_seconds: float = 0.0
    first_event_seconds: dict[str, list[float]] = attrs.field(factory=dict)

    def count(self, group: dict[str, int], name: str) -> None:
        """Increment the count of a kind."""
        group[name] = group.get(name, 0) + 1

    def mean_seconds(self, name: str) -> float:
        """Return the mean time to the first event of a kind's served requests."""
        seconds = self.first_event_seconds.get(name, [])
        return sum(seconds) / max(1, len(seconds))

    def share(self, name: str) -> float:
        """Return the fraction of a kind's requests with a first event within target."""
        return self.in_time.get(name, 0) / max(1, self.asked.get(name, 0))


@attrs.define(kw_only=True, eq=False)
class FakeWorker:
    """A stage endpoint that runs one call at a time and stores results in memory.

    Attributes
    ----------
    down : bool
        Whether it refuses connections.
    slowness : float
        Factor on the duration of its calls.
    silent : bool
        Whether its calls time out without an answer.
    speed : VaryingSpeed or None
        How the duration of work varies; None if it does not.
    """

    endpoint: Endpoint
    limits: StageLimits
    lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    results: dict[str, float] = attrs.field(factory=dict)
    down: bool = False
    slowness: float = 1.0
    silent: bool = False
    speed: VaryingSpeed | None = None

    def call_seconds(self, now: float, seconds: float) -> float:
        """Return how long a call takes whose work normally takes ``seconds``."""
        seconds *= self.slowness
        return seconds if self.speed is None else self.speed.duration(now, seconds)


def state_speed(worker: FakeWorker, now: float) -> EndpointLoad | None:
    """Return the load with the current speed, as an endpoint states it."""
    return None if worker.speed is None else load_of_factor(worker.speed.factor(now))


def silent_log() -> DecisionLog:
    """Return a log that writes nothing."""
    return DecisionLog(daemon="test", descriptor=os.open(os.devnull, os.O_WRONLY))


def own_limits(log: DecisionLog) -> EndpointLimits:
    """Return the limits of a daemon without others."""
    return EndpointLimits(
        log=log,
        request=_ask_nobody,
        send=lambda ip, content: None,
        broadcast=lambda content: None,
        owners=_own_services(),
        count_daemons=lambda: 1,
        cold=ColdEndpoints(log=log),
    )


def own_slots(log: DecisionLog, endpoints: EndpointTable) -> EndpointSlots:
    """Return the slots of fragile endpoints as a daemon without others grants them."""
    owners = _own_services()
    return EndpointSlots(
        fragile=FragileServices(
            log=log,
            send=lambda ip, content: None,
            broadcast=lambda content: None,
            owners=owners,
        ),
        endpoints=endpoints,
        log=log,
        request=_ask_nobody,
        send=lambda ip, content: None,
        start=lambda task, *arguments: None,
        owners=owners,
    )


def _own_services() -> LimitOwners:
    return LimitOwners(
        ranked_daemons=lambda service, suspected: [""], check=lambda ip: None
    )


async def _ask_nobody(ip: str, content: object) -> None:
    raise AssertionError("a single daemon asks no other")


class StageFleet:
    """A scheduler with simulated endpoints.

    Parameters
    ----------
    services : dict of str to StageLimits
        The stage services, with one endpoint for each item of ``zones``.
    zones : sequence of str
        Availability zones.
    engines : int
        Number of engines, distributed over the zones.
    """

    def __init__(
        self,
        *,
        services: dict[str, StageLimits],
        zones: tuple[str, ...],
        engines: int,
        seed: int = 1,
    ):
        self.random = random.Random(seed)
        # Returns the load that an endpoint states in the head of an answer, or None.
        self.state_load: Callable[[FakeWorker, float], EndpointLoad | None]
        self.state_load = lambda worker, now: None
        self.size_spread = RESULT_SIZE_SPREAD
        self.figures = FleetFigures()
        self.numbers = itertools.count()
        self.zone_of_address: dict[str, str] = {}
        self.sizes: dict[str, float] = {}
        self.work: dict[str, tuple[float, ...]] = {}
        self.kind_names: dict[str, str] = {}
        self.makers: dict[str, str] = {}
        self.workers: dict[str, FakeWorker] = {}
        log = silent_log()
        self.directory = Directory(log=log)
        self.directory.listed = True
        configured = {
            name: Service(name=name, stage=limits) for name, limits in services.items()
        }
        configured["engine"] = Service(name="engine")
        self.directory.routes = RouteTable.of(
            catalog=Catalog(version=1, services=configured)
        )
        for name, limits in services.items():
            for zone in zones:
                self._add_endpoint(name, zone, limits)
        for number in range(engines):
            self._add_endpoint("engine", zones[number % len(zones)], None)
        self.stages = StageQueues(
            directory=self.directory,
            run_pieces=self._run_pieces,
            free_results=self._free_results,
            log=log,
            retry_budget=lambda service: FleetRetryBudget(
                ratio=1.0, window=10.0, slack=1e6
            ),
            count_daemons=lambda: 1,
            endpoint_limits=own_limits(log),
            endpoint_slots=own_slots(log, self.directory.endpoints),
        )
        self.scheduler = Scheduler(
            directory=self.directory, stages=self.stages, log=log
        )

    def vary_speeds(self, seed: int, *, sample_age: float | None = None) -> None:
        """Let the speed of each stage endpoint vary.

        Parameters
        ----------
        sample_age : float, optional
            Age in seconds of the samples by which all decisions are made. By default
            there are only those that ``state_load`` returns.
        """
        source = random.Random(seed)
        speeds = {}
        for instance, worker in self.workers.items():
            worker.speed = speeds[instance] = VaryingSpeed(seed=source.getrandbits(32))
        if sample_age is not None:
            self.stages.loads = AgedLoads(speeds=speeds, age=sample_age)

    def _add_endpoint(
        self, service: str, zone: str, limits: StageLimits | None
    ) -> None:
        number = next(self.numbers)
        endpoint = Endpoint(
            instance=f"i-{number}",
            service=service,
            address=f"10.0.0.{number}:8000",
            availability_zone=zone,
        )
        self.directory.endpoints.known[endpoint.instance] = endpoint
        by_service = self.directory.endpoints.by_service
        by_service.setdefault(service, {})[endpoint.instance] = endpoint
        self.zone_of_address[endpoint.address] = zone
        if limits is not None:
            worker = FakeWorker(endpoint=endpoint, limits=limits)
            self.workers[endpoint.instance] = worker

    async def run(
        self,
        kinds: list[RequestKind],
        *,
        seconds: float,
        load: Callable[[str, float], float],
        during: Callable[["StageFleet"], Coroutine[Any, Any, None]] | None = None,
    ) -> FleetFigures:
        """Generate requests for a time.

        Parameters
        ----------
        load : callable
            Returns the factor on a kind's rate, from the kind's name and the seconds
            since the start.
        during : callable, optional
            Runs at the same time, for example to inject faults.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.stages.run)
            if during is not None:
                tasks.start_soon(during, self)
            async with anyio.create_task_group() as arrivals:
                for kind in kinds:
                    arrivals.start_soon(
                        self._generate_arrivals, kind, seconds, load, arrivals
                    )
            tasks.cancel_scope.cancel()
        return self.figures

    async def _generate_arrivals(self, kind, seconds, load, tasks) -> None:
        started = anyio.current_time()
        while (now := anyio.current_time() - started) < seconds:
            rate = kind.rate * load(kind.name, now)
            await anyio.sleep(self.random.expovariate(rate))
            tasks.start_soon(self._run_request, kind)

    async def _run_request(self, kind: RequestKind) -> None:
        """Send a request; retry it once if refused, as the platform's callers do."""
        figures = self.figures
        parts = kind.prompt(self.random)
        figures.count(figures.asked, kind.name)
        started = anyio.current_time()
        number = next(self.numbers)
        request = PlacementRequest(
            attempt_id=f"r{number}",
            service="engine",
            steps=kind.steps,
            pieces=kind.pieces(self.random),
            stage_key="k",
            target=kind.target,
            deadline=min(kind.deadline, max(2.0, 4 * kind.target)),
            rank=kind.rank,
            sheddable=kind.sheddable,
            prompt_tokens=sum(part.tokens for part in parts),
            parts=parts,
        )
        answer = await self._place(kind, request)
        retried = isinstance(answer, Refusal)
        if isinstance(answer, Refusal):
            await anyio.sleep(answer.retry_after)
            request = attrs.evolve(request, attempt_id=f"r{number}-again")
            answer = await self._place(kind, request)
        if isinstance(answer, Refusal):
            figures.count(figures.refused, kind.name)
            return
        attempt_id = request.attempt_id
        engine = self.directory.endpoints.known[answer.instance]
        for handle in answer.handles or ():
            self._fetch_result(handle, engine.availability_zone)
        await anyio.sleep(kind.engine_seconds)
        first_event = anyio.current_time() - started
        group = figures.in_time if first_event <= kind.target else figures.late
        figures.count(group, kind.name)
        figures.first_event_seconds.setdefault(kind.name, []).append(first_event)
        if group is figures.late and not retried:
            figures.count(figures.late_first_attempt, kind.name)
        for progress in (ProgressKind.STARTED, ProgressKind.FINISHED):
            self.scheduler.record_progress(
                Progress(attempt_id=attempt_id, kind=progress)
            )

    async def _place(
        self, kind: RequestKind, request: PlacementRequest
    ) -> Placement | Refusal:
        self.work[request.attempt_id] = kind.work
        self.kind_names[request.attempt_id] = kind.name
        return await self.scheduler.place(request)

    def _fetch_result(self, handle: str, zone: str) -> bool:
        address = handle.partition("/")[0]
        held = any(handle in worker.results for worker in self.workers.values())
        if held and (maker := self.makers.pop(handle, None)) is not None:
            self.figures.count(self.figures.results_used, maker)
        if self.zone_of_address[address] != zone:
            self.figures.moved_gb += self.sizes.get(handle, 0.0) / BYTES_PER_GB
        return held

    async def _run_pieces(
        self, endpoint: Endpoint, pieces: list[PieceCall], timeout: float
    ) -> CallOutcome:
        worker = self.workers[endpoint.instance]
        if worker.down:
            return CallOutcome(reason="connection refused")
        if worker.silent:
            await anyio.sleep(timeout)
            return CallOutcome(reason="silent")
        async with worker.lock:
            results = [self._execute_piece(worker, piece) for piece in pieces]
            seconds = worker.limits.call_seconds
            for piece, result in zip(pieces, results, strict=True):
                if result.handle is not None:
                    factor = self.work[piece.attempt_id][piece.stage]
                    seconds += worker.limits.piece_seconds * factor
            now = anyio.current_time()
            await anyio.sleep(worker.call_seconds(now, seconds))
            now = anyio.current_time()
            if (load := self.state_load(worker, now)) is not None:
                self.stages.loads.record_load(worker.endpoint, load, now)
            self.figures.calls += 1
            self.figures.pieces += len(pieces)
            self.figures.busy_seconds += seconds
        return CallOutcome(results=results)

    def _execute_piece(self, worker: FakeWorker, piece: PieceCall) -> PieceResult:
        for handle in piece.inputs:
            zone = worker.endpoint.availability_zone
            if not self._fetch_result(handle, zone):
                return PieceResult(failure=PieceFailure.INPUT_GONE)
        size = self._result_bytes(piece)
        used_bytes = sum(worker.results.values())
        if used_bytes + size > worker.limits.result_memory_bytes:
            self.figures.no_room += 1
            return PieceResult(failure=PieceFailure.NO_ROOM)
        handle = f"{worker.endpoint.address}/{next(self.numbers)}"
        worker.results[handle] = size
        self.sizes[handle] = size
        maker = self.makers[handle] = self.kind_names.get(piece.attempt_id, "")
        self.figures.count(self.figures.results_made, maker)
        return PieceResult(handle=handle)

    def _result_bytes(self, piece: PieceCall) -> float:
        chain = self.scheduler.chains.get(piece.attempt_id)
        nominal = chain.request.steps[piece.stage].result_bytes if chain else 0
        spread = self.size_spread
        mu = -spread * spread / 2
        return nominal * math.exp(self.random.gauss(mu, spread))

    async def _free_results(self, endpoint: Endpoint, handles: list[str]) -> bool:
        await anyio.sleep(0.002)
        for handle in handles:
            self.workers[endpoint.instance].results.pop(handle, None)
        return True
