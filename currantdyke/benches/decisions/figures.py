"""Metrics of one benchmark cell."""

from typing import Any

import attrs
import numpy as np

from currantdyke.benches.decisions.fakes import CHUNK_TOKENS
from currantdyke.benches.decisions.oracle import bound_attainment
from currantdyke.benches.decisions.scenarios import (
    FAULT_END_SECONDS,
    FAULT_START_SECONDS,
)
from currantdyke.core import FailureKind

__all__ = ["Figures", "measure"]

FLOODING_WORKSPACE = "workspace-0"
REFUSALS = (FailureKind.OVERLOADED, FailureKind.DEADLINE_TOO_SHORT)


@attrs.frozen(kw_only=True)
class Figures:
    """Metrics of one run.

    Attributes
    ----------
    attainment, bound : float
        Fraction of pipeline requests answered completely before their deadline, and
        its upper bound from `bound_attainment`.
    work_share : float
        Engine work of the requests answered in time, as a fraction of capacity.
    cost : float
        Endpoint-seconds of all stages per request answered in time.
    cost_by_stage : dict
        The cost of each service, in the same unit.
    wasted : float
        Fraction of endpoint-seconds spent on exchanges other than those counted as
        answered in time: requests that missed their deadline, and other sends of an
        answered request.
    first_token_p95, between_tokens_p95 : float
        95th percentile of the time to first token and of the time between tokens,
        in seconds.
    fairness : float
        Lowest attainment of any workspace divided by the highest.
    small_attainment : float
        Attainment over all workspaces except the first, which may flood.
    extra_attempts : float
        Attempts after the first one of a stage of an exchange, per first attempt.
    prefix_hits : float
        Fraction of prompts whose prefix was cached by the engine.
    refused : float
        Fraction of exchanges refused before any stage was dispatched.
    slow_share : float
        Fraction of engine calls that went to the first engine, from 5 s after the
        start of the fault to its end.
    """

    attainment: float
    bound: float
    work_share: float
    cost: float
    cost_by_stage: dict[str, float]
    wasted: float
    first_token_p95: float
    between_tokens_p95: float
    fairness: float
    small_attainment: float
    extra_attempts: float
    prefix_hits: float
    refused: float
    slow_share: float


def measure(cell: Any, arrival_seconds: float) -> Figures:
    """Return the metrics of a completed cell."""
    requests = [request for request in cell.requests if request.pipeline == "notes"]
    answered = _answered_in_time(cell)
    in_time = [request for request in requests if request.number in answered]
    cost, useful, by_stage = _cost(cell, answered)
    by_workspace = _by_workspace(requests, answered)
    engines = cell.engines()
    lookups = sum(engine.lookups for engine in engines)
    waits = [
        e.first_token_at - e.started for _, e in answered.values() if e.first_token_at
    ]
    gaps = [
        (e.ended_at - e.first_token_at) / max(1, request.tokens - CHUNK_TOKENS)
        for request, e in answered.values()
        if e.first_token_at is not None and request.tokens > CHUNK_TOKENS
    ]
    notes = [(a, e) for a, e in cell.exchanges if a.pipeline == "notes"]
    refused = sum(
        e.failure is not None and e.failure.kind in REFUSALS and not e.records
        for _, e in notes
    )
    work = sum(request.engine_seconds for request in in_time)
    count = max(1, len(answered))
    return Figures(
        attainment=len(in_time) / len(requests),
        bound=bound_attainment(requests, lambda time: _engine_rate(cell, time)),
        work_share=work / (cell.user.engine_count * arrival_seconds),
        cost=cost / count,
        cost_by_stage={name: value / count for name, value in by_stage.items()},
        wasted=1.0 - useful / cost if cost else 0.0,
        first_token_p95=float(np.percentile(waits, 95)) if waits else 0.0,
        between_tokens_p95=float(np.percentile(gaps, 95)) if gaps else 0.0,
        fairness=min(by_workspace.values()) / max(1e-9, max(by_workspace.values())),
        small_attainment=_small_workspaces_attainment(requests, answered),
        extra_attempts=_extra_attempt_ratio(cell),
        prefix_hits=sum(engine.hits for engine in engines) / max(1, lookups),
        refused=refused / max(1, len(notes)),
        slow_share=_slow_share(cell),
    )


def _answered_in_time(cell: Any) -> dict[int, tuple[Any, Any]]:
    """Map the numbers of the requests answered in time to request and exchange.

    The deadline counts from the arrival, also for a resend, with a tolerance of
    0.01 s. Of several exchanges in time, the last one is kept.
    """
    answered = {}
    for request, exchange in cell.exchanges:
        if request.pipeline != "notes" or exchange.failure is not None:
            continue
        if exchange.ended_at is None or exchange.outcome is None:
            continue
        if (
            exchange.ended_at + cell.user.client_delay
            <= request.arrived_at + request.deadline + 0.01
        ):
            answered[request.number] = (request, exchange)
    return answered


def _cost(cell: Any, answered: dict) -> tuple[float, float, dict[str, float]]:
    cost = useful = 0.0
    by_stage: dict[str, float] = {}
    for service, job, attempt in cell.jobs:
        if job.request.pipeline != "notes":
            continue
        cost += job.cost_seconds
        by_stage[service] = by_stage.get(service, 0.0) + job.cost_seconds
        answer = answered.get(job.request.number)
        if answer is not None and answer[1].request_id == attempt.request_id:
            useful += job.cost_seconds
    return cost, useful, by_stage


def _by_workspace(requests: list, answered: dict) -> dict[str, float]:
    totals: dict[str, list[int]] = {}
    for request in requests:
        totals.setdefault(request.workspace, []).append(request.number in answered)
    return {name: sum(in_time) / len(in_time) for name, in_time in totals.items()}


def _small_workspaces_attainment(requests: list, answered: dict) -> float:
    in_time = [
        a.number in answered for a in requests if a.workspace != FLOODING_WORKSPACE
    ]
    return sum(in_time) / max(1, len(in_time))


def _extra_attempt_ratio(cell: Any) -> float:
    firsts = {(attempt.request_id, attempt.stage) for _, _, attempt in cell.jobs}
    return len(cell.jobs) / max(1, len(firsts)) - 1.0


def _slow_share(cell: Any) -> float:
    """Return the fraction of engine calls during the fault that the first engine got.

    The first 5 s of the fault are excluded.
    """
    first = cell.engines()[0].name
    begins, ends = FAULT_START_SECONDS + 5.0, FAULT_END_SECONDS
    names = [
        attempt.endpoint
        for service, job, attempt in cell.jobs
        if service == cell.user.engine and begins <= job.started_at < ends
    ]
    return names.count(first) / max(1, len(names))


def _engine_rate(cell: Any, time: float) -> float:
    """Return the engine capacity at ``time``, in engine-seconds per second.

    An engine that is slowed by a factor f counts as 1/f; one that has crashed or is
    in a lost zone counts as 0. A lost zone does not recover.
    """
    name, engine_count = cell.scenario.name, cell.user.engine_count
    if not FAULT_START_SECONDS <= time < FAULT_END_SECONDS:
        zone_still_lost = time >= FAULT_END_SECONDS and name == "zone lost"
        if not zone_still_lost:
            return float(engine_count)
    if name == "slow VM x4":
        return engine_count - 0.75
    if name == "half pool x2":
        return engine_count - 0.5 * round(0.5 * engine_count)
    if name == "crash and return":
        return engine_count - 1.0
    if name == "zone lost":
        lost = sum(engine.zone == "zone-1" for engine in cell.engines())
        return float(engine_count - lost)
    return float(engine_count)
