"""Validate, start and answer a new request."""

from collections.abc import Callable
from typing import Any

import anyio
from starlette.requests import Request
from starlette.responses import Response

from currantdyke.bundle import Bundle, Pipeline, Stage, StageKind
from currantdyke.callers.body import read_input
from currantdyke.callers.context import CallersContext
from currantdyke.callers.headers import CallerHeaders, read_headers
from currantdyke.callers.responses import exchange_response, failure_response
from currantdyke.core import Failure, FailureKind
from currantdyke.requests import Exchange

__all__ = ["named_pipeline", "not_ready_failure", "plain_service_pipeline", "submit"]

PLAIN_DEADLINE_SECONDS = 6.0
NOT_READY_RETRY_SECONDS = 1.0


async def submit(
    context: CallersContext,
    request: Request,
    find_pipeline: Callable[[Bundle, str], Pipeline | None],
) -> Response:
    """Validate and start a new request, and return the response to it.

    Parameters
    ----------
    context : CallersContext
        State and functions of the daemon.
    request : Request
        The HTTP request.
    find_pipeline : callable
        Returns the pipeline for the name in the path, or None if there is none.
    """
    bundle = context.active_bundle.bundle
    draining = _draining_failure(context)
    if draining is not None or bundle is None:
        return failure_response(draining or not_ready_failure())
    headers = read_headers(request, context.active_bundle)
    if headers.is_error():
        return failure_response(headers.error)
    name = request.path_params["name"]
    pipeline = find_pipeline(bundle, name)
    if pipeline is None:
        detail = f"there is no {name!r:.80}"
        return failure_response(
            Failure(kind=FailureKind.UNKNOWN_PIPELINE, detail=detail)
        )
    input_value = await read_input(request, context.max_body_bytes)
    if input_value.is_error():
        return failure_response(input_value.error)
    exchange = _new_exchange(context, name, pipeline, headers.ok, input_value.ok)
    refused = _draining_failure(context) or context.submit(bundle, pipeline, exchange)
    if refused is not None:
        return failure_response(refused, exchange.request_id)
    return await exchange_response(
        exchange,
        streamed=headers.ok.streamed,
        first=0,
        wait_seconds=headers.ok.wait_seconds,
    )


def named_pipeline(bundle: Bundle, name: str) -> Pipeline | None:
    """Return the pipeline of a name, or None if there is none."""
    return bundle.pipelines.get(name)


def plain_service_pipeline(bundle: Bundle, name: str) -> Pipeline | None:
    """Return a pipeline of a single call to a plain service, or None."""
    service = bundle.services.get(name)
    if service is None or service.kind != StageKind.PLAIN:
        return None
    call = Stage(name="call", service=name)
    return Pipeline(stages=(call,), deadline=PLAIN_DEADLINE_SECONDS)


def _draining_failure(context: CallersContext) -> Failure | None:
    if not context.is_draining():
        return None
    detail = "this daemon is shutting down"
    return Failure(kind=FailureKind.SHUTTING_DOWN, detail=detail, retry_after=0.0)


def not_ready_failure() -> Failure:
    """Return the failure of a daemon that holds no bundle."""
    return Failure(
        kind=FailureKind.NOT_READY,
        detail="this daemon holds no bundle yet",
        retry_after=NOT_READY_RETRY_SECONDS,
    )


def _new_exchange(
    context: CallersContext,
    name: str,
    pipeline: Pipeline,
    headers: CallerHeaders,
    input_value: Any,
) -> Exchange:
    now = anyio.current_time()
    seconds = headers.deadline_seconds or pipeline.deadline
    return Exchange(
        request_id=context.new_request_id(),
        workspace=headers.workspace,
        pipeline=name,
        input=input_value,
        started=now,
        deadline=now + seconds,
        priority=headers.priority,
        idempotency_key=headers.idempotency_key,
    )
