"""Route of the operators' API that reports the state of the configuration."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.bundle import BundleFile

__all__ = ["configuration_routes"]


def configuration_routes(file: BundleFile) -> list[Route]:
    """Return the routes of the operators' API for the configuration."""

    async def configuration(request: Request) -> Response:
        state = {
            "file": str(file.path),
            "version": file.active_bundle.version,
            "problems": file.problems,
        }
        return Response(msgspec.json.encode(state), media_type="application/json")

    return [Route("/configuration", configuration)]
