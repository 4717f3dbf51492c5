"""What is known of one fingerprint."""

import attrs

__all__ = ["Suspicion"]

# Targets: at most three endpoints crash for one fingerprint, and a request that was
# merely in flight beside a crash is never refused.
MOST_CRASHES = 3
MOST_ALONE = 2


@attrs.define(kw_only=True)
class Suspicion:
    """The crashes of one fingerprint.

    Attributes
    ----------
    total : int
        Endpoints that died while they ran it.
    alone : int
        Of these, those that ran nothing else.
    crowd : int
        How many fingerprints were in flight at the largest of these deaths.
    service : str
        The service of the last endpoint that died.
    heard : float
        When the latest crash was counted.
    expires : float
        When the counts lapse.
    refused_until : float
        Until when copies are refused.
    """

    fingerprint: str
    total: int = 0
    alone: int = 0
    crowd: int = 1
    service: str = ""
    heard: float = float("-inf")
    expires: float = float("-inf")
    refused_until: float = float("-inf")

    def clear(self) -> None:
        """Take back the counts."""
        self.total = self.alone = 0
        self.crowd = 1
        self.service = ""

    def is_enough(self) -> bool:
        """Return whether the request is to be refused.

        Who was merely in flight when another crashed its endpoint is never
        refused for that: at least one crash must have been of it alone.
        """
        if self.alone >= MOST_ALONE:
            return True
        return self.total >= MOST_CRASHES and self.alone >= 1
