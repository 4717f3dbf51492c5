"""Run one stage: choose an endpoint, call it and retry where that is safe."""

import functools
from collections.abc import Callable
from typing import Any

import anyio
import attrs
from expression import Error, Ok, Result

from currantdyke.bundle import Policy, Service, Stage, StageKind
from currantdyke.core import Failure, FailureKind
from currantdyke.endpoints import Endpoint
from currantdyke.pipelines.context import RunContext
from currantdyke.pipelines.decisions import DecisionContext
from currantdyke.pipelines.pace import StreamPaceMeter
from currantdyke.requests import Exchange, StageRecord
from currantdyke.stagecalls import (
    Attempt,
    AttemptEnd,
    AttemptReport,
    TrackedAttempt,
)
from currantdyke.stagecalls.engine import DeliveredTokens

__all__ = ["StageRun", "run_stage"]

COMPLETIONS_PATH = "/v1/completions"
NO_ENDPOINT_RETRY_SECONDS = 1.0
MIN_IDLE_SECONDS = 0.25
MAX_IDLE_SECONDS = 2.0
IDLE_SHARE_OF_REMAINING_TIME = 0.25
SAFE_TO_RETRY_ENDS = frozenset((AttemptEnd.NOT_HANDED, AttemptEnd.REFUSED))


@attrs.define(kw_only=True, eq=False)
class StageRun:
    """State of one stage of one request."""

    context: RunContext
    stage: Stage
    service: Service
    policy: Policy
    exchange: Exchange
    body: dict[str, Any]
    deliver: Callable[[str], None]
    attempts: list[TrackedAttempt]
    tried: list[str] = attrs.field(factory=list)
    cost_seconds: float = 0.0


async def run_stage(run: StageRun) -> Result[Any, Failure]:
    """Run a stage and return its output or the failure that ended it.

    A call that an endpoint may have run is repeated only if the service is
    idempotent.
    """
    started = anyio.current_time()
    try:
        return await _try_endpoints(run)
    finally:
        _record_stage(run, run.tried[-1] if run.tried else "", started)


async def _try_endpoints(run: StageRun) -> Result[Any, Failure]:
    delivered = DeliveredTokens(deliver=run.deliver, max_tokens=run.stage.max_tokens)
    failure = _no_endpoint_failure(run)
    decision_context = _make_decision_context(run)
    while True:
        async with run.context.isolation.permit(
            run.exchange, _candidates(run), run.tried
        ) as permit:
            if permit.refused is not None:
                failure = permit.refused
                break
            endpoint = run.context.decisions.choose(decision_context, permit.endpoints)
            if endpoint is None:
                break
            with permit.register_running(endpoint):
                report = await _run_attempt(run, endpoint, delivered, decision_context)
            await permit.record_report(endpoint, report)
        if report.end is AttemptEnd.DONE:
            return Ok(report.output)
        failure = _stage_failure(run, report)
        if not (run.service.idempotent or report.end in SAFE_TO_RETRY_ENDS):
            break
        decision_context.last_end = report.end
        if not run.context.decisions.may_retry(decision_context):
            break
    return Error(failure)


def _candidates(run: StageRun) -> list[Endpoint]:
    """Return the service's endpoints.

    A request keeps the bundle that it started with. If the bundle in force no longer
    has the service, the endpoints are taken from the request's bundle.
    """
    table = run.context.endpoints
    if run.stage.service in table.by_service:
        return table.of_service(run.stage.service)
    specs = run.service.endpoints
    return [Endpoint(service=run.stage.service, spec=spec) for spec in specs]


async def _run_attempt(
    run: StageRun,
    endpoint: Endpoint,
    delivered: DeliveredTokens,
    decision_context: DecisionContext,
) -> AttemptReport:
    attempt = _new_attempt(run, endpoint, len(delivered.texts))
    on_endpoint_state = functools.partial(run.context.liveness.process_state, endpoint)
    tracked_attempt = TrackedAttempt(
        attempt=attempt, on_endpoint_state=on_endpoint_state
    )
    run.attempts.append(tracked_attempt)
    run.tried.append(endpoint.name)
    endpoint.in_flight += 1
    _record_event(run, attempt, "dispatched")
    started = anyio.current_time()
    move_scope = anyio.CancelScope()
    delivered.deliver = _make_pace_meter(
        run, endpoint, decision_context, move_scope
    ).on_token
    report = AttemptReport(
        attempt=attempt, end=AttemptEnd.TIMED_OUT, detail="moved for being slow"
    )
    try:
        with move_scope:
            report = await run.context.call_stage(
                tracked_attempt, run.service.kind, delivered
            )
    except BaseException:
        _abandon(run, tracked_attempt)
        raise
    finally:
        endpoint.in_flight -= 1
        run.cost_seconds += anyio.current_time() - started
    if not tracked_attempt.settle(report):
        _count_dropped(run, "settled")
    _record_report(run, endpoint, report)
    _record_event(run, attempt, report.end.value, report.detail, report.seconds)
    return report


def _make_pace_meter(
    run: StageRun,
    endpoint: Endpoint,
    decision_context: DecisionContext,
    move_scope: anyio.CancelScope,
) -> StreamPaceMeter:
    def move_if_slow(tokens: int) -> None:
        if run.context.decisions.should_move(decision_context, endpoint, tokens):
            move_scope.cancel()

    return StreamPaceMeter(
        endpoint=endpoint, deliver=run.deliver, on_measurement=move_if_slow
    )


def _abandon(run: StageRun, tracked_attempt: TrackedAttempt) -> None:
    tracked_attempt.abandon()
    report = tracked_attempt.report
    assert report is not None
    run.context.metrics.attempts.labels(run.stage.service, report.end.value).inc()
    _record_event(run, tracked_attempt.attempt, report.end.value, report.detail)


def _count_dropped(run: StageRun, reason: str) -> None:
    run.context.metrics.answers_dropped.labels(run.stage.service, reason).inc()


def _idle_limit(seconds: float) -> float:
    """Return an idle timeout that leaves time to resume at another endpoint."""
    idle_seconds = max(MIN_IDLE_SECONDS, IDLE_SHARE_OF_REMAINING_TIME * seconds)
    return min(idle_seconds, MAX_IDLE_SECONDS)


def _new_attempt(run: StageRun, endpoint: Endpoint, delivered: int) -> Attempt:
    path, body = run.service.path, run.body
    if run.service.kind == StageKind.GENERATE:
        path = COMPLETIONS_PATH
        body = {
            "model": run.service.model,
            "prompt": run.body,
            "stream": True,
            "max_tokens": run.stage.max_tokens,
            "priority": run.exchange.priority,
            "resume_from": delivered,
        }
    seconds = run.exchange.deadline - anyio.current_time()
    return Attempt(
        request_id=run.exchange.request_id,
        stage=run.stage.name,
        attempt_id=next(run.context.attempt_ids),
        service=run.stage.service,
        endpoint=endpoint.name,
        url=endpoint.spec.url,
        path=path,
        body=body,
        seconds=seconds,
        idle_seconds=_idle_limit(seconds),
        priority=run.exchange.priority,
    )


def _make_decision_context(run: StageRun) -> DecisionContext:
    return DecisionContext(
        exchange=run.exchange,
        service_name=run.stage.service,
        service=run.service,
        policy=run.policy,
        tried=run.tried,
    )


def _record_report(run: StageRun, endpoint: Endpoint, report: AttemptReport) -> None:
    run.context.decisions.observe_report(_make_decision_context(run), endpoint, report)
    run.context.metrics.attempts.labels(run.stage.service, report.end.value).inc()
    if report.end is AttemptEnd.DONE:
        endpoint.observe(report.seconds)
        return
    endpoint.failures_in_row += 1
    if report.end is AttemptEnd.MISMATCHED:
        known = {attempt.attempt.attempt_id for attempt in run.attempts}
        is_late = report.claimed_attempt in known
        _count_dropped(run, "settled" if is_late else "identity")


def _record_event(
    run: StageRun, attempt: Attempt, name: str, detail: str = "", seconds: float = 0.0
) -> None:
    run.context.timeline.record(
        "stages",
        name,
        request_id=attempt.request_id,
        stage=attempt.stage,
        attempt_id=attempt.attempt_id,
        endpoint=attempt.endpoint,
        detail=detail,
        seconds=seconds,
    )


def _record_stage(run: StageRun, endpoint: str, started: float) -> None:
    run.exchange.records.append(
        StageRecord(
            stage=run.stage.name,
            endpoint=endpoint,
            attempts=len(run.tried),
            seconds=anyio.current_time() - started,
            cost_seconds=run.cost_seconds,
        )
    )


def _no_endpoint_failure(run: StageRun) -> Failure:
    return Failure(
        kind=FailureKind.NO_ENDPOINT,
        detail=f"service {run.stage.service!r} has no endpoint that takes work",
        retry_after=NO_ENDPOINT_RETRY_SECONDS,
    )


def _stage_failure(run: StageRun, report: AttemptReport) -> Failure:
    return Failure(
        kind=FailureKind.STAGE_FAILED,
        detail=(
            f"stage {run.stage.name!r} ended {report.end.value} "
            f"at {report.attempt.endpoint!r}: {report.detail}"
        ),
    )
