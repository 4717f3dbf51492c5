"""Follow the head in the store: a few daemons watch, all poll now and then."""

import random
from collections.abc import Callable, Iterable

import anyio
import xxhash
from absl import logging

from currantdyke.bundle.change import Head
from currantdyke.bundle.feed import ConfigurationFeed, now_seconds
from currantdyke.bundle.stored import (
    DUTY,
    HEAD_KEY,
    decode_head,
    read_head,
    read_head_now,
    read_records,
    read_version,
)
from currantdyke.store import Store

__all__ = ["Follower", "choose_collector", "choose_watchers"]

POLL_SECONDS = 5.0
POLL_JITTER = 0.3
QUIET_SECONDS = 5.0
REGION_POLL_SECONDS = 1.0
WATCHERS_PER_REGION = 2
MAX_CATCH_UP_RECORDS = 16
REOPEN_SECONDS = 1.0


def choose_watchers(
    members: Iterable[tuple[str, str]], region: str, count: int = WATCHERS_PER_REGION
) -> list[str]:
    """Return the daemons of a region that watch the store, by rendezvous hashing.

    Parameters
    ----------
    members : iterable of (str, str)
        Names and regions of the live daemons.
    region : str
        The region to choose for.
    count : int
        How many watch.

    Examples
    --------
    >>> choose_watchers([("entry-1", "ng-west"), ("entry-2", "sk-west")], "sk-west")
    ['entry-2']
    """
    names = {name for name, where in members if where == region}
    ranked = sorted(names, key=lambda n: xxhash.xxh64_intdigest(f"watch/{n}".encode()))
    return ranked[:count]


def choose_collector(members: Iterable[tuple[str, str]]) -> str:
    """Return the one daemon that collects what is no longer used."""
    names = {name for name, _ in members}
    return min(names, key=lambda n: xxhash.xxh64_intdigest(f"collect/{n}".encode()))


class Follower:
    """Keeps a daemon's feed up with the head in the store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    feed : ConfigurationFeed
        Where versions go.
    name, region : str
        This daemon.
    live_members : callable, optional
        Returns names and regions of the live daemons. By default this daemon
        knows of itself alone, and watches.
    """

    def __init__(
        self,
        *,
        store: Store,
        feed: ConfigurationFeed,
        name: str,
        region: str,
        live_members: Callable[[], Iterable[tuple[str, str]]] | None = None,
        random_source: random.Random | None = None,
    ):
        self.store = store
        self.feed = feed
        self.name = name
        self.region = region
        self.live_members = live_members or (lambda: ((name, region),))
        self.random_source = random_source or random.Random()
        self.caught_up = False
        self.store_down = False
        self.revision = 0
        self.watching = anyio.Event()
        self.watch_scope = anyio.CancelScope()

    def is_watcher(self) -> bool:
        """Return whether this daemon is one of those that watch the store."""
        return self.name in choose_watchers(self.live_members(), self.region)

    def is_collector(self) -> bool:
        """Return whether this daemon collects parts that are no longer used."""
        return self.name == choose_collector(self.live_members())

    def is_ready(self) -> bool:
        """Return whether traffic may come.

        A version must be in force that is as high as the store's head; where the
        store does not answer, one from the peers will do.
        """
        if self.feed.version == 0:
            return False
        return self.caught_up or self.store_down

    async def poll(self) -> None:
        """Decide whether to watch, and look at the head where it is due."""
        watcher = self.is_watcher()
        self._set_watching(watcher)
        now = now_seconds()
        quiet = now - self.feed.last_heard >= QUIET_SECONDS
        if watcher or quiet or not self.caught_up or self._is_drawn():
            await self.look()

    async def look(self) -> None:
        """Read the head and take the version that it names.

        A plain read may show an old head. It cannot revert a version in force, but
        a daemon that holds nothing would serve by it, so the first look asks for
        the head as it is now.
        """
        read = read_head if self.caught_up else read_head_now
        found = await read(self.store)
        self.store_down = found.is_error()
        if found.is_error():
            return
        head, self.revision = found.ok
        if head is None or await self.take_head(head):
            self.caught_up = True

    async def take_head(self, head: Head) -> bool:
        """Take the version that a head names; return whether it is held now.

        An old head, as a stale read gives it, changes nothing.
        """
        if head.version <= self.feed.version:
            return True
        gap = head.version - self.feed.held.number
        if self.feed.held.number and gap <= MAX_CATCH_UP_RECORDS:
            records = await read_records(
                self.store, head, self.feed.held.number, MAX_CATCH_UP_RECORDS
            )
            if records.is_ok():
                self.feed.take_records(records.ok)
        if head.version > self.feed.version:
            whole = await read_version(self.store, head, self.feed.held)
            if head.version > self.feed.version:
                self.feed.take_whole(whole)
        if head.version > self.feed.version:
            return False
        logging.info("configuration version %d is in force", self.feed.version)
        return True

    async def run(self) -> None:
        """Watch the store while this daemon is a watcher, until cancelled."""
        while True:
            await self.watching.wait()
            with anyio.CancelScope() as self.watch_scope:
                await self._watch()
            await anyio.sleep(REOPEN_SECONDS * (0.5 + self.random_source.random()))

    async def _watch(self) -> None:
        await self.look()
        entries = self.store.watch(HEAD_KEY, self.revision + 1, duty=DUTY)
        async for entry in entries:
            head = decode_head(entry.value)
            if head.is_ok():
                await self.take_head(head.ok)

    def _is_drawn(self) -> bool:
        """Draw lots so that some daemon of the region looks about every second.

        It makes good a region whose watchers all fail at once, or are cut off, long
        before the others can know that they did.
        """
        members = sum(region == self.region for _, region in self.live_members())
        share = POLL_SECONDS / (REGION_POLL_SECONDS * max(1, members))
        return self.random_source.random() < share

    def _set_watching(self, watcher: bool) -> None:
        if watcher:
            self.watching.set()
        elif self.watching.is_set():
            self.watching = anyio.Event()
            self.watch_scope.cancel()
