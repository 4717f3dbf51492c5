"""What a daemon says of quarantine to operators, and how they lift it."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.quarantine import Quarantine

__all__ = ["quarantine_routes"]


def quarantine_routes(quarantine: Quarantine) -> list[Route]:
    """Return the routes of the operators' face on quarantine."""

    async def listed(request: Request) -> Response:
        return _json({"suspects": quarantine.listed()})

    async def lift(request: Request) -> Response:
        fingerprint = request.path_params["fingerprint"]
        if not quarantine.lift(fingerprint):
            detail = f"{fingerprint:.40} is not under suspicion; look at /quarantine"
            return _json({"error": detail}, 404)
        return _json({"lifted": fingerprint})

    return [
        Route("/quarantine", listed, methods=["GET"]),
        Route("/quarantine/{fingerprint}", lift, methods=["DELETE"]),
    ]


def _json(body, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, media_type="application/json")
