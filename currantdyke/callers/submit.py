"""Take in a new request: check it, start it and answer it."""

from collections.abc import Callable
from typing import Any

import anyio
from starlette.requests import Request
from starlette.responses import Response

from currantdyke.bundle import Bundle, Pipeline, Stage, StageKind
from currantdyke.callers.answers import answer, failure_response
from currantdyke.callers.body import read_input
from currantdyke.callers.face import CallersFace
from currantdyke.callers.headers import CallerHeaders, read_headers
from currantdyke.core import Failure, FailureKind
from currantdyke.requests import Exchange

__all__ = ["named_pipeline", "not_ready", "plain_call", "submit"]

PLAIN_DEADLINE_SECONDS = 6.0
NOT_READY_RETRY_SECONDS = 1.0


async def submit(
    face: CallersFace,
    request: Request,
    find_pipeline: Callable[[Bundle, str], Pipeline | None],
) -> Response:
    """Check a new request, start it, and answer it as its caller wants.

    Parameters
    ----------
    face : CallersFace
        The face that it came to.
    request : Request
        The HTTP request.
    find_pipeline : callable
        Finds what the name in the path stands for.
    """
    bundle = face.in_force.bundle
    closed = _closed(face)
    if closed is not None or bundle is None:
        return failure_response(closed or not_ready())
    headers = read_headers(request, face.in_force)
    if headers.is_error():
        return failure_response(headers.error)
    name = request.path_params["name"]
    pipeline = find_pipeline(bundle, name)
    if pipeline is None:
        detail = f"there is no {name!r:.80}"
        return failure_response(
            Failure(kind=FailureKind.UNKNOWN_PIPELINE, detail=detail)
        )
    body = await read_input(request, face.max_body_bytes)
    if body.is_error():
        return failure_response(body.error)
    exchange = _new_exchange(face, name, pipeline, headers.ok, body.ok)
    refused = _closed(face) or face.submit(bundle, pipeline, exchange)
    if refused is not None:
        return failure_response(refused, exchange.request_id)
    return await answer(
        exchange,
        streamed=headers.ok.streamed,
        first=0,
        wait_seconds=headers.ok.wait_seconds,
    )


def named_pipeline(bundle: Bundle, name: str) -> Pipeline | None:
    """Return a pipeline by its name."""
    return bundle.pipelines.get(name)


def plain_call(bundle: Bundle, name: str) -> Pipeline | None:
    """Return a pipeline of the one call to a plain service."""
    service = bundle.services.get(name)
    if service is None or service.kind != StageKind.PLAIN:
        return None
    call = Stage(name="call", service=name)
    return Pipeline(stages=(call,), deadline=PLAIN_DEADLINE_SECONDS)


def _closed(face: CallersFace) -> Failure | None:
    if not face.is_draining():
        return None
    detail = "this daemon is shutting down"
    return Failure(kind=FailureKind.SHUTTING_DOWN, detail=detail, retry_after=0.0)


def not_ready() -> Failure:
    """Return the failure of a daemon that holds no bundle."""
    return Failure(
        kind=FailureKind.NOT_READY,
        detail="this daemon holds no bundle yet",
        retry_after=NOT_READY_RETRY_SECONDS,
    )


def _new_exchange(
    face: CallersFace,
    name: str,
    pipeline: Pipeline,
    headers: CallerHeaders,
    body: Any,
) -> Exchange:
    now = anyio.current_time()
    seconds = headers.deadline_seconds or pipeline.deadline
    return Exchange(
        request_id=face.new_request_id(),
        workspace=headers.workspace,
        pipeline=name,
        input=body,
        started=now,
        deadline=now + seconds,
        priority=headers.priority,
        idempotency_key=headers.idempotency_key,
    )
