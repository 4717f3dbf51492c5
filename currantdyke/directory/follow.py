"""Keep the directory up to date from the store, or from other daemons.

In a large fleet a few daemons read the store and the others ask them. While the store
is away any peer is asked.
"""

from collections.abc import Awaitable, Callable

import anyio
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory.directory import Directory
from currantdyke.directory.ranking import MAX_READERS
from currantdyke.directory.replica import ChangeSet
from currantdyke.platform.store import (
    HistoryGoneError,
    StoreClient,
    StoreUnavailableError,
)

__all__ = ["Follower"]

# Each heartbeat of an endpoint is a change, so that a watch answers at once; the pace
# bounds the calls. A leaving endpoint is seen well within its drain time of 2 s.
MIN_PACE_SECONDS = 0.5
# Share of the store's reads that the watches of all daemons together may take.
READ_SHARE = 0.4
# Longest wait of a watch, so that a silent connection is found within a second or two.
WATCH_SECONDS = 0.5
# The store counts as lost after this long without an answer, and peers are asked.
STORE_LOST_SECONDS = 1.2
PEER_PACE_SECONDS = 0.4
# Daemons of a large fleet try a lost store this often; peers tell what others hear.
LOST_PACE_SECONDS = 1.5


@attrs.define(kw_only=True, eq=False)
class Follower:
    """Watches the store, and asks peers while the store does not answer.

    Attributes
    ----------
    ask_peer : callable
        Returns a peer's changes after a revision, or None if none answered.
    ask_relay : callable
        The same of a daemon that reads the store for this one, or None if this one is
        to read it itself.
    answered_at : float
        When the store last answered.
    lost_since : float or None
        When the store was found lost.
    """

    directory: Directory
    store: StoreClient
    log: DecisionLog
    reads_per_second: float
    ask_peer: Callable[[int], Awaitable[ChangeSet | None]]
    ask_relay: Callable[[int], Awaitable[ChangeSet | None]]
    answered_at: float = -1.0
    lost_since: float | None = None
    watching: bool = False
    hurried: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def age(self) -> float:
        """Seconds since the store last answered."""
        return anyio.current_time() - self.answered_at

    @property
    def settling(self) -> bool:
        """Whether the store returned a moment ago."""
        endpoints = self.directory.endpoints
        return endpoints.now() < endpoints.grace_ends

    async def run(self) -> None:
        """Follow until cancelled."""
        self.answered_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_store)
            tasks.start_soon(self._follow_peers)

    def hurry(self) -> None:
        """Read the store at once: what is known may be old."""
        self.hurried.set()

    def since(self, revision: int) -> ChangeSet:
        """Return what a peer asks for."""
        changes = self.directory.replica.since(revision)
        return attrs.evolve(changes, settling=self.settling, age=self.age)

    async def _follow_store(self) -> None:
        while True:
            started = anyio.current_time()
            try:
                changes = await self._read()
            except HistoryGoneError:
                self.log.write(
                    "store_history_gone", after=self.directory.replica.revision
                )
                self.watching = False
                self._answered()
                continue
            except StoreUnavailableError as error:
                self._lost(str(error))
            else:
                self._answered(changes.age)
                self.directory.apply(changes, source="store")
                self.watching = True
            self.directory.drop_departed()
            for instance in self.directory.endpoints.drop_lapsed():
                self.log.write("endpoint_lapsed", endpoint=instance)
            spent = anyio.current_time() - started
            with anyio.move_on_after(max(0.0, self._pace() - spent)):
                await self.hurried.wait()
            self.hurried = anyio.Event()

    async def _read(self) -> ChangeSet:
        """Read the store, or ask a daemon that does so."""
        if self.watching:
            changes = await self.ask_relay(self.directory.replica.revision)
            if changes is not None and changes.age < STORE_LOST_SECONDS:
                return changes
        return await self._read_store()

    async def _read_store(self) -> ChangeSet:
        if not self.watching:
            items, revision = await self.store.list_all()
            return ChangeSet(changes=tuple(items), revision=revision, whole=True)
        after = self.directory.replica.revision
        changes, revision = await self.store.watch(after, WATCH_SECONDS)
        return ChangeSet(changes=tuple(changes), revision=revision)

    def _pace(self) -> float:
        if self.lost_since is not None and len(self.directory.daemons) > MAX_READERS:
            return LOST_PACE_SECONDS
        readers = min(MAX_READERS, len(self.directory.daemons))
        return max(MIN_PACE_SECONDS, readers / (self.reads_per_second * READ_SHARE))

    def _answered(self, age: float = 0.0) -> None:
        self.answered_at = anyio.current_time() - age
        if self.lost_since is None:
            return
        away = max(0.0, self.answered_at - self.lost_since)
        self.lost_since = None
        self.directory.endpoints.store_returned()
        self.log.write("store_regained", seconds_away=round(away, 3))

    def _lost(self, reason: str) -> None:
        if self.lost_since is not None:
            return
        self.lost_since = anyio.current_time()
        self.log.write(
            "store_lost", failure=True, reason=reason, age=round(self.age, 3)
        )

    async def _follow_peers(self) -> None:
        while True:
            await anyio.sleep(PEER_PACE_SECONDS)
            if self.age < STORE_LOST_SECONDS and self.directory.complete:
                continue
            changes = await self.ask_peer(self.directory.replica.revision)
            if changes is not None:
                new = self.directory.apply(changes, source="peer")
                if new:
                    self.log.write(
                        "followed_peer", changes=new, revision=changes.revision
                    )
