"""Health, metrics and the timeline over HTTP."""

from collections.abc import Callable

import attrs
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.bundle import ActiveBundle
from currantdyke.events import Timeline
from currantdyke.metrics import Metrics

__all__ = ["OperatorsContext", "operators_app"]


@attrs.define(kw_only=True, eq=False)
class OperatorsContext:
    """State and functions of the daemon that the operators' API uses."""

    metrics: Metrics
    timeline: Timeline
    active_bundle: ActiveBundle
    is_ready: Callable[[], bool]
    routes: list[Route] = attrs.field(factory=list)


def operators_app(context: OperatorsContext) -> Starlette:
    """Return the operators' API as an ASGI application."""

    async def live(request: Request) -> Response:
        return _json_response({"live": True})

    async def ready(request: Request) -> Response:
        status = 200 if context.is_ready() else 503
        return _json_response(
            {"ready": status == 200, "version": context.active_bundle.version}, status
        )

    async def metrics(request: Request) -> Response:
        return Response(context.metrics.exposition(), media_type="text/plain")

    async def timeline(request: Request) -> Response:
        request_id = request.query_params.get("request", "")
        events = (
            context.timeline.of_request(request_id)
            if request_id
            else context.timeline.ring
        )
        return _json_response([attrs.asdict(event) for event in events])

    return Starlette(
        routes=[
            Route("/live", live),
            Route("/ready", ready),
            Route("/metrics", metrics),
            Route("/timeline", timeline),
            *context.routes,
        ]
    )


def _json_response(body, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, media_type="application/json")
