"""One daemon's aggregate view of the endpoints of a service."""

import statistics
from collections.abc import Callable, Sequence

import xxhash

from currantdyke.endpoints import Endpoint

__all__ = ["Pool", "Pools"]

SUBSET_ENDPOINTS = 24
REFRESH_SECONDS = 0.2
SHARE_DECAY_FACTOR = 0.98
PRIOR_CALLS = 100.0
SLOW_RATIO = 1.6
MIN_WEIGHT = 0.02
PACE_EXPIRY_SECONDS = 10.0
FAILURES_TO_EJECT = 2
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
MAX_EJECTED_SHARE = 0.5


class Pool:
    """Endpoints of a service that one daemon uses, with their weights.

    Parameters
    ----------
    daemon : str
        The daemon's name, which determines the subset.
    endpoints : sequence of Endpoint
        All endpoints of the service.
    initial_share : float
        Assumed part of this daemon in all calls until load reports arrive.

    Attributes
    ----------
    share : float
        This daemon's part of all calls to the service, estimated from load reports.
    weights : dict
        Factor on the slots of an endpoint, by name: 1 up to ``SLOW_RATIO`` times the
        median pace, less for slower ones, and 1 again once the pace has expired; 1 if
        the pace is unknown.
    available : list of Endpoint
        Endpoints that are neither leaving nor ejected after failures; at most
        ``MAX_EJECTED_SHARE`` of those that are not leaving are ejected.
    preferred : dict
        Available endpoint that ranks first for a prefix, by the prefix's digest.
    load, slots : float
        Sums of the expected calls and of the weighted slots (at least 1) of the
        available endpoints at the last refresh.
    load_per_slot : float
        ``load`` divided by ``slots``.
    median_pace : float
        Lower median of the known paces; 0 if none is known.
    """

    def __init__(
        self, *, daemon: str, endpoints: Sequence[Endpoint], initial_share: float = 1.0
    ):
        self.source = endpoints
        self.endpoints = subset(daemon, endpoints)
        self.initial_share = initial_share
        self.share = initial_share
        self.own_calls_sum = 0.0
        self.all_calls_sum = 0.0
        self.weights: dict[str, float] = {}
        self.available: list[Endpoint] = list(self.endpoints)
        self.preferred: dict[int, Endpoint] = {}
        self.refreshed_at = -1.0
        self.load = 0.0
        self.slots = 1.0
        self.load_per_slot = 0.0
        self.median_pace = 0.0

    def refresh(self, now: float) -> None:
        """Recompute the weights and sums, at most every ``REFRESH_SECONDS``."""
        if 0.0 <= now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = now
        self._update_share()
        self._update_weights(now)
        not_leaving = [e for e in self.endpoints if not e.leaving]
        max_ejected = int(MAX_EJECTED_SHARE * len(not_leaving))
        ejected = sorted(
            (e for e in not_leaving if _is_ejected(e, now)),
            key=lambda e: -e.failures_in_row,
        )[:max_ejected]
        available = [e for e in not_leaving if e not in ejected]
        if available != self.available:
            self.available = available
            self.preferred.clear()
        loads = [e.expected_load(now, self.share) for e in self.available]
        self.load = sum(loads)
        weighted = (e.spec.slots * self.weights[e.name] for e in self.available)
        self.slots = max(1.0, sum(weighted))
        self.load_per_slot = self.load / self.slots

    def restricted_to(self, endpoints: Sequence[Endpoint], now: float) -> "Pool":
        """Return a pool of at most ``SUBSET_ENDPOINTS`` of these endpoints.

        Its share estimate starts from that of this pool.
        """
        pool = Pool(daemon="", endpoints=endpoints, initial_share=self.share)
        pool.own_calls_sum, pool.all_calls_sum = self.own_calls_sum, self.all_calls_sum
        pool.refresh(now)
        return pool

    def estimated_load(self, waiting: int) -> float:
        """Estimate the calls at available endpoints or waiting, over all daemons.

        Parameters
        ----------
        waiting : int
            Calls of this daemon that are admitted but not started; they are scaled
            up to all daemons.
        """
        return self.load + waiting / self.share

    def score(self, endpoint: Endpoint, now: float) -> float:
        """Return the load per weighted slot with one more call; lower is better."""
        load = endpoint.expected_load(now, self.share)
        weight = self.weights.get(endpoint.name, 1.0)
        return (load + 1.0) / (endpoint.spec.slots * weight)

    def _update_share(self) -> None:
        reporting = [e for e in self.endpoints if e.reported_load is not None]
        total = sum(e.reported_load or 0.0 for e in reporting)
        if total <= 0.0:
            return
        own = sum(e.in_flight for e in reporting)
        self.own_calls_sum = SHARE_DECAY_FACTOR * self.own_calls_sum + min(own, total)
        self.all_calls_sum = SHARE_DECAY_FACTOR * self.all_calls_sum + total
        prior = PRIOR_CALLS * self.initial_share
        self.share = (prior + self.own_calls_sum) / (PRIOR_CALLS + self.all_calls_sum)

    def _update_weights(self, now: float) -> None:
        paces = [e.pace for e in self.endpoints if e.pace is not None]
        median_pace = statistics.median_low(paces) if paces else 0.0
        self.median_pace = median_pace
        self.weights = {e.name: _weight(e, median_pace, now) for e in self.endpoints}


def _weight(endpoint: Endpoint, median_pace: float, now: float) -> float:
    if endpoint.pace is None or median_pace <= 0.0:
        return 1.0
    freshness = max(0.0, 1.0 - (now - endpoint.pace_measured_at) / PACE_EXPIRY_SECONDS)
    ratio = endpoint.pace / median_pace / SLOW_RATIO
    if ratio <= 1.0:
        return 1.0
    slow_weight = max(MIN_WEIGHT, ratio**-3)
    return max(slow_weight, 1.0 - freshness)


def _is_ejected(endpoint: Endpoint, now: float) -> bool:
    further_failures = endpoint.failures_in_row - FAILURES_TO_EJECT
    if further_failures < 0:
        return False
    ejection_seconds = min(
        MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**further_failures
    )
    return now - endpoint.failed_at < ejection_seconds


def subset(daemon: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints that a daemon uses, selected by rendezvous hashing."""
    if len(endpoints) <= SUBSET_ENDPOINTS:
        return list(endpoints)

    def rank(endpoint: Endpoint) -> int:
        return xxhash.xxh3_64_intdigest(f"{daemon} {endpoint.name}".encode())

    return sorted(endpoints, key=rank)[:SUBSET_ENDPOINTS]


class Pools:
    """Pools of one daemon by service.

    Parameters
    ----------
    daemon : str
        The daemon's name.
    count_daemons : callable
        Returns the number of daemons, which sets the initial share of a new pool.
    """

    def __init__(self, *, daemon: str, count_daemons: Callable[[], int] = lambda: 1):
        self.daemon = daemon
        self.count_daemons = count_daemons
        self.by_service: dict[str, Pool] = {}

    def find(self, service: str, endpoints: Sequence[Endpoint], now: float) -> Pool:
        """Return the up-to-date pool of a service."""
        pool = self.by_service.get(service)
        if pool is None or pool.source is not endpoints:
            share = pool.share if pool else 1.0 / max(1, self.count_daemons())
            pool = Pool(daemon=self.daemon, endpoints=endpoints, initial_share=share)
            self.by_service[service] = pool
        pool.refresh(now)
        return pool
