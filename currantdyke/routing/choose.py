"""Choose between two endpoints at random the one with less to do."""

import random
from collections.abc import Collection, Sequence

from currantdyke.endpoints import Endpoint

__all__ = ["choose_endpoint"]


def choose_endpoint(
    endpoints: Sequence[Endpoint],
    *,
    tried: Collection[str] = (),
    random_source: random.Random,
) -> Endpoint | None:
    """Return an endpoint that takes new work, or None.

    Parameters
    ----------
    endpoints : sequence of Endpoint
        The endpoints of the service.
    tried : collection of str
        Names to avoid, unless no others are left.
    random_source : random.Random
        Source of the two candidates.
    """
    able = [e for e in endpoints if not e.leaving]
    fresh = [e for e in able if e.name not in tried] or able
    if not fresh:
        return None
    if len(fresh) == 1:
        return fresh[0]
    first, second = random_source.sample(fresh, 2)
    return min(first, second, key=_load)


def _load(endpoint: Endpoint) -> float:
    speed = endpoint.seconds or 0.1
    return (endpoint.in_flight + 1) / endpoint.spec.slots * speed
