"""Choose endpoints by load-bounded prefix affinity or the power of two choices."""

import functools
import random
from collections.abc import Collection, Sequence

import xxhash

from currantdyke.endpoints import Endpoint
from currantdyke.routing.pool import Pool

__all__ = ["choose_endpoint"]

CROSS_ZONE_FACTOR = 1.05
MAX_CACHE_ENTRIES = 4096
RANDOM_CANDIDATES = 2
MAX_RATIO_TO_MEAN_LOAD = 1.1


def choose_endpoint(
    pool: Pool,
    *,
    now: float,
    random_source: random.Random,
    tried: Collection[str] = (),
    zone: str = "",
    prefix: str = "",
    affinity_bound: float = 0.0,
) -> Endpoint | None:
    """Return an endpoint that accepts new work, or None.

    Parameters
    ----------
    pool : Pool
        The endpoints of the service.
    now : float
        Monotonic time in seconds.
    random_source : random.Random
        Source of the random candidates.
    tried : collection of str
        Names of endpoints to avoid unless no others are left.
    zone : str
        The daemon's availability zone, which is slightly preferred.
    prefix : str
        Start of the prompt; empty for calls without a prefix cache.
    affinity_bound : float
        Load in calls per slot up to which an endpoint is chosen for its cache. The
        bound is at least ``MAX_RATIO_TO_MEAN_LOAD`` times the mean load per slot of the
        pool.
    """
    eligible = [e for e in pool.available if not e.leaving]
    untried = [e for e in eligible if e.name not in tried] if tried else eligible
    untried = untried or eligible
    if not untried:
        return None
    if len(untried) == 1:
        return untried[0]
    if prefix and affinity_bound > 0.0:
        preferred = _choose_by_prefix(pool, untried, prefix, affinity_bound, now)
        if preferred is not None:
            return preferred
    candidates = random_source.sample(untried, min(RANDOM_CANDIDATES, len(untried)))
    return min(candidates, key=lambda e: _score(pool, e, zone, now))


def _choose_by_prefix(
    pool: Pool, eligible: Sequence[Endpoint], prefix: str, bound: float, now: float
) -> Endpoint | None:
    digest = xxhash.xxh3_64_intdigest(prefix.encode())
    limit = max(bound, MAX_RATIO_TO_MEAN_LOAD * pool.load_per_slot)
    preferred = pool.preferred.get(digest)
    if preferred is None:
        preferred = min(pool.available, key=lambda e: rank(e.name, digest))
        if len(pool.preferred) >= MAX_CACHE_ENTRIES:
            pool.preferred.clear()
        pool.preferred[digest] = preferred
    if preferred in eligible and pool.score(preferred, now) <= limit:
        return preferred
    for endpoint in sorted(eligible, key=lambda e: rank(e.name, digest)):
        if pool.score(endpoint, now) <= limit:
            return endpoint
    return None


@functools.lru_cache(maxsize=MAX_CACHE_ENTRIES)
def rank(name: str, digest: int) -> int:
    """Return an endpoint's rank for a prefix, lowest first; the same on all daemons."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=digest)


def _score(pool: Pool, endpoint: Endpoint, zone: str, now: float) -> float:
    score = pool.score(endpoint, now)
    in_other_zone = bool(zone) and endpoint.spec.availability_zone != zone
    return score * CROSS_ZONE_FACTOR if in_other_zone else score
