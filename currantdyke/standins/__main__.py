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
from currantdyke.documents.validators import between, name_text
from currantdyke.standins import StageStandIn, stage_app

__all__ = ["EndpointFile", "StandInsFile", "main"]

EXIT_INVALID = 2


@attrs.frozen(kw_only=True)
class EndpointFile:
    """Port and behaviour of one stub endpoint."""

    name: str = attrs.field(validator=name_text)
    port: int = attrs.field(default=0, validator=between(0, 65535))
    seconds: float = attrs.field(default=0.0, validator=between(0.0, 600.0, "seconds"))
    token_seconds: float = attrs.field(
        default=0.0, validator=between(0.0, 600.0, "seconds")
    )
    tokens: int = attrs.field(default=16, validator=between(1, 100_000))


@attrs.frozen(kw_only=True)
class StandInsFile:
    """Contents of a file of stub endpoints."""

    address: str = "127.0.0.1"
    endpoints: tuple[EndpointFile, ...] = ()


async def serve_stand_ins(settings: StandInsFile) -> None:
    """Serve all stub endpoints of a file until SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        urls = {}
        for endpoint in settings.endpoints:
            listener = open_listener(settings.address, endpoint.port)
            urls[endpoint.name] = listener.url
            standin = StageStandIn(
                name=endpoint.name,
                seconds=endpoint.seconds,
                token_seconds=endpoint.token_seconds,
                tokens=endpoint.tokens,
            )
            tasks.start_soon(serve_http, stage_app(standin), listener, stop)
        print(msgspec.json.encode({"endpoints": urls}).decode(), flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                return


def main(path: str) -> int:
    """Serve the stub endpoints of a file; return the exit code."""
    checked = check_document(pathlib.Path(path).read_text(), StandInsFile)
    if checked.is_error():
        for problem in checked.error:
            print(f"{path}: {problem}", file=sys.stderr)
        return EXIT_INVALID
    anyio.run(serve_stand_ins, checked.ok)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
