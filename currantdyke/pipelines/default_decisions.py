"""Default decisions of a daemon: admission, endpoint choice, retries and moves."""

import functools
import random
from collections.abc import Callable, Sequence

import anyio
import attrs

from currantdyke.admission import (
    Forecast,
    StageForecast,
    WorkspaceUsage,
    check_admission,
)
from currantdyke.bundle import Bundle, Pipeline, Service, Stage, StageKind
from currantdyke.core import Failure
from currantdyke.endpoints import Endpoint, EndpointTable
from currantdyke.estimates import Estimate, Estimates
from currantdyke.pipelines.decisions import DecisionContext, Decisions
from currantdyke.requests import Exchange
from currantdyke.retries import RetryBudget
from currantdyke.routing import Pools, choose_endpoint
from currantdyke.stagecalls import AttemptEnd, AttemptReport

__all__ = ["DecisionState", "bind_decisions", "make_decisions"]

ANSWER_LOAD_AGE_SECONDS = 0.5
PREFIX_CHARACTERS = 256
POSSIBLE_CONNECTION_LOSS_ENDS = frozenset((AttemptEnd.CUT, AttemptEnd.NOT_HANDED))
MOVE_PACE_RATIO = 2.0
MIN_TOKENS_BEFORE_MOVE = 8
MOVE_OVERHEAD_SECONDS = 0.3


@attrs.define(kw_only=True, eq=False)
class DecisionState:
    """State kept by a daemon's decisions.

    Attributes
    ----------
    unstarted_calls : dict
        For each service, the number of stage calls of admitted requests that have
        not started.
    unstarted_by_request : dict
        For each request, the services of these calls, one entry per stage.
    stages_to_skip : dict
        For each request, the optional stages that it is run without.
    weights_bundle, non_default_weights : Bundle or None, dict
        The bundle from which the weights were read, and the fair-share weights of
        the workspaces whose weight differs from 1.
    """

    endpoints: EndpointTable
    pools: Pools
    random_source: random.Random
    zone: str
    estimates: Estimates = attrs.field(factory=Estimates)
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    usage: WorkspaceUsage = attrs.field(factory=WorkspaceUsage)
    unstarted_calls: dict[str, int] = attrs.field(factory=dict)
    unstarted_by_request: dict[str, list[str]] = attrs.field(factory=dict)
    stages_to_skip: dict[str, set[str]] = attrs.field(factory=dict)
    weights_bundle: Bundle | None = None
    non_default_weights: dict[str, float] = attrs.field(factory=dict)


def make_decisions(
    endpoints: EndpointTable,
    random_source: random.Random,
    *,
    daemon: str,
    zone: str,
    count_daemons: Callable[[], int] = lambda: 1,
) -> Decisions:
    """Return the decisions of a daemon, bound to a new state.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints of all services.
    random_source : random.Random
        Source of random choices.
    daemon : str
        Name of the daemon, which determines its subset of a service's endpoints.
    zone : str
        Availability zone of the daemon.
    count_daemons : callable
        Returns the number of daemons; their equal share is the first estimate of
        this daemon's share of a service's calls.
    """
    state = DecisionState(
        endpoints=endpoints,
        pools=Pools(daemon=daemon, count_daemons=count_daemons),
        random_source=random_source,
        zone=zone,
    )
    return bind_decisions(state)


def bind_decisions(state: DecisionState) -> Decisions:
    """Return decisions bound to a state."""
    return Decisions(
        admit=functools.partial(_admit, state),
        choose=functools.partial(_choose, state),
        may_retry=functools.partial(_may_retry, state),
        should_move=functools.partial(_should_move, state),
        should_run_optional=functools.partial(_should_run_optional, state),
        observe_report=functools.partial(_observe_report, state),
        release=functools.partial(_release, state),
    )


def _admit(
    state: DecisionState, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
) -> Failure | None:
    now = anyio.current_time()
    policy = bundle.policy
    weights = _find_non_default_weights(state, bundle)
    exceeds_share = state.usage.exceeds_share(exchange.workspace, weights, now)
    wait_share = policy.borrow_wait_share if exceeds_share else policy.wait_share
    seconds_left = exchange.deadline - now
    forecasts = [_forecast(state, bundle, s, exchange, now) for s in pipeline.stages]
    stages = list(pipeline.stages)
    refusal = _check_admission(policy, forecasts, seconds_left, wait_share)
    skippable = {stage.name for stage in stages[:-1] if stage.optional}
    if refusal is not None and skippable:
        required = [
            forecast for forecast in forecasts if forecast.name not in skippable
        ]
        refusal = _check_admission(policy, required, seconds_left, wait_share)
        if refusal is None:
            state.stages_to_skip[exchange.request_id] = skippable
            stages = [stage for stage in stages if stage.name not in skippable]
    if refusal is not None:
        return refusal
    work_seconds = sum(forecast.run_seconds for forecast in forecasts)
    state.usage.add(exchange.workspace, work_seconds, now)
    state.unstarted_by_request[exchange.request_id] = [
        stage.service for stage in stages
    ]
    for stage in stages:
        state.unstarted_calls[stage.service] = (
            state.unstarted_calls.get(stage.service, 0) + 1
        )
    return None


def _find_non_default_weights(state: DecisionState, bundle: Bundle) -> dict[str, float]:
    """Return the fair-share weights that differ from 1, computed once per bundle."""
    if state.weights_bundle is not bundle:
        state.weights_bundle = bundle
        state.non_default_weights = {
            name: workspace.share
            for name, workspace in bundle.workspaces.items()
            if workspace.share != 1.0
        }
    return state.non_default_weights


def _check_admission(policy, forecasts, seconds_left: float, wait_share: float):
    forecast = Forecast.from_stages(forecasts, policy.spread_factor)
    return check_admission(forecast, seconds_left=seconds_left, wait_share=wait_share)


def _forecast(
    state: DecisionState, bundle: Bundle, stage: Stage, exchange: Exchange, now: float
) -> StageForecast:
    service = bundle.services[stage.service]
    candidates = state.endpoints.of_service(stage.service)
    pool = state.pools.find(stage.service, candidates, now)
    estimate = _estimate(state, stage.service, service, exchange)
    load = pool.estimated_load(state.unstarted_calls.get(stage.service, 0))
    queued_calls = max(0.0, load - pool.slots)
    return StageForecast(
        name=stage.name,
        after=stage.after,
        run_seconds=estimate.seconds,
        spread_seconds=estimate.mean_deviation,
        wait_seconds=queued_calls / pool.slots * estimate.seconds,
    )


def _estimate(
    state: DecisionState, name: str, service: Service, exchange: Exchange
) -> Estimate:
    size = len(exchange.input) if isinstance(exchange.input, str) else 0
    return state.estimates.find(name, service.model, size, service.typical_seconds)


def _choose(
    state: DecisionState, context: DecisionContext, candidates: Sequence[Endpoint]
) -> Endpoint | None:
    """Return the endpoint for an attempt, or None.

    Before a stage's first attempt, also earn retry budget and mark the call as started.
    """
    if not context.tried:
        state.budget.earn(context.policy.retry_budget_share)
        _mark_started(state, context.exchange.request_id, context.service_name)
    now = anyio.current_time()
    all_endpoints = state.endpoints.of_service(context.service_name)
    pool = state.pools.find(context.service_name, all_endpoints, now)
    if candidates is not all_endpoints:
        pool = pool.restricted_to(candidates, now)
    generates = context.service.kind == StageKind.GENERATE
    return choose_endpoint(
        pool,
        now=now,
        random_source=state.random_source,
        tried=context.tried,
        zone=state.zone,
        prefix=_affinity_prefix(context.exchange) if generates else "",
        affinity_bound=context.policy.affinity_bound,
    )


def _affinity_prefix(exchange: Exchange) -> str:
    text = exchange.input if isinstance(exchange.input, str) else ""
    return text[:PREFIX_CHARACTERS]


def _mark_started(state: DecisionState, request_id: str, service: str) -> None:
    unstarted = state.unstarted_by_request.get(request_id)
    if unstarted is not None and service in unstarted:
        unstarted.remove(service)
        state.unstarted_calls[service] -= 1


def _may_retry(state: DecisionState, context: DecisionContext) -> bool:
    if context.retry_granted:
        context.retry_granted = False
        return True
    if len(context.tried) >= context.policy.max_attempts:
        return False
    estimate = _estimate(state, context.service_name, context.service, context.exchange)
    if estimate.seconds > context.seconds_left():
        return False
    connection_lost = context.last_end in POSSIBLE_CONNECTION_LOSS_ENDS
    return state.budget.spend(connection_lost=connection_lost)


def _should_move(
    state: DecisionState, context: DecisionContext, endpoint: Endpoint, tokens: int
) -> bool:
    """Return whether to move a stream; if so, an attempt is taken out of the budget.

    A stream is moved only if it would miss the deadline at the endpoint's smoothed
    pace and meet it at the pool's median pace, including the overhead of the move.
    """
    if (
        not context.service.idempotent
        or len(context.tried) >= context.policy.max_attempts
    ):
        return False
    pool = state.pools.by_service.get(context.service_name)
    if pool is None or endpoint.pace is None or tokens < MIN_TOKENS_BEFORE_MOVE:
        return False
    median_pace = pool.median_pace
    if median_pace <= 0.0 or endpoint.pace < MOVE_PACE_RATIO * median_pace:
        return False
    estimate = _estimate(state, context.service_name, context.service, context.exchange)
    tokens_left = max(estimate.seconds / median_pace - tokens, MIN_TOKENS_BEFORE_MOVE)
    seconds_left = context.seconds_left()
    if (
        tokens_left * endpoint.pace < seconds_left
        or tokens_left * median_pace + MOVE_OVERHEAD_SECONDS > seconds_left
    ):
        return False
    context.retry_granted = state.budget.spend()
    return context.retry_granted


def _should_run_optional(
    state: DecisionState, exchange: Exchange, stage: Stage
) -> bool:
    return stage.name not in state.stages_to_skip.get(exchange.request_id, ())


def _observe_report(
    state: DecisionState,
    context: DecisionContext,
    endpoint: Endpoint,
    report: AttemptReport,
) -> None:
    now = anyio.current_time()
    if report.load is not None:
        endpoint.record_load(report.load, now - ANSWER_LOAD_AGE_SECONDS)
    if report.end is not AttemptEnd.DONE:
        endpoint.failed_at = now
        return
    seconds = report.seconds
    if context.service.kind != StageKind.GENERATE:
        endpoint.observe_pace(seconds, now)
    elif context.exchange.first_token_at is not None:
        seconds = now - context.exchange.first_token_at
    if len(context.tried) == 1:
        estimate = _estimate(
            state, context.service_name, context.service, context.exchange
        )
        estimate.observe(seconds)


def _release(state: DecisionState, exchange: Exchange) -> None:
    for service in state.unstarted_by_request.pop(exchange.request_id, ()):
        state.unstarted_calls[service] -= 1
    state.stages_to_skip.pop(exchange.request_id, None)
