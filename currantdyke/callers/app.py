"""Submit, rejoin and cancel requests over HTTP."""

from collections.abc import Awaitable, Callable

import attrs
from absl import logging
from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.callers.context import CallersContext
from currantdyke.callers.headers import (
    authenticate,
    check_header_sizes,
    first_event_number,
    preferred_wait_seconds,
    wants_stream,
)
from currantdyke.callers.responses import (
    ended_response,
    exchange_response,
    failure_response,
)
from currantdyke.callers.submit import (
    named_pipeline,
    not_ready_failure,
    plain_service_pipeline,
    submit,
)
from currantdyke.core import Failure, FailureKind, Outcome, parse_request_id
from currantdyke.requests import Exchange

__all__ = ["callers_app"]

Handler = Callable[[Request], Awaitable[Response]]


def callers_app(context: CallersContext) -> Starlette:
    """Return the callers' API as an ASGI application."""

    async def pipeline(request: Request) -> Response:
        return await submit(context, request, named_pipeline)

    async def service(request: Request) -> Response:
        return await submit(context, request, plain_service_pipeline)

    async def rejoin(request: Request) -> Response:
        first = first_event_number(request)
        if first.is_error():
            return _unknown_outcome_response(first.error)
        found = _find_exchange(context, request)
        if found.is_error():
            return _unknown_outcome_response(found.error)
        if found.ok is None:
            return _unknown_outcome_response(_missing_request_failure(context, request))
        return await exchange_response(
            found.ok,
            streamed=wants_stream(request),
            first=first.ok,
            wait_seconds=preferred_wait_seconds(request),
        )

    async def cancel(request: Request) -> Response:
        found = _find_exchange(context, request)
        if found.is_error():
            return _unknown_outcome_response(found.error)
        if found.ok is None:
            return _unknown_outcome_response(_missing_request_failure(context, request))
        found.ok.cancel()
        await found.ok.wait_until_ended()
        return ended_response(found.ok, status=200)

    return Starlette(
        routes=[
            Route(
                "/v1/pipelines/{name}",
                _with_header_size_check(pipeline),
                methods=["POST"],
            ),
            Route(
                "/v1/services/{name}",
                _with_header_size_check(service),
                methods=["POST"],
            ),
            Route(
                "/v1/requests/{request_id}",
                _with_header_size_check(rejoin),
                methods=["GET"],
            ),
            Route(
                "/v1/requests/{request_id}",
                _with_header_size_check(cancel),
                methods=["DELETE"],
            ),
        ],
        exception_handlers={
            404: _no_such_path,
            405: _no_such_path,
            500: _internal_error,
        },
    )


def _with_header_size_check(handler: Handler) -> Handler:
    async def handle(request: Request) -> Response:
        too_large = check_header_sizes(request.headers)
        if too_large is not None:
            return failure_response(too_large)
        return await handler(request)

    return handle


async def _no_such_path(request: Request, error: Exception) -> Response:
    detail = f"there is no {request.method:.10} {request.url.path!r:.80}"
    return failure_response(Failure(kind=FailureKind.NO_SUCH_PATH, detail=detail))


async def _internal_error(request: Request, error: Exception) -> Response:
    logging.error("unhandled error in the callers' API: %r", error, exc_info=error)
    return failure_response(
        Failure(
            kind=FailureKind.INTERNAL,
            detail=f"an error of the daemon itself ({type(error).__name__})",
            outcome=Outcome.UNKNOWN,
        )
    )


def _unknown_outcome_response(failure: Failure) -> Response:
    """Return the response for a failure about a request that may have run."""
    return failure_response(attrs.evolve(failure, outcome=Outcome.UNKNOWN))


def _missing_request_failure(context: CallersContext, request: Request) -> Failure:
    """Return the failure for a request that `_find_exchange` did not find.

    ``UNKNOWN_REQUEST`` if its id is malformed or names this incarnation of the daemon,
    else ``REQUEST_LOST``.
    """
    request_id = request.path_params["request_id"]
    parsed = parse_request_id(request_id)
    if parsed.is_error():
        return parsed.error
    parsed_id, identity = parsed.ok, context.identity
    if (parsed_id.daemon, parsed_id.incarnation) == (
        identity.name,
        identity.incarnation,
    ):
        detail = f"request {request_id!r:.80} is not known here"
        return Failure(kind=FailureKind.UNKNOWN_REQUEST, detail=detail)
    return Failure(
        kind=FailureKind.REQUEST_LOST,
        detail=f"request {request_id!r:.80} ran in another daemon or before a restart",
    )


def _find_exchange(
    context: CallersContext, request: Request
) -> Result[Exchange | None, Failure]:
    """Return the request with the id in the path, or None if not found.

    A request of another workspace is not found either.
    """
    if context.active_bundle.bundle is None:
        return Error(not_ready_failure())
    workspace = authenticate(request, context.active_bundle)
    if workspace.is_error():
        return Error(workspace.error)
    request_id = request.path_params["request_id"]
    exchange = context.requests.by_id.get(request_id)
    if exchange is None or exchange.workspace != workspace.ok:
        return Ok(None)
    return Ok(exchange)
