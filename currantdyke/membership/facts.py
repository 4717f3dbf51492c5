"""Small facts that all daemons should know for a while.

Merging is idempotent, commutative and associative: of each key the latest fact
counts, and of all keys the latest ``capacity`` are kept.
"""

import itertools
from collections.abc import Callable

import attrs
import sortedcontainers

from currantdyke.events import HybridClock, HybridTime
from currantdyke.peers import Fact

__all__ = ["FactStore", "is_background"]

DEFAULT_CAPACITY_FACTS = 4_096
MAX_KEY_CHARACTERS = 160
MAX_VALUE_CHARACTERS = 240
MAX_SECONDS = 86_400.0
MAX_AHEAD_MICROSECONDS = 3_600 * 1_000_000
BACKGROUND_PREFIX = "demand/"

Rank = tuple[HybridTime, str, str]


def is_background(fact: Fact) -> bool:
    """Return whether a fact changes all the time and may spread slowly."""
    return fact.key.startswith(BACKGROUND_PREFIX)


def rank_of(fact: Fact) -> Rank:
    """Return what orders the facts of one key."""
    return (fact.time, fact.origin, fact.value)


@attrs.frozen(kw_only=True)
class HeldFact:
    """A fact and the monotonic time at which it lapses here."""

    fact: Fact
    expires: float


class FactStore:
    """The facts that a daemon holds.

    Parameters
    ----------
    origin : str
        The name of this daemon.
    clock : HybridClock
        Orders facts over all daemons.
    now : callable
        Returns the monotonic time in seconds.
    capacity : int
        Facts kept; the oldest make room.

    Examples
    --------
    >>> store = FactStore(origin="entry-1", clock=HybridClock(), now=lambda: 0.0)
    >>> stated = store.state("leaving/encoder-1", "1", seconds=60.0)
    >>> store.merge(stated)
    False
    >>> store.get("leaving/encoder-1").value
    '1'
    """

    def __init__(
        self,
        *,
        origin: str,
        clock: HybridClock,
        now: Callable[[], float],
        capacity: int = DEFAULT_CAPACITY_FACTS,
    ):
        self.origin = origin
        self.clock = clock
        self.now = now
        self.capacity = capacity
        self.held: dict[str, HeldFact] = {}
        self.order = sortedcontainers.SortedDict()
        self.listeners: list[tuple[str, Callable[[Fact], None]]] = []

    def subscribe(self, prefix: str, listener: Callable[[Fact], None]) -> None:
        """Call ``listener`` with each new fact whose key begins with ``prefix``."""
        self.listeners.append((prefix, listener))

    def state(self, key: str, value: str, *, seconds: float) -> Fact:
        """State a fact of one's own; return it to be spread."""
        fact = Fact(
            key=key[:MAX_KEY_CHARACTERS],
            value=value[:MAX_VALUE_CHARACTERS],
            time=self.clock.tick(),
            origin=self.origin,
            remaining_seconds=min(seconds, MAX_SECONDS),
        )
        self.merge(fact)
        return fact

    def merge(self, fact: Fact) -> bool:
        """Take in a fact; return whether it is news here."""
        if not self._is_sound(fact):
            return False
        expires = self.now() + fact.remaining_seconds
        known = self.held.get(fact.key)
        if known is not None and rank_of(known.fact) >= rank_of(fact):
            if rank_of(known.fact) == rank_of(fact) and expires < known.expires:
                self.held[fact.key] = HeldFact(fact=known.fact, expires=expires)
            return False
        if known is not None:
            self._drop(fact.key)
        self.clock.observe(fact.time)
        self.held[fact.key] = HeldFact(fact=fact, expires=expires)
        self.order[(rank_of(fact), fact.key)] = fact.key
        self._make_room()
        if fact.key not in self.held:
            return False
        for prefix, listener in self.listeners:
            if fact.key.startswith(prefix):
                listener(fact)
        return True

    def get(self, key: str) -> Fact | None:
        """Return the fact of a key while it holds."""
        held = self.held.get(key)
        return self._current(held) if held else None

    def with_prefix(self, prefix: str) -> list[Fact]:
        """Return the facts that hold and whose keys begin with ``prefix``."""
        found = (h for key, h in self.held.items() if key.startswith(prefix))
        return [fact for fact in map(self._current, found) if fact is not None]

    def latest(self, count: int) -> list[Fact]:
        """Return at most so many of the facts that hold, the latest first."""
        keys = itertools.islice(reversed(self.order.values()), count)
        found = (self._current(self.held[key]) for key in keys)
        return [fact for fact in found if fact is not None]

    def forget_expired(self) -> None:
        """Drop the facts that hold no longer."""
        now = self.now()
        for key in [key for key, held in self.held.items() if held.expires <= now]:
            self._drop(key)

    def _is_sound(self, fact: Fact) -> bool:
        ahead = fact.time.wall - self.clock.wall()
        return (
            0.0 < fact.remaining_seconds <= MAX_SECONDS
            and len(fact.key) <= MAX_KEY_CHARACTERS
            and len(fact.value) <= MAX_VALUE_CHARACTERS
            and ahead < MAX_AHEAD_MICROSECONDS
        )

    def _current(self, held: HeldFact) -> Fact | None:
        remaining = held.expires - self.now()
        if remaining <= 0.0:
            return None
        return attrs.evolve(held.fact, remaining_seconds=remaining)

    def _drop(self, key: str) -> None:
        held = self.held.pop(key)
        del self.order[(rank_of(held.fact), key)]

    def _make_room(self) -> None:
        while len(self.held) > self.capacity:
            self._drop(self.order.peekitem(0)[1])
