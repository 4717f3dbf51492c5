"""A stand-in of the platform's list of VMs, which lags."""

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["PlatformListStandIn"]


@attrs.define(kw_only=True)
class PlatformListStandIn:
    """The list with its history; what is served is as old as ``lag``.

    Attributes
    ----------
    lag : float
        Seconds by which the list is late.
    down : bool
        Answer every call with an error.
    """

    lag: float = 0.0
    down: bool = False
    calls: int = 0
    history: list[tuple[float, dict[str, str]]] = attrs.field(factory=list)

    def put(
        self, name: str, state: str, incarnation: str = "", peer_address: str = ""
    ) -> None:
        """Note a VM's state from now on."""
        vm = {
            "name": name,
            "state": state,
            "incarnation": incarnation,
            "peer_address": peer_address,
        }
        self.history.append((anyio.current_time(), vm))

    def app(self) -> Starlette:
        """Return the HTTP face."""
        return Starlette(routes=[Route("/vms", self._vms)])

    async def _vms(self, request: Request) -> Response:
        self.calls += 1
        if self.down:
            return Response(status_code=503)
        horizon = anyio.current_time() - self.lag
        seen = {vm["name"]: vm for at, vm in self.history if at <= horizon}
        return JSONResponse({"vms": list(seen.values())})
