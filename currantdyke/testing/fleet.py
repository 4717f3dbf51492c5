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
from currantdyke.daemon.peers import start_peers
from currantdyke.daemon.serve import start_parts
from currantdyke.operators import operators_app
from currantdyke.platformlist import HttpPlatformList
from currantdyke.standins import (
    KeyValueStandIn,
    PlatformListStandIn,
    StageStandIn,
    stage_app,
)
from currantdyke.store import EtcdStore
from currantdyke.testing.builders import (
    CHAIN,
    WORKSPACE_KEY,
    build_bundle,
    build_settings,
)
from currantdyke.testing.network import MemoryNetwork
from currantdyke.testing.peers import MemoryPeers

__all__ = ["FleetInMemory", "fleet_in_memory"]

STORE_ADDRESS = "store:1"
LIST_ADDRESS = "platform:1"
PEER_SEEDS = ("entry-1:7946", "entry-2:7946", "entry-3:7946")
PEER_KEYS = ("key-between-daemons",)
SERVICES = (*(name for name, _ in CHAIN), "entry-desk")


@attrs.define(kw_only=True, eq=False)
class FleetInMemory:
    """Daemons, endpoints and the platform's store, all within reach of a test.

    Attributes
    ----------
    standins : dict
        The endpoints by name, such as ``"encoder-1"``; each is attached at
        ``<name>:1``.
    daemons : dict
        The daemons by name; callers reach each at ``<name>:8080``, operators at
        ``<name>:8081``.
    """

    network: MemoryNetwork
    key_value: KeyValueStandIn
    tasks: anyio.abc.TaskGroup
    seed: int
    standins: dict[str, StageStandIn] = attrs.field(factory=dict)
    urls: dict[str, list[str]] = attrs.field(factory=dict)
    daemons: dict[str, Daemon] = attrs.field(factory=dict)
    scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)
    peers: MemoryPeers | None = None
    platform_list: PlatformListStandIn = attrs.field(factory=PlatformListStandIn)

    def add_endpoint(self, service: str, **behaviour: Any) -> StageStandIn:
        """Attach one more endpoint of a service."""
        urls = self.urls.setdefault(service, [])
        standin = StageStandIn(name=f"{service}-{len(urls) + 1}", **behaviour)
        self.standins[standin.name] = standin
        urls.append(self.network.attach(f"{standin.name}:1", stage_app(standin)))
        return standin

    def store(self) -> EtcdStore:
        """Return an adapter to the fleet's store."""
        return EtcdStore(client=self.network.client(), url=f"http://{STORE_ADDRESS}")

    async def start_daemon(self, name: str, **settings: Any) -> Daemon:
        """Start a daemon; its life ends with ``kill_daemon`` or the fleet."""
        number = len(self.daemons) + 1
        daemon = Daemon(
            settings=build_settings(name=name, **(self._peer_settings() | settings)),
            store=self.store(),
            client=self.network.client(),
            random_source=random.Random(self.seed * 1000 + number),
            wall_clock=anyio.current_time,
            can_connect=self.network.can_connect,
            platform_list=HttpPlatformList(
                client=self.network.client(), url=f"http://{LIST_ADDRESS}/vms"
            ),
        )
        self.daemons[name] = daemon
        running = anyio.Event()
        self.tasks.start_soon(self._live, daemon, running)
        await running.wait()
        self.network.attach(f"{name}:8080", callers_app(daemon.callers_face()))
        self.network.attach(f"{name}:8081", operators_app(daemon.operators_face()))
        return daemon

    def kill_daemon(self, name: str) -> None:
        """End a daemon at once, with all that it runs."""
        if self.peers is not None:
            self.peers.close(f"{name}:7946")
        self.scopes.pop(name).cancel()
        self.network.kill(f"{name}:8080")
        self.network.kill(f"{name}:8081")

    def put_in_force(self, bundle: Bundle, version: int = 1) -> None:
        """Put a bundle in force on every daemon, without the store."""
        for daemon in self.daemons.values():
            daemon.in_force.accept(version, bundle)

    def caller(self, daemon: str, key: str = WORKSPACE_KEY) -> httpx.AsyncClient:
        """Return a caller's client to one daemon."""
        return self.network.client(
            base_url=f"http://{daemon}:8080",
            headers={"authorization": f"Bearer {key}"},
        )

    def _peer_settings(self) -> dict[str, Any]:
        if self.peers is None:
            return {}
        return {"peer_seeds": PEER_SEEDS, "peer_keys": PEER_KEYS}

    async def _live(self, daemon: Daemon, running: anyio.Event) -> None:
        with anyio.CancelScope() as scope:
            self.scopes[daemon.settings.name] = scope
            async with anyio.create_task_group() as tasks:
                start_parts(daemon, tasks)
                self._start_peers(daemon, tasks)
                running.set()

    def _start_peers(self, daemon: Daemon, tasks: anyio.abc.TaskGroup) -> None:
        if self.peers is None:
            return
        name = daemon.settings.name
        transport = self.peers.open(f"{name}:7946")
        start_peers(daemon, transport, f"http://{name}:8080", tasks)


@contextlib.asynccontextmanager
async def fleet_in_memory(
    *,
    daemons: int = 1,
    endpoints: int = 1,
    seed: int = 1,
    bundle: dict[str, Any] | None = None,
    peers: bool = False,
) -> AsyncIterator[FleetInMemory]:
    """Run a fleet with a bundle in force; everything ends with the block.

    Parameters
    ----------
    daemons, endpoints : int
        Daemons, and endpoints of each service.
    seed : int
        Seed of every random choice.
    bundle : dict, optional
        Arguments of `build_bundle`.
    peers : bool
        Whether the daemons know each other, over a network in memory.
    """
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        key_value = KeyValueStandIn()
        network.attach(STORE_ADDRESS, key_value.app())
        fleet = FleetInMemory(
            network=network, key_value=key_value, tasks=tasks, seed=seed
        )
        network.attach(LIST_ADDRESS, fleet.platform_list.app())
        if peers:
            fleet.peers = MemoryPeers(tasks=tasks, seed=seed)
        for service in SERVICES:
            for _ in range(endpoints):
                fleet.add_endpoint(service)
        for number in range(daemons):
            await fleet.start_daemon(f"entry-{number + 1}")
        fleet.put_in_force(build_bundle(fleet.urls, **(bundle or {})))
        yield fleet
        tasks.cancel_scope.cancel()
