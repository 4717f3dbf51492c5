"""Run a gateway whose connections share a link, and come from its own address.

``python -m currantdyke.soak.link IP BYTES_PER_SECOND CUT_FILE [PLANTED]``
"""

import pathlib
import sys
from collections.abc import Callable
from typing import Any

import anyio

from currantdyke.gateway.__main__ import main as run_gateway
from currantdyke.gateway.daemon import GatewayDaemon
from currantdyke.soak.planted import PLANTED
from currantdyke.testing.throttle import (
    Bandwidth,
    Cut,
    limit_bandwidth,
    throttle_connections,
)

__all__ = ["format_cut"]

POLL_INTERVAL_SECONDS = 0.05


def format_cut(cut: Cut, ports: set[int]) -> str:
    """Return the content of the file that cuts connections to some ports off."""
    return " ".join([cut.value, *map(str, sorted(ports))])


def _follow_cut_file(path: pathlib.Path, bandwidth: Bandwidth) -> None:
    """Have the gateway cut off as a file says while it runs."""
    tasks: Any = GatewayDaemon._background_tasks

    async def follow() -> None:
        last = ""
        while True:
            text = path.read_text() if path.exists() else ""
            if text != last:
                kind, *ports = text.split() or [""]
                cut = Cut(kind) if kind else None
                bandwidth.set_cut(cut, set(map(int, ports)))
                last = text
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def with_follow(self: GatewayDaemon) -> list[Callable]:
        return [*tasks(self), follow]

    GatewayDaemon._background_tasks = with_follow  # type: ignore[method-assign]


def main() -> int:
    """Run the gateway, with a planted fault if one is named; return its exit code."""
    ip, bytes_per_second, cut_file, *planted = sys.argv[1:]
    for name in planted:
        PLANTED[name]()
    bandwidth = Bandwidth(local_host=ip, bytes_per_second=float(bytes_per_second))
    _follow_cut_file(pathlib.Path(cut_file), bandwidth)
    with throttle_connections(), limit_bandwidth(bandwidth):
        return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
