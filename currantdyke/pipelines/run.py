"""Run a request: its stages as a graph, each in a task of its own."""

import functools
from typing import Any

import anyio
import attrs
from absl import logging
from expression import Error, Result

from currantdyke.bundle import Bundle, Pipeline, Stage
from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.pipelines.parts import RunParts
from currantdyke.pipelines.stage import StageRun, run_stage
from currantdyke.requests import Exchange, decide_outcome
from currantdyke.stagecalls import OpenAttempt

__all__ = ["RequestRun", "RunParts", "run_request"]

OPTIONAL_SHARE_OF_REST = 0.4


@attrs.define(kw_only=True, eq=False)
class RequestRun:
    """The state of one run.

    Attributes
    ----------
    outputs : dict
        Outputs of the stages that ended; None for a stage left out.
    attempts : list of OpenAttempt
        Every attempt, from before its call.
    failure : Failure or None
        The first failure of a stage that is not optional.
    """

    parts: RunParts
    bundle: Bundle
    pipeline: Pipeline
    exchange: Exchange
    outputs: dict[str, Any] = attrs.field(factory=dict)
    attempts: list[OpenAttempt] = attrs.field(factory=list)
    failure: Failure | None = None


async def run_request(
    parts: RunParts, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
) -> None:
    """Run a request to its end and settle it.

    Parameters
    ----------
    parts : RunParts
        What the daemon's runs share.
    bundle : Bundle
        The configuration that the request keeps to its end.
    pipeline : Pipeline
        The stages to run.
    exchange : Exchange
        The request; it is settled when this returns, whatever happened.
    """
    run = RequestRun(parts=parts, bundle=bundle, pipeline=pipeline, exchange=exchange)
    exchange.append("accepted", {"request_id": exchange.request_id})
    parts.timeline.record("requests", "accepted", request_id=exchange.request_id)
    remaining = exchange.deadline - anyio.current_time()
    try:
        with anyio.move_on_after(remaining) as scope:
            exchange.run_within(scope)
            if not _needs_key(run) or await parts.keys.begin(exchange):
                await _run_stages(run)
    except Exception as error:
        run.failure = _internal(run, error)
    _settle(run)
    if _needs_key(run):
        parts.keys.finish(exchange, _outcome_of_charges(run))


def _needs_key(run: RequestRun) -> bool:
    """Return whether a request has a key and calls that must not be repeated."""
    if not run.exchange.idempotency_key:
        return False
    services = (run.bundle.services[stage.service] for stage in run.pipeline.stages)
    return not all(service.idempotent for service in services)


def _internal(run: RequestRun, error: Exception) -> Failure:
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    run.parts.metrics.internal_errors.labels("pipelines").inc()
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
        failure = run.failure or _interrupted(exchange, now)
        outcome = decide_outcome(run.attempts)
        exchange.settle(failure=attrs.evolve(failure, outcome=outcome), now=now)
    _account(run, now)


def _outcome_of_charges(run: RequestRun) -> Outcome:
    """Return what became of the calls that must not be repeated."""
    services = run.bundle.services
    return decide_outcome(
        attempt
        for attempt in run.attempts
        if not services[attempt.attempt.service].idempotent
    )


def _interrupted(exchange: Exchange, now: float) -> Failure:
    if now >= exchange.deadline and not exchange.cancelled:
        return Failure(
            kind=FailureKind.DEADLINE_PASSED,
            detail=f"no whole answer within {exchange.deadline - exchange.started:g} s",
        )
    return Failure(kind=FailureKind.CANCELLED, detail="the request was cancelled")


def _account(run: RequestRun, now: float) -> None:
    exchange, metrics = run.exchange, run.parts.metrics
    assert exchange.outcome is not None
    code = exchange.failure.kind.code if exchange.failure else "ok"
    metrics.requests.labels(exchange.pipeline, exchange.outcome.value, code).inc()
    useful = "yes" if exchange.failure is None and now <= exchange.deadline else "no"
    for record in exchange.records:
        labels = (exchange.pipeline, record.stage)
        metrics.stage_seconds.labels(*labels).observe(record.seconds)
        metrics.stage_cost.labels(*labels, useful).inc(record.cost_seconds)
    if exchange.first_token is not None:
        waited = exchange.first_token - exchange.started
        metrics.first_token_seconds.labels(exchange.pipeline).observe(waited)
    run.parts.timeline.record(
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
                functools.partial(_run_one, run, stage, ended, tasks.cancel_scope)
            )


async def _run_one(
    run: RequestRun,
    stage: Stage,
    ended: dict[str, anyio.Event],
    scope: anyio.CancelScope,
) -> None:
    for earlier in stage.after:
        await ended[earlier].wait()
    failure = await _take_stage(run, stage)
    if failure is not None and run.failure is None:
        run.failure = failure
        scope.cancel()
    ended[stage.name].set()


async def _take_stage(run: RequestRun, stage: Stage) -> Failure | None:
    """Run a stage or leave it out; return why the request cannot go on."""
    optional = stage.optional and stage is not run.pipeline.stages[-1]
    if optional and not run.parts.decisions.keeps(run.exchange, stage):
        _leave_out(run, stage)
        return None
    answer = await (_call_optional if optional else _call_stage)(run, stage)
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


async def _call_optional(run: RequestRun, stage: Stage) -> Result[Any, Failure]:
    """Run a stage that may be left out, within a share of what is left."""
    seconds = run.exchange.deadline - anyio.current_time()
    with anyio.move_on_after(OPTIONAL_SHARE_OF_REST * seconds):
        return await _call_stage(run, stage)
    detail = f"the optional stage {stage.name!r} was too slow"
    return Error(Failure(kind=FailureKind.STAGE_FAILED, detail=detail))


async def _call_stage(run: RequestRun, stage: Stage) -> Result[Any, Failure]:
    previous = {name: run.outputs[name] for name in stage.after}
    is_last = stage is run.pipeline.stages[-1]
    stage_run = StageRun(
        parts=run.parts,
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
    """Leave out the tokens of a stage that is not the last."""


def _token_sink(exchange: Exchange):
    def deliver(text: str) -> None:
        if exchange.first_token is None:
            exchange.first_token = anyio.current_time()
        exchange.append("token", {"text": text})

    return deliver
