"""A hybrid logical clock.

Wall time with a counter beside it: an event that follows from a message always
sorts after the event that sent it, however far the wall clocks differ.

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
    """A point on the time line: wall microseconds, then a counter."""

    wall: int
    count: int = 0

    def encode(self) -> str:
        """Return the time as text for a header.

        Examples
        --------
        >>> HybridTime(wall=5, count=2).encode()
        '5-2'
        """
        return f"{self.wall}-{self.count}"

    @classmethod
    def decode(cls, text: str) -> "HybridTime | None":
        """Read what ``encode`` wrote, or return None."""
        wall, _, count = text.partition("-")
        if not (wall.isdecimal() and count.isdecimal()):
            return None
        return cls(wall=int(wall), count=int(count))


def wall_microseconds() -> int:
    """Return the wall clock's time in microseconds."""
    return time.time_ns() // 1000


class HybridClock:
    """The clock of one process."""

    def __init__(self, *, wall: Callable[[], int] = wall_microseconds):
        self.wall = wall
        self.last = HybridTime(wall=0)

    def tick(self) -> HybridTime:
        """Return a time later than all that this clock has given or seen."""
        wall = self.wall()
        if wall > self.last.wall:
            self.last = HybridTime(wall=wall)
        else:
            self.last = HybridTime(wall=self.last.wall, count=self.last.count + 1)
        return self.last

    def observe(self, seen: HybridTime) -> None:
        """Move past a time that came with a message."""
        if seen > self.last:
            self.last = seen
