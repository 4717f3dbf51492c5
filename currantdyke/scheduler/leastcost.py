"""Decisions under overload: whose delay or refusal costs callers least."""

import math

import attrs

__all__ = [
    "Demand",
    "late_costs_others",
    "max_time_ratio",
    "memory_wait_seconds",
    "retry_time",
]

# Arrivals are averaged over about the time of one request, so that the end of a burst
# is noticed before its requests have ended.
DEMAND_SECONDS = 2.0
# Arrivals are taken to be spread over at least this time, about one call.
MIN_DEMAND_SECONDS = 0.3
# Largest admitted ratio of expected time to target, by rank: the most urgent requests
# are admitted if they would be slightly late, the least urgent only with time to spare.
TOLERANCE_BY_RANK = (1.15, 1.0, 0.85)
# The same under overload. The queues of the most urgent requests then stay as long as
# this allows: with a ratio of 1, half of them are slightly late.
OVERLOAD_TOLERANCE_BY_RANK = (0.88, 0.8, 0.6)
# Range of the utilization in which the tolerance of the most urgent rank decreases.
# Arrivals that fit exceed 1 now and then.
OVERLOAD_RANGE = (1.0, 1.5)
# The same for other ranks, by the utilization of the more urgent ones: above it, these
# leave no capacity.
GIVE_WAY_RANGE = (0.9, 1.1)
# Each rank gets this share of a service if it asks for it, and can be in time.
MIN_RANK_SHARE = 0.03
# Late requests are admitted below this ratio of the recent arrivals' work to capacity.
# Arrivals that just fit exceed 1 now and then.
MAX_LATE_UTILIZATION = 1.0
# Memory of an endpoint that is too small for the whole next stage stays free.
USABLE_MEMORY_SHARE = 0.8


@attrs.define(kw_only=True, eq=False)
class Demand:
    """Recent arrivals of work at one service, as a decaying average.

    Attributes
    ----------
    seconds_by_rank : dict of int to float
        Decayed sum of the seconds that all endpoints together need for the work.
    weight : float
        Decayed seconds that the sum covers.
    updated_at : float
        Monotonic time in seconds of the last arrival.
    """

    seconds_by_rank: dict[int, float] = attrs.field(factory=dict)
    weight: float = 0.0
    updated_at: float | None = None

    def record(self, rank: int, seconds: float, now: float) -> None:
        """Add the work of a request that has just arrived, admitted or not."""
        if self.updated_at is not None:
            decay = math.exp((self.updated_at - now) / DEMAND_SECONDS)
            self.weight = self.weight * decay + DEMAND_SECONDS * (1.0 - decay)
            for known in self.seconds_by_rank:
                self.seconds_by_rank[known] *= decay
        self.seconds_by_rank[rank] = self.seconds_by_rank.get(rank, 0.0) + seconds
        self.updated_at = now

    def own_utilization(self, rank: int) -> float:
        """Return the share of the capacity that arrivals of just this rank need."""
        return self.seconds_by_rank.get(rank, 0.0) / max(
            MIN_DEMAND_SECONDS, self.weight
        )

    def utilization(self, rank: int) -> float:
        """Return the share of the capacity that arrivals of a rank or above need."""
        total = sum(s for r, s in self.seconds_by_rank.items() if r <= rank)
        return total / max(MIN_DEMAND_SECONDS, self.weight)


def max_time_ratio(rank: int, *, utilization: float, urgent: float) -> float:
    """Return up to which ratio of expected time to target a request is admitted.

    Parameters
    ----------
    utilization : float
        Work of arrivals that are no less urgent, as a share of the capacity of the
        busiest service.
    urgent : float
        The same of arrivals that are more urgent.
    """
    index = min(rank, len(TOLERANCE_BY_RANK) - 1)
    usual, least = TOLERANCE_BY_RANK[index], OVERLOAD_TOLERANCE_BY_RANK[index]
    low, high = GIVE_WAY_RANGE if index else OVERLOAD_RANGE
    excess = ((urgent if index else utilization) - low) / (high - low)
    return usual + (least - usual) * min(1.0, max(0.0, excess))


def late_costs_others(utilization: float) -> bool:
    """Return whether serving a request late would make others late.

    That is so if its busiest service gets at least as much work as it can do from
    requests that are no less urgent: each late one then takes the place of another.
    Else, there is capacity for late requests after the others.
    """
    return utilization >= MAX_LATE_UTILIZATION


def memory_wait_seconds(
    *,
    needed_bytes: float,
    held_bytes: float,
    capacity_bytes: float,
    hold_seconds: float,
) -> float:
    """Return the seconds until there was memory for all results that are needed.

    Parameters
    ----------
    needed_bytes, held_bytes : float
        Bytes of the results that are to be made, and of those that exist.
    capacity_bytes : float
        The endpoints' memory; 0 if it is not limited.
    hold_seconds : float
        For how long a result occupies memory.
    """
    if capacity_bytes <= 0:
        return 0.0
    usable = USABLE_MEMORY_SHARE * capacity_bytes
    return max(0.0, hold_seconds * ((needed_bytes + held_bytes) / usable - 1.0))


def retry_time(*, earliest: float, latest: float, next_free: float) -> float:
    """Return when a refused request should be sent again.

    Retries are spread over the time from ``earliest`` to ``latest``. Under lasting
    overload they are sent at ``latest``, which differs as the requests' arrivals do.

    Parameters
    ----------
    next_free : float
        From when no retry is expected yet.
    """
    return min(latest, max(earliest, next_free))
