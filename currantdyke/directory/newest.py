"""What is known of the newest configuration, whoever has its document."""

from collections.abc import Iterable

import attrs

from currantdyke.core import Position

__all__ = ["NewestConfiguration"]


@attrs.frozen(kw_only=True)
class NewestConfiguration:
    """The newest position and the highest version of configurations that exist.

    Attributes
    ----------
    position : Position
        Newest position at which a configuration is known to have been written, whether
        or not its document has arrived or can be used.
    version : int
        Highest version that is known; 0 before the first.

    Examples
    --------
    >>> known = NewestConfiguration(position=Position(1, 7), version=3)
    >>> known.merge(NewestConfiguration(position=Position(1, 9))).version
    3
    """

    position: Position = Position()
    version: int = 0

    def merge(self, other: "NewestConfiguration") -> "NewestConfiguration":
        """Return what is known from both."""
        if other.position <= self.position and other.version <= self.version:
            return self
        return NewestConfiguration(
            position=max(self.position, other.position),
            version=max(self.version, other.version),
        )

    def with_positions(self, positions: Iterable[Position]) -> "NewestConfiguration":
        """Return what is known once configurations were written at some positions."""
        newest = max(positions, default=self.position)
        return self.merge(NewestConfiguration(position=newest))

    def in_era(self, era: int) -> "NewestConfiguration":
        """Return the same of a daemon that names no era, whose revisions are of one."""
        return attrs.evolve(self, position=Position(era, self.position.revision))
