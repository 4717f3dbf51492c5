"""Health of endpoints as measured by this daemon's calls."""

import attrs

__all__ = ["EndpointHealth", "HealthTable"]

# Weight of the latest call in the moving averages.
SMOOTHING_FACTOR = 0.2
# The failure rate decays without calls, so that an endpoint that has recovered is tried
# again.
FAILURE_HALF_LIFE_SECONDS = 2.0
# An unreachable endpoint is avoided for this long, doubled each further time up to
# about the time in which a crashed endpoint restarts.
FIRST_AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 4.0
# Cost of an endpoint that fails every call, in calls in progress.
FAILURE_PENALTY_CALLS = 8.0


@attrs.define(kw_only=True)
class EndpointHealth:
    """Moving averages over one endpoint's calls.

    Attributes
    ----------
    latency : float or None
        Moving average of the seconds of an answered call.
    failure_rate : float
        Moving average of the share of failed calls, from 0 to 1.
    """

    in_flight: int = 0
    latency: float | None = None
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    avoid_until: float = 0.0
    avoid_seconds: float = FIRST_AVOID_SECONDS

    def record_success(self, seconds: float, now: float) -> None:
        """Record a call that was answered."""
        previous = seconds if self.latency is None else self.latency
        self.latency = previous + SMOOTHING_FACTOR * (seconds - previous)
        self._update_failure_rate(0.0, now)
        self.avoid_seconds = FIRST_AVOID_SECONDS

    def record_failure(self, now: float) -> None:
        """Record a call that was not answered or answered with a failure."""
        self._update_failure_rate(1.0, now)

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection, an unusable response, or a misdirected request.

        A connection fails if it could not be opened or if it broke.
        """
        self._update_failure_rate(1.0, now)
        self.avoid_until = now + self.avoid_seconds
        self.avoid_seconds = min(MAX_AVOID_SECONDS, 2 * self.avoid_seconds)

    def record_full(self, now: float, seconds: float) -> None:
        """Record that the endpoint had no room; avoid it for some seconds."""
        self.avoid_until = max(self.avoid_until, now + seconds)

    def cost(
        self,
        slots: int,
        now: float,
        *,
        excess_others: float = 0.0,
        duration_factor: float = 1.0,
    ) -> float:
        """Return the cost of a call: load and failures per slot, plus latency.

        The latency is in seconds; an idle, healthy endpoint costs it alone, about 0.

        Parameters
        ----------
        excess_others : float
            How many more requests of other daemons than usual are at the endpoint.
        duration_factor : float
            Expected duration of the call relative to the average.
        """
        latency = 0.0 if self.latency is None else self.latency
        present = max(0.0, self.in_flight + excess_others)
        return (
            present / slots
            + FAILURE_PENALTY_CALLS * self._decayed_failure_rate(now) / slots
            + latency * duration_factor
        )

    def _decayed_failure_rate(self, now: float) -> float:
        age = max(0.0, now - self.failure_rate_at)
        return self.failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)

    def _update_failure_rate(self, failed: float, now: float) -> None:
        previous = self._decayed_failure_rate(now)
        self.failure_rate = previous + SMOOTHING_FACTOR * (failed - previous)
        self.failure_rate_at = now


@attrs.define(kw_only=True)
class HealthTable:
    """Health of endpoints by instance."""

    by_instance: dict[str, EndpointHealth] = attrs.field(factory=dict)

    def of(self, instance: str) -> EndpointHealth:
        """Return an endpoint's health; a new endpoint is healthy."""
        return self.by_instance.setdefault(instance, EndpointHealth())

    def count_in_flight(self, instance: str) -> int:
        """Return the number of this daemon's requests at an endpoint."""
        state = self.by_instance.get(instance)
        return 0 if state is None else state.in_flight

    def forget(self, instance: str) -> None:
        """Drop the health of an endpoint that was removed from the directory."""
        self.by_instance.pop(instance, None)
