"""Count and log what is closed or refused because a limit was reached."""

import anyio
import attrs
import prometheus_client

from currantdyke.decisionlog import DecisionLog

__all__ = ["LimitLog"]

# A line for each reason this often at most; the counters have every event.
LOG_INTERVAL_SECONDS = 10.0


@attrs.define(kw_only=True, eq=False)
class LimitLog:
    """The connections that were closed or refused, by reason."""

    log: DecisionLog
    counter: prometheus_client.Counter
    counts: dict[str, int] = attrs.field(factory=dict)
    logged_at: dict[str, float] = attrs.field(factory=dict)

    def record(self, reason: str) -> None:
        """Count an event, and log its reason unless that was done recently."""
        self.counter.labels(reason).inc()
        self.counts[reason] = self.counts.get(reason, 0) + 1
        now = anyio.current_time()
        if (
            now
            < self.logged_at.get(reason, -LOG_INTERVAL_SECONDS) + LOG_INTERVAL_SECONDS
        ):
            return
        self.logged_at[reason] = now
        self.log.write(
            "connections_closed",
            failure=True,
            reason=reason,
            count=self.counts.pop(reason),
        )
