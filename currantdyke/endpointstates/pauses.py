"""Endpoints that have asked this daemon to send nothing for a time."""

import random
from collections.abc import Iterable

import attrs

from currantdyke.catalog import Endpoint

__all__ = ["PauseTable"]

# A longer time than this is probably an error of the endpoint.
MAX_PAUSE_SECONDS = 300.0
# Callers that are refused in a pause come back within this time after its end, so that
# they do not fill the endpoint at once.
RETURN_SPREAD_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class PauseTable:
    """Ends of the pauses, in monotonic seconds.

    Attributes
    ----------
    ends : dict of str to (int, float)
        Start of the lifetime of the endpoint and end of the pause, by instance.

    Examples
    --------
    >>> table = PauseTable()
    >>> endpoint = Endpoint(instance="i", service="s", address="a:1",
    ...                     availability_zone="z", born=1)
    >>> table.record(endpoint, 2.0, now=10.0)
    >>> table.left(endpoint, 11.5), table.left(endpoint, 12.0)
    (0.5, 0.0)
    """

    ends: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    random_source: random.Random = attrs.field(factory=random.Random)

    def record(self, endpoint: Endpoint, seconds: float, *, now: float) -> None:
        """Record that an endpoint wants nothing for some seconds."""
        end = now + min(seconds, MAX_PAUSE_SECONDS)
        born, known = self.ends.get(endpoint.instance, (endpoint.born, 0.0))
        if born == endpoint.born:
            end = max(end, known)
        self.ends[endpoint.instance] = (endpoint.born, end)

    def left(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds until an endpoint may get requests; 0 if it may now."""
        if not self.ends:
            return 0.0
        born, end = self.ends.get(endpoint.instance, (0, 0.0))
        return max(0.0, end - now) if born == endpoint.born else 0.0

    def paused(self, endpoints: Iterable[Endpoint], now: float) -> dict[str, float]:
        """Return the seconds that are left for those endpoints that want nothing."""
        if not self.ends:
            return {}
        left = {endpoint.instance: self.left(endpoint, now) for endpoint in endpoints}
        return {instance: seconds for instance, seconds in left.items() if seconds}

    def retry_after(self, paused: dict[str, float]) -> float:
        """Return after how many seconds a caller that no endpoint wants may return."""
        spread = self.random_source.uniform(0.0, RETURN_SPREAD_SECONDS)
        return min(paused.values()) + spread

    def forget(self, instance: str) -> None:
        """Remove an endpoint that is gone."""
        self.ends.pop(instance, None)
