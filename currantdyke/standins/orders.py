"""A stand-in of an endpoint that takes orders, with or without fencing."""

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["OrderStandIn"]


@attrs.define(kw_only=True, eq=False)
class OrderStandIn:
    """One endpoint: what it holds and which orders it took.

    Attributes
    ----------
    checks_fencing : bool
        Whether it refuses an order with an old number.
    order_delay : float
        Seconds until an order takes effect.
    """

    checks_fencing: bool = True
    order_delay: float = 0.0
    models: list[str] = attrs.field(factory=list)
    fencing: int = 0
    taken: list[tuple[float, int, tuple[str, ...]]] = attrs.field(factory=list)

    def app(self) -> Starlette:
        """Return the HTTP face."""
        return Starlette(
            routes=[
                Route("/v1/placement", self._get, methods=["GET"]),
                Route("/v1/placement", self._put, methods=["PUT"]),
            ]
        )

    async def _get(self, request: Request) -> Response:
        return JSONResponse({"models": self.models, "fencing": self.fencing})

    async def _put(self, request: Request) -> Response:
        wanted = await request.json()
        await anyio.sleep(self.order_delay)
        if self.checks_fencing and wanted["fencing"] < self.fencing:
            return JSONResponse({"error": "old fencing number"}, status_code=409)
        self.fencing = max(self.fencing, wanted["fencing"])
        self.models = wanted["models"]
        self.taken.append((anyio.current_time(), wanted["fencing"], tuple(self.models)))
        return JSONResponse({"models": self.models, "fencing": self.fencing})
