"""Submit, rejoin and cancel requests over HTTP."""

from collections.abc import Awaitable, Callable

import attrs
from absl import logging
from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.callers.answers import (
    answer,
    ended_response,
    failure_response,
)
from currantdyke.callers.face import CallersFace
from currantdyke.callers.headers import (
    authenticate,
    check_sizes,
    first_event,
    wait_seconds,
    wants_stream,
)
from currantdyke.callers.submit import named_pipeline, not_ready, plain_call, submit
from currantdyke.core import Failure, FailureKind, Outcome, parse_request_id
from currantdyke.requests import Exchange

__all__ = ["callers_app"]

Handler = Callable[[Request], Awaitable[Response]]


def callers_app(face: CallersFace) -> Starlette:
    """Return the callers' face as an ASGI application."""

    async def pipeline(request: Request) -> Response:
        return await submit(face, request, named_pipeline)

    async def service(request: Request) -> Response:
        return await submit(face, request, plain_call)

    async def rejoin(request: Request) -> Response:
        first = first_event(request)
        if first.is_error():
            return _of_known(first.error)
        found = _find(face, request)
        if found.is_error():
            return _of_known(found.error)
        if found.ok is None:
            return _of_known(_not_here(face, request))
        return await answer(
            found.ok,
            streamed=wants_stream(request),
            first=first.ok,
            wait_seconds=wait_seconds(request),
        )

    async def cancel(request: Request) -> Response:
        found = _find(face, request)
        if found.is_error():
            return _of_known(found.error)
        if found.ok is None:
            return _of_known(_not_here(face, request))
        found.ok.cancel()
        await found.ok.wait_end()
        return ended_response(found.ok, status=200)

    return Starlette(
        routes=[
            Route("/v1/pipelines/{name}", _bounded(pipeline), methods=["POST"]),
            Route("/v1/services/{name}", _bounded(service), methods=["POST"]),
            Route("/v1/requests/{request_id}", _bounded(rejoin), methods=["GET"]),
            Route("/v1/requests/{request_id}", _bounded(cancel), methods=["DELETE"]),
        ],
        exception_handlers={404: _no_such_path, 405: _no_such_path, 500: _broken},
    )


def _bounded(handler: Handler) -> Handler:
    async def handle(request: Request) -> Response:
        too_large = check_sizes(request.headers)
        if too_large is not None:
            return failure_response(too_large)
        return await handler(request)

    return handle


async def _no_such_path(request: Request, error: Exception) -> Response:
    detail = f"there is no {request.method:.10} {request.url.path!r:.80}"
    return failure_response(Failure(kind=FailureKind.NO_SUCH_PATH, detail=detail))


async def _broken(request: Request, error: Exception) -> Response:
    logging.error("callers' face: %r", error, exc_info=error)
    return failure_response(
        Failure(
            kind=FailureKind.INTERNAL,
            detail=f"an error of the daemon itself ({type(error).__name__})",
            outcome=Outcome.UNKNOWN,
        )
    )


def _of_known(failure: Failure) -> Response:
    """Return a failure to speak of a request that may have run."""
    return failure_response(attrs.evolve(failure, outcome=Outcome.UNKNOWN))


def _not_here(face: CallersFace, request: Request) -> Failure:
    """Return why a request is not in this daemon's table."""
    request_id = request.path_params["request_id"]
    parsed = parse_request_id(request_id)
    if parsed.is_error():
        return parsed.error
    number, mine = parsed.ok, face.identity
    if (number.daemon, number.incarnation) == (mine.name, mine.incarnation):
        detail = f"request {request_id!r:.80} is not known here"
        return Failure(kind=FailureKind.UNKNOWN_REQUEST, detail=detail)
    return Failure(
        kind=FailureKind.REQUEST_LOST,
        detail=f"request {request_id!r:.80} ran in another daemon or before a restart",
    )


def _find(face: CallersFace, request: Request) -> Result[Exchange | None, Failure]:
    """Return the caller's own request, None where it is not in the table."""
    if face.in_force.bundle is None:
        return Error(not_ready())
    workspace = authenticate(request, face.in_force)
    if workspace.is_error():
        return Error(workspace.error)
    request_id = request.path_params["request_id"]
    exchange = face.requests.by_id.get(request_id)
    if exchange is None or exchange.workspace != workspace.ok:
        return Ok(None)
    return Ok(exchange)
