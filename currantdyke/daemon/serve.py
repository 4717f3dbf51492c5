"""Run a daemon until it is told to stop, then shut it down whole."""

import functools
from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import httpx
from absl import logging

from currantdyke.bundle.file import READ_SECONDS
from currantdyke.callers import callers_app
from currantdyke.daemon.daemon import Daemon
from currantdyke.daemon.listen import open_listener, serve_http
from currantdyke.operators import operators_app
from currantdyke.settings import DaemonSettings
from currantdyke.stagecalls.pools import EndpointPools

__all__ = ["Ports", "drain", "serve", "start_parts"]

FIRST_READ_SECONDS = 0.0
FORGET_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class Ports:
    """Where a running daemon is reached."""

    daemon: Daemon
    callers_url: str
    operators_url: str


async def serve(
    settings: DaemonSettings,
    stop: anyio.Event,
    *,
    started: Callable[[Ports], None] = lambda ports: None,
) -> None:
    """Serve until ``stop`` is set and every request in flight has ended.

    Parameters
    ----------
    settings : DaemonSettings
        The daemon's settings.
    stop : anyio.Event
        Set on SIGTERM.
    started : callable
        Called once with the ports, when both faces listen.
    """
    pools = EndpointPools(connections=settings.endpoint_connections)
    async with httpx.AsyncClient(transport=pools) as client:
        await _run(Daemon(settings=settings, client=client), stop, started)


async def _run(
    daemon: Daemon, stop: anyio.Event, started: Callable[[Ports], None]
) -> None:
    settings = daemon.settings
    callers = open_listener(settings.address, settings.callers_port)
    operators = open_listener(settings.address, settings.operators_port)
    drained = anyio.Event()
    closed = anyio.Event()
    async with anyio.create_task_group() as tasks:
        start_parts(daemon, tasks)
        daemon.timers.every(
            READ_SECONDS,
            daemon.bundle_file.read,
            name="read the bundle",
            first_after=FIRST_READ_SECONDS,
        )
        async with anyio.create_task_group() as operators_face:
            operator_app = operators_app(daemon.operators_face())
            operators_face.start_soon(serve_http, operator_app, operators, closed)
            async with anyio.create_task_group() as callers_face:
                callers_face.start_soon(
                    functools.partial(
                        serve_http,
                        callers_app(daemon.callers_face()),
                        callers,
                        drained,
                        flush_seconds=daemon.flush_seconds,
                    )
                )
                ports = Ports(
                    daemon=daemon, callers_url=callers.url, operators_url=operators.url
                )
                started(ports)
                await stop.wait()
                await drain(daemon)
                drained.set()
            closed.set()
        tasks.cancel_scope.cancel()


def start_parts(daemon: Daemon, tasks: anyio.abc.TaskGroup) -> None:
    """Start what a daemon does on its own, in a task group."""
    daemon.tasks = tasks
    daemon.timers.every(
        FORGET_SECONDS, daemon.requests.forget_old, name="forget old requests"
    )
    daemon.timers.every(
        FORGET_SECONDS, daemon.liveness.forget_old, name="forget leaving marks"
    )
    daemon.timers.every(
        FORGET_SECONDS, daemon.quarantine.forget_old, name="forget suspicions"
    )
    tasks.start_soon(daemon.timers.run)


async def drain(daemon: Daemon) -> None:
    """Withdraw readiness, then refuse new requests and wait for those in flight."""
    daemon.leaving = True
    seconds = daemon.settings.leave_seconds
    logging.info("leaving: new requests are taken for %g s more", seconds)
    await anyio.sleep(seconds)
    daemon.draining = True
    logging.info("draining: %d requests in flight", daemon.requests.in_flight)
    await daemon.requests.wait_idle()
    logging.info("drained")
