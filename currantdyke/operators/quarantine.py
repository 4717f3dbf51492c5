"""Routes of the operators' API that list suspected requests and lift quarantine."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.quarantine import Quarantine

__all__ = ["quarantine_routes"]


def quarantine_routes(quarantine: Quarantine) -> list[Route]:
    """Return the routes of the operators' API for quarantine."""

    async def list_suspects(request: Request) -> Response:
        return _json_response({"suspects": quarantine.list_records()})

    async def lift_quarantine(request: Request) -> Response:
        fingerprint = request.path_params["fingerprint"]
        if not quarantine.lift(fingerprint):
            detail = f"{fingerprint:.40} is not under suspicion; look at /quarantine"
            return _json_response({"error": detail}, 404)
        return _json_response({"lifted": fingerprint})

    return [
        Route("/quarantine", list_suspects, methods=["GET"]),
        Route("/quarantine/{fingerprint}", lift_quarantine, methods=["DELETE"]),
    ]


def _json_response(body, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, media_type="application/json")
