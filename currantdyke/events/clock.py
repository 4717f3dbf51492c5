"""Hybrid logical clock.

A timestamp is wall time with a counter.  An event caused by a message always sorts
after the event that sent it, whatever the offset between the wall clocks, provided
that the receiver observes the timestamp of the message.  Daemons do not send each
other timestamps: the order of events of two daemons depends on the offset between
their wall clocks.

References
----------
Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally
Distributed Databases", 2014.
"""

import time
from collections.abc import Callable

import attrs

__all__ = ["HybridClock", "HybridTime"]


@attrs.frozen(kw_only=True, order=True)
class HybridTime:
    """Hybrid logical timestamp: wall time in microseconds, then a counter."""

    wall: int
    count: int = 0

    def encode(self) -> str:
        """Return the timestamp as text.

        Examples
        --------
        >>> HybridTime(wall=5, count=2).encode()
        '5-2'
        """
        return f"{self.wall}-{self.count}"

    @classmethod
    def decode(cls, text: str) -> "HybridTime | None":
        """Parse the text that ``encode`` returns, or return None if it is malformed."""
        wall, _, count = text.partition("-")
        if not (wall.isdecimal() and count.isdecimal()):
            return None
        return cls(wall=int(wall), count=int(count))


def wall_microseconds() -> int:
    """Return the wall clock's time in microseconds."""
    return time.time_ns() // 1000


class HybridClock:
    """Hybrid logical clock of one process."""

    def __init__(self, *, wall: Callable[[], int] = wall_microseconds):
        self.wall = wall
        self.last = HybridTime(wall=0)

    def tick(self) -> HybridTime:
        """Return a timestamp later than all that were returned or observed before."""
        wall = self.wall()
        if wall > self.last.wall:
            self.last = HybridTime(wall=wall)
        else:
            self.last = HybridTime(wall=self.last.wall, count=self.last.count + 1)
        return self.last

    def observe(self, received: HybridTime) -> None:
        """Advance the clock to a timestamp received with a message."""
        if received > self.last:
            self.last = received
