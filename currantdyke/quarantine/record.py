"""What is known of one fingerprint, summed over the daemons."""

import attrs

from currantdyke.events import HybridTime

__all__ = ["CrashCount", "Suspicion"]

MOST_CRASHES = 3
MOST_ALONE = 2


@attrs.frozen(kw_only=True)
class CrashCount:
    """What one daemon saw of a fingerprint.

    Attributes
    ----------
    total : int
        Endpoints that died while they ran it.
    alone : int
        Of these, those that ran nothing else of the daemon.
    crowd : int
        How many fingerprints were in flight at the largest of these deaths.
    service : str
        The service of the last endpoint that died.
    """

    total: int = 0
    alone: int = 0
    crowd: int = 1
    service: str = ""

    def encode(self) -> str:
        """Return the count as a fact's value.

        Examples
        --------
        >>> count = CrashCount(total=2, alone=1, crowd=9, service="encoder")
        >>> CrashCount.decode(count.encode()) == count
        True
        """
        return f"{self.total},{self.alone},{self.crowd},{self.service}"

    @classmethod
    def decode(cls, value: str) -> "CrashCount":
        """Read what `encode` wrote; anything else counts as nothing."""
        fields = value.split(",", 3)
        if len(fields) != 4 or not all(field.isdecimal() for field in fields[:3]):
            return cls()
        total, alone, crowd = map(int, fields[:3])
        return cls(total=total, alone=alone, crowd=crowd, service=fields[3])


@attrs.define(kw_only=True)
class Suspicion:
    """One fingerprint.

    Attributes
    ----------
    counts : dict
        The count of each daemon, with the time at which it was stated.
    lifted : HybridTime
        Counts stated up to then are void.
    heard : float
        When the latest crash was heard of here.
    """

    fingerprint: str
    counts: dict[str, tuple[HybridTime, CrashCount]] = attrs.field(factory=dict)
    lifted: HybridTime = HybridTime(wall=0)
    heard: float = 0.0

    def valid(self) -> list[CrashCount]:
        """Return the counts that are not void."""
        return [count for at, count in self.counts.values() if at > self.lifted]

    def summed(self) -> CrashCount:
        """Return the sum over all daemons."""
        valid = self.valid()
        services = [count.service for count in valid if count.total]
        return CrashCount(
            total=sum(count.total for count in valid),
            alone=sum(count.alone for count in valid),
            crowd=max((count.crowd for count in valid), default=1),
            service=services[-1] if services else "",
        )

    def is_enough(self) -> bool:
        """Return whether the request is to be refused.

        Who was merely in flight when another crashed its endpoint is never
        refused for that: at least one crash must have been of it alone.
        """
        total = self.summed()
        if total.alone >= MOST_ALONE:
            return True
        return total.total >= MOST_CRASHES and total.alone >= 1
