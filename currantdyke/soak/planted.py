"""Run a gateway with a fault planted, to show that the soak finds it.

``python -m currantdyke.soak.planted NAME``
"""

import sys
from collections.abc import Callable
from typing import Any

import attrs

from currantdyke.directory import Directory
from currantdyke.directory.endpoints import EndpointTable
from currantdyke.forward import plain
from currantdyke.gateway.__main__ import main
from currantdyke.gateway.caller import CallerConnection
from currantdyke.gateway.daemon import GatewayDaemon
from currantdyke.platform import answers

__all__ = ["PLANTED"]


def _send_again() -> None:
    plain._may_go_on = lambda exchange, context: exchange.runs < 3


def _say_not_run() -> None:
    answers._status = lambda failure: 503


def _change_answers() -> None:
    write: Any = CallerConnection.write

    async def write_another(self: CallerConnection, data: bytes) -> None:
        await write(self, data[::-1])

    CallerConnection.write = write_another  # type: ignore[method-assign]


def _cut_on_stop() -> None:
    async def stop(self: GatewayDaemon) -> None:
        """End at once."""

    GatewayDaemon._stop = stop  # type: ignore[method-assign]


def _go_back() -> None:
    configured: Any = Directory._configured

    def configured_always(self: Directory, catalog, source: str) -> None:
        self.routes = None
        configured(self, catalog, source)

    Directory._configured = configured_always  # type: ignore[method-assign]


def _use_the_leaving() -> None:
    announce: Any = EndpointTable.announce

    def announce_as_ready(self: EndpointTable, endpoint) -> None:
        announce(self, attrs.evolve(endpoint, leaving=False))

    EndpointTable.announce = announce_as_ready  # type: ignore[method-assign]


# What is planted, by the promise that it breaks.
PLANTED: dict[str, Callable[[], None]] = {
    "once": _send_again,
    "not-run": _say_not_run,
    "own-answer": _change_answers,
    "shutdown": _cut_on_stop,
    "configuration": _go_back,
    "leaving": _use_the_leaving,
}


if __name__ == "__main__":
    PLANTED[sys.argv[1]]()
    sys.exit(main())
