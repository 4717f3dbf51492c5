"""Run a daemon until it is stopped, then shut it down gracefully."""

import functools
from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import httpx
from absl import logging

from currantdyke.bundle.file import READ_INTERVAL_SECONDS
from currantdyke.callers import callers_app
from currantdyke.daemon.daemon import Daemon
from currantdyke.daemon.listen import open_listener, serve_http
from currantdyke.operators import operators_app
from currantdyke.settings import DaemonSettings
from currantdyke.stagecalls.pools import EndpointPools

__all__ = ["RunningDaemon", "drain", "serve", "start_background_tasks"]

FIRST_READ_DELAY_SECONDS = 0.0
EXPIRY_INTERVAL_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class RunningDaemon:
    """A running daemon and the base URLs of its HTTP APIs."""

    daemon: Daemon
    callers_url: str
    operators_url: str


async def serve(
    settings: DaemonSettings,
    stop: anyio.Event,
    *,
    on_started: Callable[[RunningDaemon], None] = lambda running: None,
) -> None:
    """Serve until ``stop`` is set and every request in flight has ended.

    Parameters
    ----------
    settings : DaemonSettings
        The daemon's settings.
    stop : anyio.Event
        Set to request shutdown, such as on SIGTERM or SIGINT.
    on_started : callable
        Called once with the daemon and its URLs, when both HTTP APIs listen.
    """
    pools = EndpointPools(connections=settings.endpoint_connections)
    async with httpx.AsyncClient(transport=pools) as client:
        await _run(Daemon(settings=settings, client=client), stop, on_started)


async def _run(
    daemon: Daemon, stop: anyio.Event, on_started: Callable[[RunningDaemon], None]
) -> None:
    settings = daemon.settings
    callers_listener = open_listener(settings.address, settings.callers_port)
    operators_listener = open_listener(settings.address, settings.operators_port)
    drained = anyio.Event()
    callers_closed = anyio.Event()
    async with anyio.create_task_group() as tasks:
        start_background_tasks(daemon, tasks)
        daemon.timers.every(
            READ_INTERVAL_SECONDS,
            daemon.bundle_file.read,
            name="read the bundle file",
            first_after=FIRST_READ_DELAY_SECONDS,
        )
        async with anyio.create_task_group() as operators_tasks:
            operators_asgi_app = operators_app(daemon.operators_context())
            operators_tasks.start_soon(
                serve_http, operators_asgi_app, operators_listener, callers_closed
            )
            async with anyio.create_task_group() as callers_tasks:
                callers_tasks.start_soon(
                    functools.partial(
                        serve_http,
                        callers_app(daemon.callers_context()),
                        callers_listener,
                        drained,
                        flush_seconds=daemon.flush_seconds,
                    )
                )
                running = RunningDaemon(
                    daemon=daemon,
                    callers_url=callers_listener.url,
                    operators_url=operators_listener.url,
                )
                on_started(running)
                await stop.wait()
                await drain(daemon)
                drained.set()
            callers_closed.set()
        tasks.cancel_scope.cancel()


def start_background_tasks(daemon: Daemon, tasks: anyio.abc.TaskGroup) -> None:
    """Start the background tasks of a daemon in a task group."""
    daemon.tasks = tasks
    daemon.timers.every(
        EXPIRY_INTERVAL_SECONDS,
        daemon.requests.remove_expired,
        name="expire finished requests",
    )
    daemon.timers.every(
        EXPIRY_INTERVAL_SECONDS,
        daemon.liveness.remove_expired,
        name="expire leaving marks",
    )
    daemon.timers.every(
        EXPIRY_INTERVAL_SECONDS,
        daemon.quarantine.remove_expired,
        name="expire quarantine suspicions",
    )
    tasks.start_soon(daemon.timers.run)


async def drain(daemon: Daemon) -> None:
    """Withdraw readiness, refuse new requests later, and wait for those in flight.

    New requests are accepted for another ``leave_seconds``.
    """
    daemon.readiness_withdrawn = True
    seconds = daemon.settings.leave_seconds
    logging.info(
        "readiness withdrawn; accepting new requests for another %g s", seconds
    )
    await anyio.sleep(seconds)
    daemon.draining = True
    logging.info("draining: %d requests in flight", daemon.requests.in_flight)
    await daemon.requests.wait_idle()
    logging.info("drained: no requests in flight")
