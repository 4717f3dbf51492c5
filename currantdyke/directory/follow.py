"""Keep the directory up to date from the store or from other daemons.

In a large fleet a few daemons, the relays, read the store and the others ask them.
While the store is unavailable, or its answer takes long to transfer, any peer is asked:
peers send differences between large values, which the store sends whole.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
import attrs

from currantdyke.core import Position
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory.directory import Directory
from currantdyke.directory.ranking import MAX_READERS
from currantdyke.directory.replica import ChangeSet
from currantdyke.platform.store import (
    Change,
    HistoryGoneError,
    StoreClient,
    StoreUnavailableError,
    WatchCutError,
)

__all__ = ["Follower"]

# Each heartbeat of an endpoint is a change, so a watch returns at once; this interval
# limits the number of calls. A draining endpoint is detected well within its drain time
# of 2 s.
MIN_READ_INTERVAL_SECONDS = 0.5
# Share of the store's read rate that the watches of all daemons together may use.
READ_RATE_SHARE = 0.4
# Items in a page of a list, at least.
PAGE_ITEMS = 500
# Longest wait of a watch, so that a dead connection is detected in one to two seconds.
WATCH_TIMEOUT_SECONDS = 0.5
# If the last answer of the store is at least this old, peers are asked; after a relay's
# answer of that age the store is read.
MAX_ANSWER_AGE_SECONDS = 1.2
PEER_POLL_SECONDS = 0.4
# For this long after the start, and after the store has returned from a copy, a peer is
# asked even if the store answers: the copy may lack a version which peers know.
FIRST_ANSWER_SECONDS = 2.0
# Interval of checks whether peers must be asked.
PEER_CHECK_SECONDS = 0.1
# Relays that are asked in one round; a relay that is behind may not know it yet.
MAX_RELAYS_ASKED = 2
# Peers that are asked in one round while a read of the store is paused, and those that
# may not answer in time: the read must go on if it is they who are stuck.
MAX_PEERS_ASKED = 3
MAX_PEERS_UNANSWERED = 2
# An answer of the store that arrives for longer than this is large for the link. Peers
# may bring what it contains sooner,
SLOW_ANSWER_SECONDS = 0.2
# and after that are asked first for this time.
PREFER_PEERS_SECONDS = 30.0
# A peer whose answer arrives without end must not keep the store from being read.
MAX_PAUSE_SECONDS = 2.0
# Interval of checks whether a value that a peer has offered has arrived.
FETCH_CHECK_SECONDS = 0.05
# An entry lapses three heartbeats after its last write, of which one may have passed
# when the store became unavailable.
LAPSE_HEARTBEATS = 2
# Interval between log lines about watches that the store has cut.
CUT_LOG_INTERVAL_SECONDS = 60.0
# Retry interval for an unavailable store in a large fleet; peers pass on the changes
# that other daemons receive.
STORE_RETRY_SECONDS = 1.5


@attrs.define(kw_only=True, eq=False)
class Follower:
    """Reads the store, directly or through a relay.

    Peers are asked if the last answer of the store is too old or arrives slowly, or the
    directory is not complete.

    Attributes
    ----------
    ask_peer : callable
        Returns the changes after a position from a peer, or None if it does not answer.
    ask_peer_once : callable
        The same if peers are not asked again soon; by default as `ask_peer`.
    ask_relay : callable
        The same from a relay, a daemon that reads the store for this one; None also if
        this daemon must read the store itself.
    is_fetching : callable
        Returns whether a large value is arriving from a peer.
    reads_itself : callable
        Returns whether this daemon reads the store, and has no relay to ask.
    list_at : float
        Until when relays are asked before all items are listed.
    answered_at : float
        Time at which the store last answered this daemon or the relay that it asked.
    lost_since : float or None
        Time of the first failed read since the store last answered; None if it answered
        the last read.
    relay_behind : bool
        Whether the relay that answered last was behind.
    heartbeat : float
        Interval at which endpoints write their entries, in seconds.
    watch_cut : bool
        Whether the store has cut the last watch; the next read does not wait, and shows
        whether the store is available.
    watches_cut : int
        Number of watches that the store has cut.
    watching : bool
        Whether only changes are read; if not, the next read lists all items.
    reading : CancelScope or None
        Of the last read of the store; cancelled if peers bring the same sooner.
    may_pause_read : bool
        Whether the read is paused when a peer is asked next; not after a pause in which
        peers did not answer in time.
    peers_first_until : float
        Until when peers are asked before the store is read, since its answers arrive
        slowly.
    has_peers : callable
        Returns whether there is a peer to ask.
    asking_since : float
        Time of the start, or at which the present era of the store was learned.
    heard : bool
        Whether a peer or a relay that knows it has told since then which versions
        exist.
    read_requested : anyio.Event
        Set to read the store without delay.
    """

    directory: Directory
    store: StoreClient
    log: DecisionLog
    reads_per_second: float
    heartbeat: float
    ask_peer: Callable[[Position], Awaitable[ChangeSet | None]]
    ask_relay: Callable[[Position], Awaitable[ChangeSet | None]]
    ask_peer_once: Callable[[Position], Awaitable[ChangeSet | None]] = attrs.field(
        default=attrs.Factory(lambda self: self.ask_peer, takes_self=True)
    )
    is_fetching: Callable[[], bool] = lambda: False
    reads_itself: Callable[[], bool] = lambda: True
    has_peers: Callable[[], bool] = lambda: True
    list_at: float = -1.0
    random_source: random.Random = attrs.field(factory=random.Random)
    answered_at: float = -1.0
    lost_since: float | None = None
    watch_cut: bool = False
    watches_cut: int = 0
    cut_logged_at: float = -CUT_LOG_INTERVAL_SECONDS
    watching: bool = False
    relay_behind: bool = False
    reading: anyio.CancelScope | None = None
    may_pause_read: bool = True
    peers_first_until: float = -1.0
    asking_since: float = -1.0
    heard: bool = False
    read_requested: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def store_age(self) -> float:
        """Time since the store last answered, in seconds."""
        return anyio.current_time() - self.answered_at

    def is_link_slow(self) -> bool:
        """Return whether answers of the store arrive slowly, or lately did."""
        now = anyio.current_time()
        return self._is_answer_slow() or now < self.peers_first_until

    async def run(self) -> None:
        """Follow until cancelled."""
        self.answered_at = anyio.current_time()
        self._ask_for_versions(self.directory.era)
        self.directory.on_era.append(self._ask_for_versions)
        self.directory.awaits_peers = self._may_lack_version
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_store)
            tasks.start_soon(self._follow_peers)

    def read_now(self) -> None:
        """Read the store without delay, since the known state may be stale."""
        self.read_requested.set()

    async def expire_entries(self) -> None:
        """Drop what was kept in case that it reappears, and did not in time.

        The timer service calls this, since a read may take as long as its transfer.
        """
        self.directory.drop_departed()
        for instance in self.directory.endpoints.drop_lapsed():
            self.log.write("endpoint_lapsed", endpoint=instance)

    async def _follow_store(self) -> None:
        while True:
            started = anyio.current_time()
            try:
                await self._read()
            except HistoryGoneError as error:
                self.log.write(
                    "store_history_gone",
                    after=self.directory.replica.revision,
                    reason=str(error),
                )
                if self.watching:
                    self.watching = False
                    self.list_at = started + self._list_delay()
                    self._record_answer()
                    continue
            except WatchCutError as error:
                self._record_cut(str(error))
            except StoreUnavailableError as error:
                self._record_outage(str(error))
            elapsed = anyio.current_time() - started
            with anyio.move_on_after(max(0.0, self._read_interval() - elapsed)):
                await self.read_requested.wait()
            self.read_requested = anyio.Event()

    async def _read(self) -> None:
        """Ask a relay for the changes; without a recent answer, read the store."""
        may_wait = anyio.current_time() < self.list_at
        if (self.watching or may_wait) and await self._ask_for_recent():
            self.watching = True
            return
        if may_wait:
            return
        asked_at = self.directory.clock()
        changes = None
        with anyio.CancelScope() as scope:
            self.reading = scope
            changes = await self._read_store()
        if changes is None:
            # A peer's state is at least as new as the answer that was arriving.
            self._record_answer(self.directory.age)
            self.watching = True
            return
        self._record_answer()
        age = self.directory.clock() - asked_at
        self.directory.apply(attrs.evolve(changes, age=age), source="store")
        self.watching = True

    async def _ask_for_recent(self) -> bool:
        """Ask relays or peers for the changes; return whether one was up to date."""
        for _ in range(MAX_RELAYS_ASKED):
            position = self._known_position()
            changes = await self.ask_relay(position)
            if changes is None and anyio.current_time() < self.peers_first_until:
                changes = await self.ask_peer(position)
            if changes is None:
                return False
            self._record_told(changes)
            is_recent = changes.age < MAX_ANSWER_AGE_SECONDS
            is_recent &= changes.era >= self.directory.era
            if is_recent:
                self._record_answer(changes.age)
            self._record_relay(changes.age, behind=not is_recent)
            self.directory.apply(changes, source="relay")
            if is_recent:
                return True
        return False

    async def _read_store(self) -> ChangeSet:
        # Peers may have told of an era that this connection has not seen yet.
        self.store.era = max(self.store.era, self.directory.era)
        if not self.watching:
            return _change_set(await self.store.list_all(), is_snapshot=True)
        after = self.directory.replica.position
        if self.watch_cut:
            return await self._read_after_cut(after)
        return _change_set(await self.store.watch(after, WATCH_TIMEOUT_SECONDS))

    async def _read_after_cut(self, after: Position) -> ChangeSet:
        """Read the changes after a position without a watch that waits.

        If the store answers, but ends even a watch that has changes to return, all
        items are listed.
        """
        position = await self.store.read_position()
        if position == after:
            answer = _change_set(([], position))
        else:
            try:
                answer = _change_set(await self.store.watch(after, 0.0))
            except WatchCutError as error:
                self._record_cut(str(error))
                answer = _change_set(await self.store.list_all(), is_snapshot=True)
        self.watch_cut = False
        return answer

    def _list_delay(self) -> float:
        """Return the seconds for which relays are asked before all items are listed.

        All daemons may learn at once that the history is gone.
        """
        if self.reads_itself():
            return 0.0
        pages = 1 + len(self.directory.replica.items) // PAGE_ITEMS
        calls = pages * len(self.directory.daemons)
        spread = calls / (self.reads_per_second * READ_RATE_SHARE)
        return self.random_source.uniform(0.0, spread)

    def _read_interval(self) -> float:
        if self.lost_since is not None and len(self.directory.daemons) > MAX_READERS:
            return STORE_RETRY_SECONDS
        readers = min(MAX_READERS, len(self.directory.daemons))
        return max(
            MIN_READ_INTERVAL_SECONDS,
            readers / (self.reads_per_second * READ_RATE_SHARE),
        )

    def _record_answer(self, age: float = 0.0) -> None:
        self.answered_at = max(self.answered_at, anyio.current_time() - age)
        if self.lost_since is None:
            return
        outage = max(0.0, self.answered_at - self.lost_since)
        self._start_grace_period(age)
        self.lost_since = None
        self.log.write(
            "store_regained",
            seconds_away=round(outage, 3),
            grace_period=round(self.directory.endpoints.grace_period_left(), 3),
        )

    def _start_grace_period(self, age: float) -> None:
        """Start the grace period if entries may have lapsed in a store outage.

        They may if neither this daemon nor one that told it has read the store for as
        long as it takes them to. Endpoints that could write meanwhile have done so.

        Parameters
        ----------
        age : float
            Of the state that is known after the outage, in seconds.
        """
        if self.lost_since is None:
            return
        seconds_unread = self.directory.age - age
        if seconds_unread >= LAPSE_HEARTBEATS * self.heartbeat:
            self.directory.endpoints.start_grace_period()

    def _record_cut(self, reason: str) -> None:
        """Record that the store has cut a waiting watch, which it may at any time."""
        self.watch_cut = True
        self.watches_cut += 1
        now = anyio.current_time()
        if now >= self.cut_logged_at + CUT_LOG_INTERVAL_SECONDS:
            self.cut_logged_at = now
            self.log.write("store_watch_cut", reason=reason, count=self.watches_cut)

    def _record_relay(self, age: float, *, behind: bool) -> None:
        """Log that a relay is behind, unless the one before was."""
        if behind and not self.relay_behind:
            self.log.write("relay_behind", failure=True, age=round(age, 3))
        self.relay_behind = behind

    def _record_outage(self, reason: str) -> None:
        if self.lost_since is not None:
            return
        self.lost_since = anyio.current_time()
        self.log.write(
            "store_lost", failure=True, reason=reason, age=round(self.store_age, 3)
        )

    async def _follow_peers(self) -> None:
        while True:
            await anyio.sleep(PEER_CHECK_SECONDS)
            if not self._needs_peers():
                continue
            if self._is_answer_slow() and self.may_pause_read:
                # On a full link, neither the peer's answer nor a sign of its life
                # would arrive in time beside the answer of the store.
                self.may_pause_read = False
                with (
                    self.store.pause_answer(),
                    anyio.move_on_after(MAX_PAUSE_SECONDS),
                ):
                    self.may_pause_read = await self._follow_peers_at_once()
            else:
                await self._ask_peer()
                self.may_pause_read = True
            self._end_overtaken_read()
            await anyio.sleep(PEER_POLL_SECONDS - PEER_CHECK_SECONDS)

    async def _follow_peers_at_once(self) -> bool:
        """Ask peers until they have brought as much as the answer of the store.

        Returns
        -------
        bool
            False if two did not answer in time.
        """
        unanswered = 0
        for _ in range(MAX_PEERS_ASKED):
            if not await self._ask_peer():
                unanswered += 1
                if unanswered == MAX_PEERS_UNANSWERED:
                    return False
                continue
            while self.is_fetching():
                await anyio.sleep(FETCH_CHECK_SECONDS)
            if self._is_overtaken():
                break
        return True

    async def _ask_peer(self) -> bool:
        """Apply the changes that a peer knows; return whether one answered."""
        ask = self.ask_peer if self._lacks_changes() else self.ask_peer_once
        changes = await ask(self._known_position())
        if changes is None:
            return False
        if changes.newest is None and not self._lacks_changes():
            # The store answers; after the position of this peer, a read of the store
            # would not show which configurations were written up to it.
            return True
        self._record_told(changes)
        if changes.position >= self.directory.replica.position:
            self._start_grace_period(changes.age)
        new = self.directory.apply(changes, source="peer")
        if new:
            self.log.write(
                "followed_peer",
                changes=new,
                revision=changes.revision,
                age=round(changes.age, 3),
            )
        return True

    def _record_told(self, changes: ChangeSet) -> None:
        """Record an answer of a daemon that tells which configurations exist."""
        if changes.newest is not None:
            self.heard |= changes.has_heard
            self.directory.record_seek_answer()

    def _known_position(self) -> Position:
        """Return the position after which peers are asked for changes.

        The store may hold a configuration that can't be used; peers know the one
        before it.
        """
        if self.directory.complete:
            return self.directory.replica.position
        return Position()

    def _is_answer_slow(self) -> bool:
        return self.store.answer_seconds > SLOW_ANSWER_SECONDS

    def _needs_peers(self) -> bool:
        return (
            self._lacks_changes()
            or self._may_lack_version()
            or self.directory.seeks_after is not None
        )

    def _lacks_changes(self) -> bool:
        """Return whether peers may bring changes sooner than the store."""
        return (
            self.lost_since is not None
            or self.store_age >= MAX_ANSWER_AGE_SECONDS
            or self._is_answer_slow()
            or not self.directory.complete
        )

    def _ask_for_versions(self, era: int) -> None:
        """Ask a peer which versions exist, as the store may lack the newest ones."""
        self.asking_since = anyio.current_time()
        self.heard = False

    def _may_lack_version(self) -> bool:
        """Return whether nobody has told yet which versions exist."""
        asking = anyio.current_time() - self.asking_since < FIRST_ANSWER_SECONDS
        return asking and not self.heard and self.has_peers()

    def _is_overtaken(self) -> bool:
        """Return whether the answer that is arriving contains nothing new any more."""
        return (
            self.reading is not None
            and self._is_answer_slow()
            and self.directory.listed
            and self.directory.age <= self.store.answer_seconds
        )

    def _end_overtaken_read(self) -> None:
        if self._is_overtaken() and self.reading is not None:
            seconds = round(self.store.answer_seconds, 3)
            self.peers_first_until = anyio.current_time() + PREFER_PEERS_SECONDS
            self.log.write("store_read_overtaken", seconds=seconds)
            self.reading.cancel()


def _change_set(
    answer: tuple[list[Change], Position], *, is_snapshot: bool = False
) -> ChangeSet:
    """Return what the store answered as changes to apply."""
    changes, position = answer
    return ChangeSet(
        changes=tuple(changes),
        revision=position.revision,
        era=position.era,
        is_snapshot=is_snapshot,
    )
