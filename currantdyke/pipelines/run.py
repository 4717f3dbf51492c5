"""Run the stages of a request as a graph, each stage in its own task."""

import functools
from typing import Any

import anyio
import attrs
from absl import logging
from expression import Error, Result

from currantdyke.bundle import Bundle, Pipeline, Stage
from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.pipelines.context import RunContext
from currantdyke.pipelines.stage import StageRun, run_stage
from currantdyke.requests import Exchange, decide_outcome
from currantdyke.stagecalls import TrackedAttempt

__all__ = ["RequestRun", "RunContext", "run_request"]

OPTIONAL_SHARE_OF_REMAINING_TIME = 0.4


@attrs.define(kw_only=True, eq=False)
class RequestRun:
    """State of one run of a request.

    Attributes
    ----------
    outputs : dict
        Outputs of the completed stages; None for a stage that was left out.
    attempts : list of TrackedAttempt
        All attempts, each added before its call starts.
    failure : Failure or None
        The first failure of a required stage, or an internal error.
    """

    context: RunContext
    bundle: Bundle
    pipeline: Pipeline
    exchange: Exchange
    outputs: dict[str, Any] = attrs.field(factory=dict)
    attempts: list[TrackedAttempt] = attrs.field(factory=list)
    failure: Failure | None = None


async def run_request(
    context: RunContext, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
) -> None:
    """Run a request and settle it.

    Parameters
    ----------
    context : RunContext
        Objects shared by the daemon's runs.
    bundle : Bundle
        The configuration, which stays the same for the whole request.
    pipeline : Pipeline
        The stages to run.
    exchange : Exchange
        The request; it is settled when this function returns, also after an error.
    """
    run = RequestRun(
        context=context, bundle=bundle, pipeline=pipeline, exchange=exchange
    )
    exchange.append("accepted", {"request_id": exchange.request_id})
    context.timeline.record("requests", "accepted", request_id=exchange.request_id)
    remaining = exchange.deadline - anyio.current_time()
    try:
        with anyio.move_on_after(remaining) as scope:
            exchange.attach_cancel_scope(scope)
            if not _needs_key(run) or await context.keys.begin(exchange):
                await _run_stages(run)
    except Exception as error:
        run.failure = _internal_failure(run, error)
    _settle(run)
    if _needs_key(run):
        context.keys.finish(exchange, _decide_non_idempotent_outcome(run))


def _needs_key(run: RequestRun) -> bool:
    """Return whether a request has an idempotency key and non-idempotent calls."""
    if not run.exchange.idempotency_key:
        return False
    services = (run.bundle.services[stage.service] for stage in run.pipeline.stages)
    return not all(service.idempotent for service in services)


def _internal_failure(run: RequestRun, error: Exception) -> Failure:
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    run.context.metrics.internal_errors.labels("pipelines").inc()
    logging.error("request %s: %r", run.exchange.request_id, error, exc_info=error)
    detail = f"an error of the daemon itself ({type(error).__name__})"
    return Failure(kind=FailureKind.INTERNAL, detail=detail)


def _settle(run: RequestRun) -> None:
    exchange = run.exchange
    now = anyio.current_time()
    last = run.pipeline.stages[-1].name
    if run.failure is None and last in run.outputs:
        exchange.settle(output=run.outputs[last], now=now)
    else:
        failure = run.failure or _interruption_failure(exchange, now)
        outcome = decide_outcome(run.attempts)
        exchange.settle(failure=attrs.evolve(failure, outcome=outcome), now=now)
    _record_outcome(run, now)


def _decide_non_idempotent_outcome(run: RequestRun) -> Outcome:
    """Return whether calls to non-idempotent services ran.

    ``NOT_RUN`` means that none ran. ``FAILED`` means that some ran and that it is
    known of each call whether it ran, also if all succeeded. Otherwise the result is
    ``UNKNOWN``.
    """
    services = run.bundle.services
    return decide_outcome(
        attempt
        for attempt in run.attempts
        if not services[attempt.attempt.service].idempotent
    )


def _interruption_failure(exchange: Exchange, now: float) -> Failure:
    if now >= exchange.deadline and not exchange.cancelled:
        return Failure(
            kind=FailureKind.DEADLINE_PASSED,
            detail=f"no whole answer within {exchange.deadline - exchange.started:g} s",
        )
    return Failure(kind=FailureKind.CANCELLED, detail="the request was cancelled")


def _record_outcome(run: RequestRun, now: float) -> None:
    exchange, metrics = run.exchange, run.context.metrics
    assert exchange.outcome is not None
    code = exchange.failure.kind.code if exchange.failure else "ok"
    metrics.requests.labels(exchange.pipeline, exchange.outcome.value, code).inc()
    useful = "yes" if exchange.failure is None and now <= exchange.deadline else "no"
    for record in exchange.records:
        labels = (exchange.pipeline, record.stage)
        metrics.stage_seconds.labels(*labels).observe(record.seconds)
        metrics.stage_cost.labels(*labels, useful).inc(record.cost_seconds)
    if exchange.first_token_at is not None:
        first_token_seconds = exchange.first_token_at - exchange.started
        metrics.first_token_seconds.labels(exchange.pipeline).observe(
            first_token_seconds
        )
    run.context.timeline.record(
        "requests",
        "settled",
        request_id=exchange.request_id,
        detail=f"{exchange.outcome.value} {code}",
        seconds=now - exchange.started,
    )


async def _run_stages(run: RequestRun) -> None:
    ended = {stage.name: anyio.Event() for stage in run.pipeline.stages}
    async with anyio.create_task_group() as tasks:
        for stage in run.pipeline.stages:
            tasks.start_soon(
                functools.partial(
                    _run_after_dependencies, run, stage, ended, tasks.cancel_scope
                )
            )


async def _run_after_dependencies(
    run: RequestRun,
    stage: Stage,
    ended: dict[str, anyio.Event],
    scope: anyio.CancelScope,
) -> None:
    for dependency in stage.after:
        await ended[dependency].wait()
    failure = await _run_or_leave_out(run, stage)
    if failure is not None and run.failure is None:
        run.failure = failure
        scope.cancel()
    ended[stage.name].set()


async def _run_or_leave_out(run: RequestRun, stage: Stage) -> Failure | None:
    """Run a stage or leave it out; return the failure if the request must end."""
    optional = stage.optional and stage is not run.pipeline.stages[-1]
    if optional and not run.context.decisions.should_run_optional(run.exchange, stage):
        _leave_out(run, stage)
        return None
    answer = await (_call_optional_stage if optional else _call_stage)(run, stage)
    if answer.is_ok():
        run.outputs[stage.name] = answer.ok
        return None
    if not optional:
        return answer.error
    _leave_out(run, stage)
    return None


def _leave_out(run: RequestRun, stage: Stage) -> None:
    run.outputs[stage.name] = None
    run.exchange.left_out.append(stage.name)


async def _call_optional_stage(run: RequestRun, stage: Stage) -> Result[Any, Failure]:
    """Run an optional stage within a share of the remaining time."""
    seconds = run.exchange.deadline - anyio.current_time()
    with anyio.move_on_after(OPTIONAL_SHARE_OF_REMAINING_TIME * seconds):
        return await _call_stage(run, stage)
    detail = f"the optional stage {stage.name!r} was too slow"
    return Error(Failure(kind=FailureKind.STAGE_FAILED, detail=detail))


async def _call_stage(run: RequestRun, stage: Stage) -> Result[Any, Failure]:
    previous = {name: run.outputs[name] for name in stage.after}
    is_last = stage is run.pipeline.stages[-1]
    stage_run = StageRun(
        context=run.context,
        stage=stage,
        service=run.bundle.services[stage.service],
        policy=run.bundle.policy,
        exchange=run.exchange,
        body={"input": run.exchange.input, "previous": previous},
        deliver=_token_sink(run.exchange) if is_last else _drop_token,
        attempts=run.attempts,
    )
    return await run_stage(stage_run)


def _drop_token(text: str) -> None:
    """Discard a token of a stage that is not the last."""


def _token_sink(exchange: Exchange):
    def deliver(text: str) -> None:
        if exchange.first_token_at is None:
            exchange.first_token_at = anyio.current_time()
        exchange.append("token", {"text": text})

    return deliver
