"""News that ride along with messages, each a bounded number of times."""

import math
from collections.abc import Callable

import attrs

from currantdyke.peers import Fact, Member

__all__ = ["Broadcasts", "transmit_limit"]

TRANSMITS_PER_DECADE = 4
MEMBER_BYTES = 56
FACT_BYTES = 56


def transmit_limit(members: int) -> int:
    """Return how often each daemon passes on one piece of news.

    Examples
    --------
    >>> transmit_limit(11), transmit_limit(490)
    (8, 12)
    """
    return TRANSMITS_PER_DECADE * math.ceil(math.log10(members + 1))


@attrs.define(kw_only=True, eq=False)
class Pending:
    """One piece of news and how often it was sent."""

    news: Member | Fact
    urgent: bool
    sent: int = 0


class Broadcasts:
    """The news that a daemon still passes on.

    A later piece about the same thing takes the place of the earlier one.

    Parameters
    ----------
    on_urgent : callable
        Called when there is news that should not wait for a probe.
    """

    def __init__(self, *, on_urgent: Callable[[], None]):
        self.on_urgent = on_urgent
        self.pending: dict[str, Pending] = {}
        self.urgent = 0

    def put(self, news: Member | Fact, *, urgent: bool = True) -> None:
        """Begin to pass on a piece of news."""
        self._remove(key_of(news))
        self.pending[key_of(news)] = Pending(news=news, urgent=urgent)
        self.urgent += urgent
        if urgent:
            self.on_urgent()

    def take(self, max_bytes: int, limit: int) -> list[Member | Fact]:
        """Return the least sent news that fit into ``max_bytes``."""
        taken: list[Member | Fact] = []
        room = max_bytes
        for item in sorted(self.pending.values(), key=lambda item: item.sent):
            size = size_of(item.news)
            if size > room:
                continue
            room -= size
            taken.append(item.news)
            item.sent += 1
            if item.sent >= limit:
                self._remove(key_of(item.news))
        return taken

    def _remove(self, key: str) -> None:
        removed = self.pending.pop(key, None)
        self.urgent -= removed.urgent if removed else 0


def key_of(news: Member | Fact) -> str:
    """Return what a piece of news is about."""
    if isinstance(news, Member):
        return f"member/{news.name}"
    return f"fact/{news.key}"


def size_of(news: Member | Fact) -> int:
    """Return about how many bytes a piece of news takes in a message."""
    if isinstance(news, Fact):
        return FACT_BYTES + len(news.key) + len(news.value) + len(news.origin)
    texts = (
        news.name,
        news.incarnation,
        news.address,
        news.availability_zone,
        news.region,
        news.url,
    )
    return MEMBER_BYTES + sum(map(len, texts))
