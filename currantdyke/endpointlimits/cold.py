"""Which lifetimes of endpoints are cold, and how many requests they then accept."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Catalog, Endpoint
from currantdyke.decisionlog import DecisionLog

__all__ = ["ColdBounds", "ColdEndpoints", "ColdPeriod"]

# The sum of what all daemons grant is at most 1.4 times the rate, and 5 requests more,
# in any second: stricter bounds need a lower rate or fewer tokens.
GRANTED_FACTOR = 1.5
GRANTED_EXTRA = 5.0
# With none at all, an endpoint that is the only one would serve nothing.
MIN_OVERAGE = 0.1


@attrs.frozen(kw_only=True)
class ColdBounds:
    """Bound on the requests that a cold endpoint gets in any second.

    Attributes
    ----------
    overage : float
        Factor on the rate of its service.
    tolerance : float
        Number of requests in addition.
    """

    overage: float
    tolerance: float

    @classmethod
    def of(cls, overage: float | None, tolerance: float | None) -> "ColdBounds | None":
        """Return a bound of which both parts are stated, else None."""
        if overage is None or tolerance is None:
            return None
        return cls(overage=overage, tolerance=tolerance)

    def granted_rate(self, rate: float) -> float:
        """Return the requests per second that may be granted within the bound."""
        return rate * min(1.0, max(MIN_OVERAGE, self.overage) / GRANTED_FACTOR)


@attrs.frozen(kw_only=True)
class ColdPeriod:
    """The time in which one lifetime of an endpoint is cold.

    Attributes
    ----------
    ends_at : float
        Monotonic time in seconds.
    """

    service: str
    born: int
    ends_at: float


@attrs.define(kw_only=True, eq=False)
class ColdEndpoints:
    """The endpoints that are cold, by instance.

    Attributes
    ----------
    catalog : callable
        Returns the configuration in force, or None.
    bounds : ColdBounds or None
        None if cold endpoints have no limit.
    unreadable : dict of str to int
        Lifetimes whose entries state no time that can be used, which is logged once.
    """

    log: DecisionLog
    catalog: Callable[[], Catalog | None] = lambda: None
    bounds: ColdBounds | None = None
    periods: dict[str, ColdPeriod] = attrs.field(factory=dict)
    unreadable: dict[str, int] = attrs.field(factory=dict)

    def on_entry(self, endpoint: Endpoint) -> None:
        """Record what an entry says; each heartbeat states the time that is left.

        The latest entry counts: it may end the period early, or begin another one.
        """
        if endpoint.unreadable_cold is not None:
            self._log_unreadable(endpoint, endpoint.unreadable_cold)
        period = self.periods.get(endpoint.instance)
        if period is not None and period.born > endpoint.born:
            return
        if endpoint.cold_remaining:
            ends_at = anyio.current_time() + endpoint.cold_remaining
            self._start(endpoint.instance, endpoint.service, endpoint.born, ends_at)
        elif period is not None:
            self._end(endpoint.instance, reason="entry")

    def record(
        self, instance: str, service: str, born: int, remaining: float, *, source: str
    ) -> None:
        """Record what a response or another daemon says, which may be older.

        It can begin or prolong the period, but not end it.
        """
        ends_at = anyio.current_time() + remaining
        period = self.periods.get(instance)
        is_later = period is None or (born, ends_at) > (period.born, period.ends_at)
        if remaining and is_later:
            self._start(instance, service, born, ends_at, source=source)

    def remaining(self, instance: str, born: int) -> float:
        """Return for how many seconds a lifetime stays cold; 0 if it is warm."""
        period = self.periods.get(instance)
        if period is None or period.born != born:
            return 0.0
        return max(0.0, period.ends_at - anyio.current_time())

    def rate(self, instance: str, born: int) -> float | None:
        """Return the requests per second that a lifetime accepts; None if any."""
        if self.bounds is None or not self.periods:
            return None
        if not self.remaining(instance, born):
            return None
        catalog = self.catalog()
        service = catalog and catalog.services.get(self.periods[instance].service)
        if not service or not service.cold_rate:
            return None
        return self.bounds.granted_rate(service.cold_rate)

    def fewer_tokens(self) -> float:
        """Return how many tokens fewer than usual an owner may have at once."""
        if self.bounds is None:
            return 0.0
        return max(0.0, GRANTED_EXTRA - self.bounds.tolerance)

    def count(self) -> int:
        """Return the number of endpoints that are cold."""
        return len(self.periods)

    def expire(self) -> None:
        """End the periods whose time has elapsed."""
        now = anyio.current_time()
        ended = [name for name, p in self.periods.items() if p.ends_at <= now]
        for instance in ended:
            self._end(instance, reason="time")

    def forget(self, instance: str) -> None:
        """Remove an endpoint that is gone."""
        self.periods.pop(instance, None)
        self.unreadable.pop(instance, None)

    def _start(
        self,
        instance: str,
        service: str,
        born: int,
        ends_at: float,
        *,
        source: str = "entry",
    ) -> None:
        before = self.periods.get(instance)
        self.periods[instance] = ColdPeriod(service=service, born=born, ends_at=ends_at)
        if before is None or before.born != born:
            self.log.write(
                "endpoint_cold",
                endpoint=instance,
                service=service,
                seconds=round(ends_at - anyio.current_time(), 3),
                rate=self.rate(instance, born),
                source=source,
            )

    def _end(self, instance: str, *, reason: str) -> None:
        period = self.periods.pop(instance)
        self.log.write(
            "endpoint_warm", endpoint=instance, service=period.service, reason=reason
        )

    def _log_unreadable(self, endpoint: Endpoint, value: str) -> None:
        if self.unreadable.get(endpoint.instance) == endpoint.born:
            return
        self.unreadable[endpoint.instance] = endpoint.born
        self.log.write(
            "endpoint_cold_unreadable",
            failure=True,
            endpoint=endpoint.instance,
            value=value,
            expected="milliseconds, from 0 to 86400000",
        )
