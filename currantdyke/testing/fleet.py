"""A small fleet in one process, on the in-memory network."""

import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import anyio
import anyio.abc
import attrs
import httpx

from currantdyke.bundle import Bundle
from currantdyke.callers import callers_app
from currantdyke.daemon import Daemon
from currantdyke.daemon.serve import start_background_tasks
from currantdyke.operators import operators_app
from currantdyke.standins import StubEndpoint, stub_endpoint_app
from currantdyke.testing.builders import (
    CHAIN,
    WORKSPACE_KEY,
    build_bundle,
    build_settings,
)
from currantdyke.testing.network import MemoryNetwork

__all__ = ["FleetInMemory", "fleet_in_memory"]

SERVICES = (*(name for name, _ in CHAIN), "entry-desk")


@attrs.define(kw_only=True, eq=False)
class FleetInMemory:
    """Daemons and endpoints, with direct access for tests.

    Attributes
    ----------
    standins : dict
        The endpoints by name, such as ``"encoder-1"``; the address of each is
        ``<name>:1``.
    daemons : dict
        The daemons by name; each listens for callers at ``<name>:8080`` and for
        operators at ``<name>:8081``.
    """

    network: MemoryNetwork
    tasks: anyio.abc.TaskGroup
    seed: int
    standins: dict[str, StubEndpoint] = attrs.field(factory=dict)
    urls: dict[str, list[str]] = attrs.field(factory=dict)
    daemons: dict[str, Daemon] = attrs.field(factory=dict)
    scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)

    def add_endpoint(self, service: str, **behaviour: Any) -> StubEndpoint:
        """Add an endpoint of a service."""
        urls = self.urls.setdefault(service, [])
        standin = StubEndpoint(name=f"{service}-{len(urls) + 1}", **behaviour)
        self.standins[standin.name] = standin
        urls.append(
            self.network.attach(f"{standin.name}:1", stub_endpoint_app(standin))
        )
        return standin

    async def start_daemon(self, name: str, **settings: Any) -> Daemon:
        """Start a daemon, which runs until ``kill_daemon`` or the end of the fleet."""
        number = len(self.daemons) + 1
        daemon = Daemon(
            settings=build_settings(name=name, **settings),
            client=self.network.client(),
            random_source=random.Random(self.seed * 1000 + number),
            can_connect=self.network.can_connect,
        )
        self.daemons[name] = daemon
        started = anyio.Event()
        self.tasks.start_soon(self._run_daemon, daemon, started)
        await started.wait()
        self.network.attach(f"{name}:8080", callers_app(daemon.callers_context()))
        self.network.attach(f"{name}:8081", operators_app(daemon.operators_context()))
        return daemon

    def kill_daemon(self, name: str) -> None:
        """Cancel a daemon and its tasks at once, and break its open calls."""
        self.scopes.pop(name).cancel()
        self.network.kill(f"{name}:8080")
        self.network.kill(f"{name}:8081")

    def apply_bundle(self, bundle: Bundle, version: int = 1) -> None:
        """Apply a bundle on every daemon."""
        for daemon in self.daemons.values():
            daemon.active_bundle.activate(version, bundle)

    def caller(self, daemon: str, key: str = WORKSPACE_KEY) -> httpx.AsyncClient:
        """Return an HTTP client of a caller for one daemon."""
        return self.network.client(
            base_url=f"http://{daemon}:8080",
            headers={"authorization": f"Bearer {key}"},
        )

    async def _run_daemon(self, daemon: Daemon, started: anyio.Event) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[daemon.settings.name] = scope
            async with anyio.create_task_group() as tasks:
                start_background_tasks(daemon, tasks)
                started.set()


@contextlib.asynccontextmanager
async def fleet_in_memory(
    *,
    daemons: int = 1,
    endpoints: int = 1,
    seed: int = 1,
    bundle: dict[str, Any] | None = None,
) -> AsyncIterator[FleetInMemory]:
    """Run a fleet with a bundle in force until the end of the block.

    Parameters
    ----------
    daemons, endpoints : int
        Number of daemons, and number of endpoints of each service.
    seed : int
        Seed of every random choice.
    bundle : dict, optional
        Arguments of `build_bundle`.
    """
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        fleet = FleetInMemory(network=network, tasks=tasks, seed=seed)
        for service in SERVICES:
            for _ in range(endpoints):
                fleet.add_endpoint(service)
        for number in range(daemons):
            await fleet.start_daemon(f"entry-{number + 1}")
        fleet.apply_bundle(build_bundle(fleet.urls, **(bundle or {})))
        yield fleet
        tasks.cancel_scope.cancel()
