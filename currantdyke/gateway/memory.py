"""One account of the memory that a process holds for its callers."""

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

import attrs

__all__ = ["Closable", "Holder", "MemoryAccount", "choose_to_close"]

# Holders of at most this many bytes, such as the usual requests, may use the reserve.
ORDINARY_BYTES = 131_072
# Part of the account that only they may use, so that large bodies don't displace them.
ORDINARY_SHARE = 0.125

# Closing a connection that holds less frees next to nothing. The gateway's refusals are
# smaller, so that they are written when memory is short.
MIN_CLOSED_BYTES = 4_096


class Holder(Protocol):
    """A connection for which memory is held.

    Attributes
    ----------
    number : int
        Rises with each connection that is accepted.
    held_bytes : int
        Set by the account only.
    """

    number: int
    held_bytes: int

    @property
    def close_cost(self) -> int | None:
        """How much closing it costs its caller; None if it must not be closed."""

    def close_early(self) -> None:
        """End what the memory is held for."""


class Closable(Protocol):
    """What the choice of a connection to close depends on."""

    number: int
    held_bytes: int

    @property
    def close_cost(self) -> int | None:
        """How much closing it costs its caller; None if it must not be closed."""


C = TypeVar("C", bound=Closable)


def choose_to_close(connections: Iterable[C]) -> C | None:
    """Return the connection to close: least cost, then largest, then newest."""
    chosen = None
    best: tuple[int, int, int] = (0, 0, 0)
    for connection in connections:
        cost = connection.close_cost
        if cost is None:
            continue
        key = (-cost, connection.held_bytes, connection.number)
        if chosen is None or key > best:
            chosen, best = connection, key
    return chosen


@attrs.define(kw_only=True, eq=False)
class MemoryAccount:
    """The bytes of bodies, answers and data read ahead of all callers' connections.

    Attributes
    ----------
    limit_bytes : float
        Above it, connections are closed.
    on_close : callable
        Called when a connection is closed for its memory.
    used_bytes : int
        Sum over the holders.
    holders : set
        Connections for which memory is held now.
    """

    limit_bytes: float
    on_close: Callable[[], None] = lambda: None
    used_bytes: int = 0
    holders: set[Holder] = attrs.field(factory=set)

    def hold(self, holder: Holder, total: int) -> bool:
        """Set what is held for a connection, and close others if memory is short.

        Returns
        -------
        bool
            Whether the total is within the account. The holder itself may be closed.
        """
        self._set(holder, total)
        limit = self.limit_bytes
        if total > ORDINARY_BYTES:
            limit -= ORDINARY_SHARE * limit
        while self.used_bytes > limit:
            victim = choose_to_close(
                entry for entry in self.holders if entry.held_bytes >= MIN_CLOSED_BYTES
            )
            if victim is None:
                return False
            self._set(victim, 0)
            victim.close_early()
            self.on_close()
            if victim is holder:
                return False
        return True

    def _set(self, holder: Holder, total: int) -> None:
        self.used_bytes += total - holder.held_bytes
        holder.held_bytes = total
        if total:
            self.holders.add(holder)
        else:
            self.holders.discard(holder)
