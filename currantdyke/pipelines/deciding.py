"""A daemon's own decisions, made of the slices for each of them."""

import functools
import random
from collections.abc import Callable, Sequence

import anyio
import attrs

from currantdyke.admission import Forecast, Shares, StageForecast, decide
from currantdyke.bundle import Bundle, Pipeline, Service, Stage, StageKind
from currantdyke.core import Failure
from currantdyke.endpoints import Endpoint, EndpointTable
from currantdyke.estimates import Estimate, Estimates
from currantdyke.pipelines.decisions import Decisions, StageNeed
from currantdyke.requests import Exchange
from currantdyke.retries import RetryBudget
from currantdyke.routing import Pools, choose_endpoint
from currantdyke.stagecalls import AttemptEnd, AttemptReport

__all__ = ["DecisionState", "decisions_of", "make_decisions"]

PIGGYBACKED_LOAD_AGE_SECONDS = 0.5
PREFIX_CHARACTERS = 256
CONNECTION_LOST = frozenset((AttemptEnd.CUT, AttemptEnd.NOT_HANDED))
MOVE_PACE_RATIO = 2.0
MOVE_AFTER_TOKENS = 8
MOVE_SECONDS = 0.3


@attrs.define(kw_only=True, eq=False)
class DecisionState:
    """What a daemon's decisions remember.

    Attributes
    ----------
    to_come : dict
        For each service, the stage calls of admitted requests not yet begun.
    pending : dict
        The same services by request, once for each stage.
    left_out : dict
        Optional stages that a request goes without.
    shares_of, unusual_shares : Bundle or None, dict
        Shares of workspaces that are not 1, and the bundle that they are of.
    """

    endpoints: EndpointTable
    pools: Pools
    random_source: random.Random
    zone: str
    estimates: Estimates = attrs.field(factory=Estimates)
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    shares: Shares = attrs.field(factory=Shares)
    to_come: dict[str, int] = attrs.field(factory=dict)
    pending: dict[str, list[str]] = attrs.field(factory=dict)
    left_out: dict[str, set[str]] = attrs.field(factory=dict)
    shares_of: Bundle | None = None
    unusual_shares: dict[str, float] = attrs.field(factory=dict)


def make_decisions(
    endpoints: EndpointTable,
    random_source: random.Random,
    *,
    daemon: str,
    zone: str,
    count_daemons: Callable[[], int] = lambda: 1,
) -> Decisions:
    """Return the decisions of a daemon, with a state of their own."""
    state = DecisionState(
        endpoints=endpoints,
        pools=Pools(daemon=daemon, count_daemons=count_daemons),
        random_source=random_source,
        zone=zone,
    )
    return decisions_of(state)


def decisions_of(state: DecisionState) -> Decisions:
    """Return the decisions that work on a state."""
    return Decisions(
        admit=functools.partial(_admit, state),
        choose=functools.partial(_choose, state),
        may_retry=functools.partial(_may_retry, state),
        should_move=functools.partial(_should_move, state),
        keeps=functools.partial(_keeps, state),
        learn=functools.partial(_learn, state),
        ended=functools.partial(_ended, state),
    )


def _admit(
    state: DecisionState, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
) -> Failure | None:
    now = anyio.current_time()
    policy = bundle.policy
    weights = _unusual_shares(state, bundle)
    over = state.shares.is_over(exchange.workspace, weights, now)
    wait_share = policy.borrow_wait_share if over else policy.wait_share
    seconds_left = exchange.deadline - now
    forecasts = [_forecast(state, bundle, s, exchange, now) for s in pipeline.stages]
    stages = list(pipeline.stages)
    refused = _decide(policy, forecasts, seconds_left, wait_share)
    spare = {stage.name for stage in stages[:-1] if stage.optional}
    if refused is not None and spare:
        kept = [forecast for forecast in forecasts if forecast.name not in spare]
        refused = _decide(policy, kept, seconds_left, wait_share)
        if refused is None:
            state.left_out[exchange.request_id] = spare
            stages = [stage for stage in stages if stage.name not in spare]
    if refused is not None:
        return refused
    work = sum(forecast.run_seconds for forecast in forecasts)
    state.shares.add(exchange.workspace, work, now)
    state.pending[exchange.request_id] = [stage.service for stage in stages]
    for stage in stages:
        state.to_come[stage.service] = state.to_come.get(stage.service, 0) + 1
    return None


def _unusual_shares(state: DecisionState, bundle: Bundle) -> dict[str, float]:
    """Return the shares that are not 1, worked out once for each bundle."""
    if state.shares_of is not bundle:
        state.shares_of = bundle
        state.unusual_shares = {
            name: workspace.share
            for name, workspace in bundle.workspaces.items()
            if workspace.share != 1.0
        }
    return state.unusual_shares


def _decide(policy, forecasts, seconds_left: float, wait_share: float):
    forecast = Forecast.along(forecasts, policy.spread_factor)
    return decide(forecast, seconds_left=seconds_left, wait_share=wait_share)


def _forecast(
    state: DecisionState, bundle: Bundle, stage: Stage, exchange: Exchange, now: float
) -> StageForecast:
    service = bundle.services[stage.service]
    candidates = state.endpoints.of_service(stage.service)
    pool = state.pools.find(stage.service, candidates, now)
    estimate = _estimate(state, stage.service, service, exchange)
    load = pool.load_now(state.to_come.get(stage.service, 0))
    waiting = max(0.0, load - pool.slots)
    return StageForecast(
        name=stage.name,
        after=stage.after,
        run_seconds=estimate.seconds,
        spread_seconds=estimate.spread,
        wait_seconds=waiting / pool.slots * estimate.seconds,
    )


def _estimate(
    state: DecisionState, name: str, service: Service, exchange: Exchange
) -> Estimate:
    size = len(exchange.input) if isinstance(exchange.input, str) else 0
    return state.estimates.find(name, service.model, size, service.typical_seconds)


def _choose(
    state: DecisionState, need: StageNeed, candidates: Sequence[Endpoint]
) -> Endpoint | None:
    if not need.tried:
        state.budget.earn(need.policy.retry_budget_share)
        _begun(state, need.exchange.request_id, need.service_name)
    now = anyio.current_time()
    known = state.endpoints.of_service(need.service_name)
    pool = state.pools.find(need.service_name, known, now)
    if candidates is not known:
        pool = pool.among(candidates, now)
    generates = need.service.kind == StageKind.GENERATE
    return choose_endpoint(
        pool,
        now=now,
        random_source=state.random_source,
        tried=need.tried,
        zone=state.zone,
        prefix=_prefix(need.exchange) if generates else "",
        affinity_bound=need.policy.affinity_bound,
    )


def _prefix(exchange: Exchange) -> str:
    text = exchange.input if isinstance(exchange.input, str) else ""
    return text[:PREFIX_CHARACTERS]


def _begun(state: DecisionState, request_id: str, service: str) -> None:
    pending = state.pending.get(request_id)
    if pending is not None and service in pending:
        pending.remove(service)
        state.to_come[service] -= 1


def _may_retry(state: DecisionState, need: StageNeed) -> bool:
    if need.granted:
        need.granted = False
        return True
    if len(need.tried) >= need.policy.max_attempts:
        return False
    estimate = _estimate(state, need.service_name, need.service, need.exchange)
    if estimate.seconds > need.seconds_left():
        return False
    lost = need.last_end in CONNECTION_LOST
    return state.budget.spend(connection_lost=lost)


def _should_move(
    state: DecisionState, need: StageNeed, endpoint: Endpoint, tokens: int
) -> bool:
    if not need.service.idempotent or len(need.tried) >= need.policy.max_attempts:
        return False
    pool = state.pools.by_service.get(need.service_name)
    if pool is None or endpoint.pace is None or tokens < MOVE_AFTER_TOKENS:
        return False
    usual = pool.usual_pace
    if usual <= 0.0 or endpoint.pace < MOVE_PACE_RATIO * usual:
        return False
    estimate = _estimate(state, need.service_name, need.service, need.exchange)
    rest = max(estimate.seconds / usual - tokens, MOVE_AFTER_TOKENS)
    left = need.seconds_left()
    if rest * endpoint.pace < left or rest * usual + MOVE_SECONDS > left:
        return False
    need.granted = state.budget.spend()
    return need.granted


def _keeps(state: DecisionState, exchange: Exchange, stage: Stage) -> bool:
    return stage.name not in state.left_out.get(exchange.request_id, ())


def _learn(
    state: DecisionState, need: StageNeed, endpoint: Endpoint, report: AttemptReport
) -> None:
    now = anyio.current_time()
    if report.load is not None:
        endpoint.hear_load(report.load, now - PIGGYBACKED_LOAD_AGE_SECONDS)
    if report.end is not AttemptEnd.DONE:
        endpoint.failed_at = now
        return
    seconds = report.seconds
    if need.service.kind != StageKind.GENERATE:
        endpoint.observe_pace(seconds, now)
    elif need.exchange.first_token is not None:
        seconds = now - need.exchange.first_token
    if len(need.tried) == 1:
        estimate = _estimate(state, need.service_name, need.service, need.exchange)
        estimate.observe(seconds)


def _ended(state: DecisionState, exchange: Exchange) -> None:
    for service in state.pending.pop(exchange.request_id, ()):
        state.to_come[service] -= 1
    state.left_out.pop(exchange.request_id, None)
