"""State of the endpoints of stage services, as observed by the scheduler."""

import attrs

from currantdyke.catalog import Endpoint, StageLimits
from currantdyke.endpointloads.estimate import relative_duration
from currantdyke.endpointloads.table import LoadTable

__all__ = ["Worker"]

# Weight of the newest call in the moving average of an endpoint's slowness.
SLOWNESS_SMOOTHING_FACTOR = 0.4
# The same for an endpoint that states its speed. That speed varies from call to call,
# and is known from its samples; the average shows whether it is slow for longer.
STATED_SPEED_SMOOTHING_FACTOR = 0.1
# The estimated slowness decays with this half-life, so that a slow endpoint is tried
# again.
SLOWNESS_HALF_LIFE_SECONDS = 3.0
# An endpoint whose call failed is avoided with exponential backoff, up to about the
# time that a crashed endpoint needs to restart.
INITIAL_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 3.0
# Memory that is used in excess of the recorded results is released within about this
# time.
UNACCOUNTED_SECONDS = 0.5
# An endpoint that is avoided for no longer than this counts as reachable: it was busy,
# or is about to be tried again.
SHORT_AVOID_SECONDS = 0.1


@attrs.define(kw_only=True, eq=False)
class Worker:
    """State of one endpoint: its calls, the memory of its results, its slowness.

    Attributes
    ----------
    calls : int
        Number of calls in progress.
    calls_end_at : float
        Expected end of the latest call, in monotonic seconds.
    results : dict of str to (int, float)
        Bytes of each result that was not released, and when it expires.
    reserved : int
        Bytes reserved for the results of calls in progress.
    unaccounted_bytes : int
        Bytes treated as used because a result did not fit, until results are released.
    unaccounted_until : float
        When they are ignored even if no result is released.
    slowness : float
        Moving average of the ratio of actual to expected call time; 1 is as expected.
    avoid_until : float
        When the endpoint may get calls again.
    backoff_seconds : float
        For how long it is avoided if the next call fails.
    loads : LoadTable
        What endpoints say of their speed.
    """

    endpoint: Endpoint
    calls: int = 0
    calls_end_at: float = 0.0
    results: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    reserved: int = 0
    unaccounted_bytes: int = 0
    unaccounted_until: float = 0.0
    slowness: float = 1.0
    slowness_at: float = 0.0
    avoid_until: float = 0.0
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS
    loads: LoadTable = attrs.field(factory=LoadTable)

    @property
    def zone(self) -> str:
        """The availability zone of the endpoint."""
        return self.endpoint.availability_zone

    def free_result_bytes(self, limits: StageLimits, now: float) -> int:
        """Return the bytes of memory that are free for results."""
        if limits.result_ttl:
            expired = [name for name, (_, end) in self.results.items() if end < now]
            for name in expired:
                del self.results[name]
        used = sum(size for size, _ in self.results.values()) + self.reserved
        unaccounted = self.unaccounted_bytes if now < self.unaccounted_until else 0
        return limits.result_memory_bytes - used - unaccounted

    def record_no_room(self, limits: StageLimits, now: float) -> None:
        """Treat all memory of the endpoint as used, since a result did not fit.

        The endpoint had less free memory than expected. This ends when results are
        released, or after `UNACCOUNTED_SECONDS`.
        """
        # Don't subtract the bytes that an earlier result without room has recorded.
        self.unaccounted_until = 0.0
        self.unaccounted_bytes = max(0, self.free_result_bytes(limits, now))
        self.unaccounted_until = now + UNACCOUNTED_SECONDS

    def is_reachable(self, now: float) -> bool:
        """Return whether the endpoint is not avoided, or only for a short time."""
        return self.avoid_until <= now + SHORT_AVOID_SECONDS

    def is_free(self, limits: StageLimits, now: float) -> bool:
        """Return whether a call sent now would run at once."""
        return self.calls < limits.slots and self.avoid_until <= now

    def expected_slowness(self, now: float) -> float:
        """Return the expected slowness of the next call."""
        age = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * 0.5 ** (age / SLOWNESS_HALF_LIFE_SECONDS)

    def call_factor(self, limits: StageLimits, now: float) -> float:
        """Return the expected duration of a call sent now, relative to the configured.

        It is the measured slowness, corrected by what the endpoint says of its current
        speed.
        """
        full_call = limits.call_seconds + limits.batch * limits.piece_seconds
        sample = self.loads.sample(self.endpoint)
        return self.expected_slowness(now) * relative_duration(sample, now, full_call)

    def states_speed(self, now: float) -> bool:
        """Return whether the endpoint has stated its speed a short time ago."""
        return self.loads.states_speed(self.endpoint, now)

    def batch_seconds(self, limits: StageLimits, now: float) -> float:
        """Return the seconds until a full batch would end, after the call in progress.

        What the endpoint says of its speed ages until that call has ended.
        """
        wait = max(0.0, self.calls_end_at - now) if self.calls >= limits.slots else 0.0
        full_call = limits.call_seconds + limits.batch * limits.piece_seconds
        return wait + full_call * self.call_factor(limits, now + wait)

    def record_success(self, seconds: float, expected: float, now: float) -> None:
        """Record the duration of a call that returned results."""
        ratio = seconds / max(expected, 1e-3)
        previous = self.expected_slowness(now)
        weight = SLOWNESS_SMOOTHING_FACTOR
        if self.loads.sample(self.endpoint) is not None:
            weight = STATED_SPEED_SMOOTHING_FACTOR
        self.slowness = previous + weight * (ratio - previous)
        self.slowness_at = now
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS

    def record_failure(self, now: float) -> None:
        """Record that a call failed."""
        self.avoid_until = now + self.backoff_seconds
        self.backoff_seconds = min(MAX_BACKOFF_SECONDS, 2 * self.backoff_seconds)
