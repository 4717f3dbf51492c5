"""Simulation of daemons that follow the store over links of limited bandwidth.

It runs in virtual time. The frames between daemons are encoded and decoded as by
processes; the store sends values whole and in base64, like that of the platform.
"""

import contextlib
import math
from collections.abc import AsyncIterator, Iterator
from typing import Any
from unittest import mock

import anyio
import anyio.abc
import attrs
import msgspec

from currantdyke.core import Position
from currantdyke.directory import Directory, EndpointTable, Follower
from currantdyke.links import Link, LinkLostError, Peers, changes, peers
from currantdyke.links.changes import answer_changes
from currantdyke.links.link import LossReason
from currantdyke.platform.records import CONFIGURATION_KEY, DaemonEntry
from currantdyke.platform.store import (
    Change,
    HistoryGoneError,
    StoreUnavailableError,
)
from currantdyke.testing.gateways import bulk_routes, configuration, plain_route
from currantdyke.testing.stage_fleet import silent_log
from currantdyke.testing.throttle import CHUNK_BYTES, Bandwidth, ThrottledStream

__all__ = ["ChangeFleet", "SimulatedFollower"]

# 345 KB of JSON.
BULK_ROUTES = bulk_routes(1_760)
BASE64_FACTOR = 4 / 3
# Of an event, without its value.
EVENT_BYTES = 120
FAST_CORES, SLOW_CORES = 2.15, 0.36


@attrs.define(kw_only=True, eq=False)
class CountingBandwidth(Bandwidth):
    """A link that counts what crosses it.

    Attributes
    ----------
    bytes : int
        Bytes so far, in both directions.
    """

    bytes: int = 0

    def take(self, size: int) -> None:
        """Record that ``size`` bytes enter the link."""
        self.bytes += size
        super().take(size)


@attrs.define(kw_only=True, eq=False)
class MemoryStream(anyio.abc.ByteStream):
    """One end of a connection in memory.

    Attributes
    ----------
    unread : bytes
        The rest of what was taken from ``receiving``.
    """

    sending: Any
    receiving: Any
    unread: bytes = b""

    async def send(self, item: bytes) -> None:
        """Send bytes."""
        await self.sending.send(item)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receive what has arrived, of several small sends at once like a socket."""
        data = self.unread or await self.receiving.receive()
        with contextlib.suppress(anyio.WouldBlock, anyio.EndOfStream):
            while len(data) < max_bytes:
                data += self.receiving.receive_nowait()
        self.unread = data[max_bytes:]
        return data[:max_bytes]

    async def send_eof(self) -> None:
        """Close the sending direction."""
        self.sending.close()

    async def aclose(self) -> None:
        """Close both directions."""
        self.sending.close()
        self.receiving.close()


@attrs.define(kw_only=True, eq=False)
class SimulatedStore:
    """The store as one daemon reads it, over the daemon's link.

    Attributes
    ----------
    refuses : bool
        Whether it refuses this daemon.
    calls : int
        Number of calls of this daemon.
    lists : int
        Number of lists among them.
    """

    history: list[Change]
    bandwidth: CountingBandwidth
    refuses: bool = False
    answered_from: float = math.inf
    resumed: anyio.Event | None = None
    era: int = 0
    calls: int = 0
    lists: int = 0

    @property
    def answer_seconds(self) -> float:
        """Seconds since the head of an answer that is arriving; 0 if none is."""
        return max(0.0, anyio.current_time() - self.answered_from)

    @contextlib.contextmanager
    def pause_answer(self) -> Iterator[None]:
        """Send no more of an answer."""
        self.resumed = resumed = anyio.Event()
        try:
            yield
        finally:
            self.resumed = None
            resumed.set()

    async def list_all(self) -> tuple[list[Change], Position]:
        """Return the newest change of each item."""
        self.lists += 1
        newest = {change.key: change for change in self.history}
        return await self._send(list(newest.values()))

    async def watch(
        self, after: Position, wait: float
    ) -> tuple[list[Change], Position]:
        """Return all changes after a position."""
        end = anyio.current_time() + wait
        while self.history[-1].position <= after and anyio.current_time() < end:
            await anyio.sleep(0.01)
        if self.history[-1].era != after.era:
            self.calls += 1
            raise HistoryGoneError("another era")
        return await self._send([c for c in self.history if c.position > after])

    async def _send(self, sent: list[Change]) -> tuple[list[Change], Position]:
        self.calls += 1
        if self.refuses:
            raise StoreUnavailableError("status 429")
        position = self.history[-1].position
        size = sum(
            EVENT_BYTES + int(len(change.value or b"") * BASE64_FACTOR)
            for change in sent
        )
        self.answered_from = anyio.current_time()
        try:
            while size > 0:
                if self.resumed is not None:
                    await self.resumed.wait()
                await self.bandwidth.wait()
                self.bandwidth.take(min(size, CHUNK_BYTES))
                size -= CHUNK_BYTES
            await self.bandwidth.wait()
        finally:
            self.answered_from = math.inf
        return sent, position


@attrs.define(kw_only=True, eq=False)
class SimulatedFollower:
    """A daemon with its link."""

    entry: DaemonEntry
    bandwidth: CountingBandwidth
    directory: Directory
    store: SimulatedStore
    peers: Peers
    follower: Follower

    @property
    def version(self) -> int:
        """The version that is in force; 0 if there is none."""
        routes = self.directory.routes
        return 0 if routes is None else routes.catalog.version


@attrs.define(kw_only=True, eq=False)
class ChangeFleet:
    """Daemons of which some have fast links and processors, and so become relays.

    Attributes
    ----------
    daemons : dict of str to SimulatedFollower
        By IP.
    history : list of Change
        All changes of the store.
    era : int
        Of the changes that are written.
    messages : int
        Links' requests so far.
    seed : int
        Of the daemons' choices whom to ask.
    """

    tasks: anyio.abc.TaskGroup
    seed: int = 1
    history: list[Change] = attrs.field(factory=list)
    daemons: dict[str, SimulatedFollower] = attrs.field(factory=dict)
    era: int = 0
    messages: int = 0

    def put(self, key: str, document: object) -> None:
        """Write an item."""
        self._write(key, msgspec.json.encode(document))

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._write(key, None)

    def _write(self, key: str, value: bytes | None) -> None:
        revision = self.history[-1].revision + 1 if self.history else 1
        change = Change(key=key, value=value, revision=revision, era=self.era)
        self.history.append(change)

    def return_from_copy(self, revision: int) -> None:
        """Lose the changes after a revision, which begins another era."""
        self.era += 1
        self.history[:] = [
            attrs.evolve(change, era=self.era)
            for change in self.history
            if change.revision <= revision
        ]

    def configure(self, version: int, *, bulk: bool = True) -> None:
        """Write a version that differs little from other large or small ones."""
        routes = [plain_route(target_latency_ms=300 + version)]
        document = configuration(version, routes + (BULK_ROUTES if bulk else []))
        self.put(CONFIGURATION_KEY, document)

    def add_daemon(
        self, number: int, *, bytes_per_second: float, fast: bool
    ) -> SimulatedFollower:
        """Add a daemon, whose entry is in the store from then on."""
        entry = DaemonEntry(
            name=f"d-{number:03d}",
            ip=f"10.0.{number // 250}.{number % 250}",
            availability_zone="a",
            incarnation="first",
            cores=FAST_CORES if fast else SLOW_CORES,
        )
        self.put(f"daemons/{entry.name}", attrs.asdict(entry))
        log = silent_log()
        directory = Directory(
            log=log,
            clock=anyio.current_time,
            endpoints=EndpointTable(now=anyio.current_time),
        )
        bandwidth = CountingBandwidth(bytes_per_second=bytes_per_second)
        store: Any = SimulatedStore(history=self.history, bandwidth=bandwidth)
        daemon_peers = Peers(
            own=entry,
            # Tells `open_link` which daemon opens a link.
            port=number,
            seed_ips=(),
            directory=directory,
            log=log,
            handle_request=self._answerer(directory),
            handle_notification=lambda link, content: None,
            on_link_lost=lambda link: None,
            tasks=self.tasks,
        )
        daemon = self.daemons[entry.ip] = SimulatedFollower(
            entry=entry,
            bandwidth=bandwidth,
            directory=directory,
            store=store,
            peers=daemon_peers,
            follower=Follower(
                directory=directory,
                store=store,
                log=log,
                reads_per_second=2_000.0,
                heartbeat=1.2,
                ask_peer=daemon_peers.ask_changes,
                ask_peer_once=daemon_peers.ask_changes_once,
                ask_relay=daemon_peers.ask_relay,
                is_fetching=lambda: daemon_peers.fetcher.progressing,
                reads_itself=daemon_peers.reads_itself,
            ),
        )
        daemon_peers.changes.random_source.seed(f"{self.seed} {number}")
        daemon_peers.is_congested = daemon.follower.is_link_slow
        return daemon

    def start(self) -> None:
        """Start all daemons."""
        for daemon in self.daemons.values():
            self.tasks.start_soon(daemon.follower.run)
            self.tasks.start_soon(daemon.peers.fetcher.run)

    def occupy(self, daemon: SimulatedFollower, connections: int) -> None:
        """Let other connections use the link of a daemon as much as they can."""

        async def transfer() -> None:
            while True:
                await daemon.bandwidth.wait()
                daemon.bandwidth.take(CHUNK_BYTES)

        for _ in range(connections):
            self.tasks.start_soon(transfer)

    async def wait_for(self, version: int, *, seconds: float = 60.0) -> float:
        """Wait until a version is in force everywhere; return the seconds."""
        started = anyio.current_time()
        with anyio.move_on_after(seconds):
            while any(d.version < version for d in self.daemons.values()):
                await anyio.sleep(0.01)
            return anyio.current_time() - started
        return math.inf

    def bytes(self) -> list[int]:
        """Return what has crossed the link of each daemon so far."""
        return [daemon.bandwidth.bytes for daemon in self.daemons.values()]

    def _answerer(self, directory: Directory) -> Any:
        async def answer(link: Link, content: Any) -> Any:
            self.messages += 1
            return answer_changes(directory, content)

        return answer

    async def open_link(self, *, peer: str, port: int, **options: Any) -> Link:
        """Open a link in memory to the daemon with an IP."""
        target = self.daemons.get(peer)
        if target is None:
            raise LinkLostError(peer, reason=LossReason.NO_CONNECTION)
        opener = next(d for d in self.daemons.values() if d.peers.port == port)
        forth = anyio.create_memory_object_stream[bytes](math.inf)
        back = anyio.create_memory_object_stream[bytes](math.inf)
        near = MemoryStream(sending=forth[0], receiving=back[1])
        far = MemoryStream(sending=back[0], receiving=forth[1])
        self.tasks.start_soon(_link(opener.entry.ip, far, target).run)
        link = _link(peer, near, opener)
        link.is_congested = opener.peers.is_congested
        return link


def _link(peer: str, stream: MemoryStream, daemon: SimulatedFollower) -> Link:
    """Return a daemon's end of a link."""
    return Link(
        peer=peer,
        stream=ThrottledStream(stream=stream, bandwidth=daemon.bandwidth),
        handle_request=daemon.peers.handle_request,
        handle_notification=lambda link, content: None,
    )


@contextlib.asynccontextmanager
async def run_change_fleet(*, seed: int = 1) -> AsyncIterator[ChangeFleet]:
    """Run a fleet; the test adds the daemons."""
    async with anyio.create_task_group() as tasks:
        fleet = ChangeFleet(tasks=tasks, seed=seed)
        with (
            mock.patch.object(peers, "open_link", fleet.open_link),
            mock.patch.object(changes, "boot_time", anyio.current_time),
        ):
            yield fleet
        tasks.cancel_scope.cancel()
