"""Health, metrics and the time line over HTTP."""

from collections.abc import Callable

import attrs
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.bundle import BundleInForce
from currantdyke.events import Timeline
from currantdyke.metrics import Metrics

__all__ = ["OperatorsFace", "operators_app"]


@attrs.define(kw_only=True, eq=False)
class OperatorsFace:
    """What the face shows of its daemon."""

    metrics: Metrics
    timeline: Timeline
    in_force: BundleInForce
    is_ready: Callable[[], bool]
    routes: list[Route] = attrs.field(factory=list)


def operators_app(face: OperatorsFace) -> Starlette:
    """Return the operators' face as an ASGI application."""

    async def live(request: Request) -> Response:
        return _json({"live": True})

    async def ready(request: Request) -> Response:
        status = 200 if face.is_ready() else 503
        return _json({"ready": status == 200, "version": face.in_force.version}, status)

    async def metrics(request: Request) -> Response:
        return Response(face.metrics.exposition(), media_type="text/plain")

    async def timeline(request: Request) -> Response:
        wanted = request.query_params.get("request", "")
        events = face.timeline.of_request(wanted) if wanted else face.timeline.ring
        return _json([attrs.asdict(event) for event in events])

    return Starlette(
        routes=[
            Route("/live", live),
            Route("/ready", ready),
            Route("/metrics", metrics),
            Route("/timeline", timeline),
            *face.routes,
        ]
    )


def _json(body, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, media_type="application/json")
