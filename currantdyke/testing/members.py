"""Many daemons' memberships in one process, over the peers' network in memory."""

import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc
import attrs

from currantdyke.events import HybridClock, Timeline
from currantdyke.membership import Membership
from currantdyke.metrics import Metrics
from currantdyke.peers import Member, MemberStatus, MessageSeal
from currantdyke.testing.peers import MemoryPeers, MemoryTransport
from currantdyke.timers import TimerService

__all__ = ["MemberFleet", "MemoryFeed", "member_fleet"]

START_WALL_MICROSECONDS = 1_764_000_000_000_000
SEEDS = 3


class MemoryFeed:
    """A configuration that is a number and some bytes."""

    def __init__(self, *, update_bytes: int = 1_000):
        self.version = 0
        self.update_bytes = update_bytes
        self.listeners: list[Callable[[int], None]] = []

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with each version that comes into force."""
        self.listeners.append(callback)

    @property
    def next_chunk(self) -> int:
        """Return 0: updates come whole."""
        return 0

    def heard(self) -> None:
        """Note nothing."""

    def update_since(
        self, version: int, max_bytes: int, chunk: int | None = None
    ) -> bytes:
        """Return an update, or nothing."""
        if version >= self.version:
            return b""
        return b"%d " % self.version + bytes(self.update_bytes)

    def offer(self, update: bytes) -> bool:
        """Take an update; return whether a higher version came into force."""
        return self.put(int(update.split(b" ", 1)[0]))

    def put(self, version: int) -> bool:
        """Put a version in force if it is higher."""
        if version <= self.version:
            return False
        self.version = version
        for listener in self.listeners:
            listener(version)
        return True


@attrs.define(kw_only=True, eq=False)
class MemberNode:
    """One daemon's membership and what belongs to it."""

    membership: Membership
    transport: MemoryTransport
    feed: MemoryFeed
    metrics: Metrics
    scope: anyio.CancelScope | None = None


@attrs.define(kw_only=True, eq=False)
class MemberFleet:
    """Memberships by their daemons' names, ``entry-0`` and so on.

    Attributes
    ----------
    regions, zones : int
        Daemons are dealt out evenly over the regions and their zones.
    deaths : list of tuple
        Time, observer and name of each member that was taken for dead.
    """

    network: MemoryPeers
    tasks: anyio.abc.TaskGroup
    seed: int
    regions: int = 1
    zones: int = 4
    nodes: dict[str, MemberNode] = attrs.field(factory=dict)
    deaths: list[tuple[float, str, str]] = attrs.field(factory=list)
    lives: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    async def start(self, number: int, *, keys: tuple[str, ...] = ("key",)) -> None:
        """Start a daemon, or a new life of it."""
        name, address = f"entry-{number}", f"entry-{number}:7946"
        life = next(self.lives)
        clock = HybridClock(wall=self.wall)
        transport = self.network.open(address)
        feed, metrics = MemoryFeed(), Metrics()
        membership = Membership(
            me=Member(
                name=name,
                counter=self.wall() + life,
                incarnation=f"{life:012x}",
                address=address,
                availability_zone=f"zone-{number % (self.regions * self.zones)}",
                region=self.region_of(number),
                url=f"http://{name}:8080",
            ),
            transport=transport,
            seal=MessageSeal(keys=keys),
            feed=feed,
            timers=TimerService(random_source=random.Random(f"{self.seed}.{life}")),
            metrics=metrics,
            timeline=Timeline(daemon=name, clock=clock, capacity=100),
            random_source=random.Random(f"{self.seed}-{life}"),
            seeds=[f"entry-{seed}:7946" for seed in range(SEEDS)],
        )
        self.nodes[name] = MemberNode(
            membership=membership, transport=transport, feed=feed, metrics=metrics
        )
        self._watch_deaths(name, membership)
        running = anyio.Event()
        self.tasks.start_soon(self._live, self.nodes[name], running)
        await running.wait()

    def kill(self, name: str) -> None:
        """End a daemon at once."""
        node = self.nodes.pop(name)
        self.network.close(node.transport.address)
        assert node.scope is not None
        node.scope.cancel()

    def region_of(self, number: int) -> str:
        """Return the region of a daemon by its number."""
        return f"region-{number % self.regions}"

    def region_of_address(self, address: str) -> str:
        """Return the region of a daemon by its address."""
        return self.region_of(int(address.partition(":")[0].rpartition("-")[2]))

    def views(self) -> dict[str, set[str]]:
        """Return whom each daemon takes for alive, itself included."""
        return {
            name: {
                m.name
                for m in node.membership.live_members()
                if m.status is MemberStatus.ALIVE
            }
            for name, node in self.nodes.items()
        }

    def agree(self) -> bool:
        """Return whether every daemon takes exactly the running ones for alive."""
        return all(view == self.nodes.keys() for view in self.views().values())

    async def until(self, condition: Callable[[], bool], seconds: float) -> float:
        """Wait for a condition; return the seconds it took, or infinity."""
        started = anyio.current_time()
        while not condition():
            if anyio.current_time() - started > seconds:
                return float("inf")
            await anyio.sleep(0.05)
        return anyio.current_time() - started

    def wall(self) -> int:
        """Return virtual wall time in microseconds."""
        return START_WALL_MICROSECONDS + int(anyio.current_time() * 1e6)

    def false_deaths(self) -> list[tuple[float, str, str]]:
        """Return the deaths told of daemons that run."""
        return [death for death in self.deaths if death[2] in self.nodes]

    def _watch_deaths(self, observer: str, membership: Membership) -> None:
        changed = membership.table.changed

        def watch(before: Member | None, member: Member) -> None:
            changed(before, member)
            was = before.status if before else None
            if member.status is MemberStatus.DEAD and was is not MemberStatus.DEAD:
                self.deaths.append((anyio.current_time(), observer, member.name))

        membership.table.changed = watch

    async def _live(self, node: MemberNode, running: anyio.Event) -> None:
        with anyio.CancelScope() as node.scope:
            async with anyio.create_task_group() as tasks:
                node.membership.start(tasks)
                tasks.start_soon(node.membership.timers.run)
                running.set()


@contextlib.asynccontextmanager
async def member_fleet(
    daemons: int, *, seed: int = 1, regions: int = 1, zones: int = 4
) -> AsyncIterator[MemberFleet]:
    """Run daemons' memberships; everything ends with the block."""
    async with anyio.create_task_group() as tasks:
        network = MemoryPeers(tasks=tasks, seed=seed)
        fleet = MemberFleet(
            network=network, tasks=tasks, seed=seed, regions=regions, zones=zones
        )
        for number in range(daemons):
            await fleet.start(number)
        yield fleet
        tasks.cancel_scope.cancel()
