"""Serve the stub endpoints of a file: ``python -m currantdyke.standins FILE``.

Writes the URL of each endpoint to standard output as one line of JSON. SIGTERM or
SIGINT stops all endpoints.
"""

import pathlib
import signal
import sys

import anyio
import attrs
import msgspec

from currantdyke.daemon.listen import open_listener, serve_http
from currantdyke.documents import check_document
from currantdyke.documents.validators import between, valid_name
from currantdyke.standins import StubEndpoint, stub_endpoint_app

__all__ = ["StubEndpointSettings", "StubEndpointsFile", "main"]

EXIT_INVALID = 2


@attrs.frozen(kw_only=True)
class StubEndpointSettings:
    """Port and behaviour of one stub endpoint."""

    name: str = attrs.field(validator=valid_name)
    port: int = attrs.field(default=0, validator=between(0, 65535))
    seconds: float = attrs.field(default=0.0, validator=between(0.0, 600.0, "seconds"))
    token_seconds: float = attrs.field(
        default=0.0, validator=between(0.0, 600.0, "seconds")
    )
    tokens: int = attrs.field(default=16, validator=between(1, 100_000))


@attrs.frozen(kw_only=True)
class StubEndpointsFile:
    """Contents of a file of stub endpoints."""

    address: str = "127.0.0.1"
    endpoints: tuple[StubEndpointSettings, ...] = ()


async def serve_stub_endpoints(settings: StubEndpointsFile) -> None:
    """Serve all stub endpoints of a file until SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        urls = {}
        for endpoint in settings.endpoints:
            listener = open_listener(settings.address, endpoint.port)
            urls[endpoint.name] = listener.url
            standin = StubEndpoint(
                name=endpoint.name,
                seconds=endpoint.seconds,
                token_seconds=endpoint.token_seconds,
                tokens=endpoint.tokens,
            )
            tasks.start_soon(serve_http, stub_endpoint_app(standin), listener, stop)
        print(msgspec.json.encode({"endpoints": urls}).decode(), flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                return


def main(path: str) -> int:
    """Serve the stub endpoints of a file; return the exit code."""
    checked = check_document(pathlib.Path(path).read_text(), StubEndpointsFile)
    if checked.is_error():
        for problem in checked.error:
            print(f"{path}: {problem}", file=sys.stderr)
        return EXIT_INVALID
    anyio.run(serve_stub_endpoints, checked.ok)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
