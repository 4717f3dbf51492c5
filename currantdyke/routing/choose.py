"""Choose endpoints by load-bounded prefix affinity or the power of two choices."""

import functools
import random
from collections.abc import Collection, Sequence

import xxhash

from currantdyke.endpoints import Endpoint
from currantdyke.routing.pool import Pool

__all__ = ["choose_endpoint"]

OTHER_ZONE_FACTOR = 1.05
MAX_RANKED_PREFIXES = 4096
CANDIDATES = 2
BUSIER_THAN_MEAN = 1.1


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
        bound is raised if the mean load of the pool is high.
    """
    able = [e for e in pool.open if not e.leaving]
    fresh = [e for e in able if e.name not in tried] if tried else able
    fresh = fresh or able
    if not fresh:
        return None
    if len(fresh) == 1:
        return fresh[0]
    if prefix and affinity_bound > 0.0:
        near = _by_prefix(pool, fresh, prefix, affinity_bound, now)
        if near is not None:
            return near
    some = random_source.sample(fresh, min(CANDIDATES, len(fresh)))
    return min(some, key=lambda e: _score(pool, e, zone, now))


def _by_prefix(
    pool: Pool, able: Sequence[Endpoint], prefix: str, bound: float, now: float
) -> Endpoint | None:
    digest = xxhash.xxh3_64_intdigest(prefix.encode())
    limit = max(bound, BUSIER_THAN_MEAN * pool.mean_score)
    nearest = pool.nearest.get(digest)
    if nearest is None:
        nearest = min(pool.open, key=lambda e: rank(e.name, digest))
        if len(pool.nearest) >= MAX_RANKED_PREFIXES:
            pool.nearest.clear()
        pool.nearest[digest] = nearest
    if nearest in able and pool.score(nearest, now) <= limit:
        return nearest
    for endpoint in sorted(able, key=lambda e: rank(e.name, digest)):
        if pool.score(endpoint, now) <= limit:
            return endpoint
    return None


@functools.lru_cache(maxsize=MAX_RANKED_PREFIXES)
def rank(name: str, digest: int) -> int:
    """Return the rank of an endpoint for a prefix; identical on all daemons."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=digest)


def _score(pool: Pool, endpoint: Endpoint, zone: str, now: float) -> float:
    score = pool.score(endpoint, now)
    other = bool(zone) and endpoint.spec.availability_zone != zone
    return score * OTHER_ZONE_FACTOR if other else score
