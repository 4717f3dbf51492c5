"""Smoothed run times of stage calls by service, model and size."""

import collections

import attrs

__all__ = ["Estimate", "Estimates"]

SMOOTHING_FACTOR = 0.1
MAX_ENTRIES = 512
INITIAL_SPREAD_SHARE = 0.25


@attrs.define(kw_only=True)
class Estimate:
    """Mean and mean absolute deviation of a call's run time, without queueing.

    Examples
    --------
    >>> estimate = Estimate(seconds=1.0, mean_deviation=0.0)
    >>> estimate.observe(2.0)
    >>> estimate.seconds
    1.1
    """

    seconds: float
    mean_deviation: float

    def observe(self, seconds: float) -> None:
        """Update the estimate with the run time of one call in seconds."""
        difference = seconds - self.seconds
        self.seconds += SMOOTHING_FACTOR * difference
        self.mean_deviation += SMOOTHING_FACTOR * (
            abs(difference) - self.mean_deviation
        )


class Estimates:
    """Estimates by (service, model, size class); the oldest entry is evicted first."""

    def __init__(self):
        self.entries: collections.OrderedDict[tuple[str, str, int], Estimate] = (
            collections.OrderedDict()
        )

    def find(
        self, service: str, model: str, size: int, typical_seconds: float
    ) -> Estimate:
        """Return the estimate for a call, which starts from the typical time."""
        key = (service, model, size.bit_length())
        found = self.entries.get(key)
        if found is None:
            found = Estimate(
                seconds=typical_seconds,
                mean_deviation=INITIAL_SPREAD_SHARE * typical_seconds,
            )
            self.entries[key] = found
            if len(self.entries) > MAX_ENTRIES:
                self.entries.popitem(last=False)
        return found
