"""Choose the endpoint of a request without a streamed response."""

import random
from collections.abc import Collection, Iterable

from currantdyke.catalog import Endpoint
from currantdyke.forward.health import HealthTable

__all__ = ["choose_endpoint"]

# Random cost that distributes calls over endpoints of similar latency and load.
RANDOM_COST = 0.02
# Calls to another zone have a higher latency, and their traffic is billed.
CROSS_ZONE_COST = 0.01


def choose_endpoint(
    endpoints: Iterable[Endpoint],
    *,
    health: HealthTable,
    availability_zone: str,
    excluded: Collection[str],
    now: float,
    random_source: random.Random,
) -> Endpoint | None:
    """Return the endpoint with the lowest cost for a call.

    Endpoints that recently were unreachable or had no room are used only if there is
    no other.

    Parameters
    ----------
    excluded : collection of str
        Instances that were already tried for this request.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Endpoint or None
        None if all endpoints are excluded.
    """
    best = None
    for endpoint in endpoints:
        if endpoint.instance in excluded:
            continue
        state = health.of(endpoint.instance)
        cost = state.cost(endpoint.slots, now) + RANDOM_COST * random_source.random()
        if endpoint.availability_zone != availability_zone:
            cost += CROSS_ZONE_COST
        rank = (state.avoid_until > now, cost)
        if best is None or rank < best[0]:
            best = (rank, endpoint)
    return None if best is None else best[1]
