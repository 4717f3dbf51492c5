"""Submit, rejoin and cancel requests over HTTP."""

from collections.abc import Callable

import anyio
import attrs
from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from currantdyke.bundle import Bundle, BundleInForce, Pipeline, Stage, StageKind
from currantdyke.callers.answers import (
    exchange_response,
    failure_response,
    streamed_events,
)
from currantdyke.callers.parse import (
    CallerRequest,
    authenticate,
    read_caller_request,
)
from currantdyke.core import Failure, FailureKind
from currantdyke.requests import Exchange, RequestTable

__all__ = ["CallersFace", "callers_app"]

PLAIN_DEADLINE_SECONDS = 6.0


@attrs.define(kw_only=True, eq=False)
class CallersFace:
    """What the face needs from its daemon.

    Attributes
    ----------
    submit : callable
        Admits a request and starts it; returns a failure or None.
    is_draining : callable
        Whether new requests are refused because the daemon shuts down.
    """

    in_force: BundleInForce
    requests: RequestTable
    max_body_bytes: int
    new_request_id: Callable[[], str]
    submit: Callable[[Bundle, Pipeline, Exchange], Failure | None]
    is_draining: Callable[[], bool]


def callers_app(face: CallersFace) -> Starlette:
    """Return the callers' face as an ASGI application."""

    async def pipeline(request: Request) -> Response:
        return await _submit(face, request, _named_pipeline)

    async def service(request: Request) -> Response:
        return await _submit(face, request, _plain_call)

    async def rejoin(request: Request) -> Response:
        found = _find(face, request)
        if found.is_error():
            return failure_response(found.error)
        first = request.query_params.get("from", "0")
        if not first.isdecimal():
            detail = f"from is {first!r:.40}, not a whole number"
            return failure_response(Failure(kind=FailureKind.MALFORMED, detail=detail))
        streamed = "text/event-stream" in request.headers.get("accept", "")
        return await _answer(found.ok, streamed, int(first))

    async def cancel(request: Request) -> Response:
        found = _find(face, request)
        if found.is_error():
            return failure_response(found.error)
        exchange = found.ok
        exchange.cancel()
        await exchange.wait_end()
        return exchange_response(exchange, status=200)

    return Starlette(
        routes=[
            Route("/v1/pipelines/{name}", pipeline, methods=["POST"]),
            Route("/v1/services/{name}", service, methods=["POST"]),
            Route("/v1/requests/{request_id}", rejoin, methods=["GET"]),
            Route("/v1/requests/{request_id}", cancel, methods=["DELETE"]),
        ]
    )


async def _submit(
    face: CallersFace,
    request: Request,
    find_pipeline: Callable[[Bundle, str], Pipeline | None],
) -> Response:
    bundle = face.in_force.bundle
    if face.is_draining():
        detail = "this daemon is shutting down"
        return failure_response(
            Failure(kind=FailureKind.SHUTTING_DOWN, detail=detail, retry_after=0.0)
        )
    if bundle is None:
        detail = "this daemon holds no bundle yet"
        return failure_response(
            Failure(kind=FailureKind.NOT_READY, detail=detail, retry_after=1.0)
        )
    read = await read_caller_request(request, face.in_force, face.max_body_bytes)
    if read.is_error():
        return failure_response(read.error)
    name = request.path_params["name"]
    pipeline = find_pipeline(bundle, name)
    if pipeline is None:
        detail = f"there is no {name!r:.80}"
        return failure_response(
            Failure(kind=FailureKind.UNKNOWN_PIPELINE, detail=detail)
        )
    exchange = _new_exchange(face, name, pipeline, read.ok)
    refused = face.submit(bundle, pipeline, exchange)
    if refused is not None:
        return failure_response(refused, exchange.request_id)
    return await _answer(exchange, read.ok.streamed, 0)


def _named_pipeline(bundle: Bundle, name: str) -> Pipeline | None:
    return bundle.pipelines.get(name)


def _plain_call(bundle: Bundle, name: str) -> Pipeline | None:
    service = bundle.services.get(name)
    if service is None or service.kind != StageKind.PLAIN:
        return None
    call = Stage(name="call", service=name)
    return Pipeline(stages=(call,), deadline=PLAIN_DEADLINE_SECONDS)


def _new_exchange(
    face: CallersFace, name: str, pipeline: Pipeline, asked: CallerRequest
) -> Exchange:
    now = anyio.current_time()
    seconds = asked.deadline_seconds or pipeline.deadline
    return Exchange(
        request_id=face.new_request_id(),
        workspace=asked.workspace,
        pipeline=name,
        input=asked.input,
        started=now,
        deadline=now + seconds,
        priority=asked.priority,
        idempotency_key=asked.idempotency_key,
    )


def _find(face: CallersFace, request: Request) -> Result[Exchange, Failure]:
    workspace = authenticate(request, face.in_force)
    if workspace.is_error():
        return Error(workspace.error)
    request_id = request.path_params["request_id"]
    exchange = face.requests.by_id.get(request_id)
    if exchange is None or exchange.workspace != workspace.ok:
        detail = f"request {request_id!r:.80} is not known here"
        return Error(Failure(kind=FailureKind.UNKNOWN_REQUEST, detail=detail))
    return Ok(exchange)


async def _answer(exchange: Exchange, streamed: bool, first: int) -> Response:
    if streamed:
        return StreamingResponse(
            streamed_events(exchange, first),
            media_type="text/event-stream",
            headers={"x-request-id": exchange.request_id, "cache-control": "no-store"},
        )
    await exchange.wait_end()
    return exchange_response(exchange)
