"""Choose the endpoint of a request without a streamed response."""

import random
from collections.abc import Collection, Iterable

from currantdyke.catalog import Endpoint
from currantdyke.endpointloads.estimate import excess_others, relative_duration
from currantdyke.endpointloads.table import LoadTable
from currantdyke.forward.health import EndpointHealth, HealthTable

__all__ = ["choose_endpoint"]

# Random cost that distributes calls over endpoints of similar latency and load.
RANDOM_COST = 0.02
# Calls to another zone have a higher latency, and their traffic is billed.
CROSS_ZONE_COST = 0.01
# Endpoints that are compared by their current speed: the smallest number that allows a
# choice, which leaves the others for other daemons.
COMPARED_ENDPOINTS = 2


def choose_endpoint(
    endpoints: Iterable[Endpoint],
    *,
    health: HealthTable,
    availability_zone: str,
    excluded: Collection[str],
    now: float,
    random_source: random.Random,
    loads: LoadTable | None = None,
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
    loads : LoadTable, optional
        What endpoints say of their load.

    Returns
    -------
    Endpoint or None
        None if all endpoints are excluded.
    """
    candidates = [e for e in endpoints if e.instance not in excluded]
    if loads is not None:
        candidates = _limit_to_two(candidates, health, loads, now, random_source)
    best = None
    for endpoint in candidates:
        state = health.of(endpoint.instance)
        cost = _cost(endpoint, state, loads, now)
        cost += RANDOM_COST * random_source.random()
        if endpoint.availability_zone != availability_zone:
            cost += CROSS_ZONE_COST
        rank = (state.avoid_until > now, cost)
        if best is None or rank < best[0]:
            best = (rank, endpoint)
    return None if best is None else best[1]


def _limit_to_two(
    candidates: list[Endpoint],
    health: HealthTable,
    loads: LoadTable,
    now: float,
    random_source: random.Random,
) -> list[Endpoint]:
    """Return two endpoints at random if two or more have stated their speed lately.

    Daemons that know the same samples would all choose the same endpoint.
    """
    fresh = sum(loads.states_speed(endpoint, now) for endpoint in candidates)
    if fresh < COMPARED_ENDPOINTS:
        return candidates
    available = [e for e in candidates if health.of(e.instance).avoid_until <= now]
    if len(available) <= COMPARED_ENDPOINTS:
        return candidates
    return random_source.sample(available, COMPARED_ENDPOINTS)


def _cost(
    endpoint: Endpoint, state: EndpointHealth, loads: LoadTable | None, now: float
) -> float:
    """Return the cost of a call, by the endpoint's stated load if there is one."""
    sample = None if loads is None else loads.sample(endpoint)
    return state.cost(
        endpoint.slots,
        now,
        excess_others=excess_others(sample, now),
        duration_factor=relative_duration(sample, now, state.latency or 0.0),
    )
