"""Prometheus metrics of one daemon, in a separate registry.

Label values are bounded: pipelines, stages and services come from the bundle, outcomes
from an enumeration, and workspaces are hashed into a fixed number of buckets.
"""

import prometheus_client
import xxhash

__all__ = ["Metrics", "workspace_bucket"]

WORKSPACE_BUCKETS = 64
LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.02,
    0.044,
    0.1,
    0.25,
    0.5,
    0.97,
    2.0,
    4.0,
    6.0,
    10.0,
)


def workspace_bucket(workspace: str) -> str:
    """Return the label of the bucket that a workspace hashes to."""
    return str(xxhash.xxh32_intdigest(workspace.encode()) % WORKSPACE_BUCKETS)


class Metrics:
    """All metrics of a daemon."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self.counter(
            "requests", "Requests ended", ("pipeline", "outcome", "code")
        )
        self.in_time = self.counter(
            "answers_in_time",
            "Requests answered whole within their deadline",
            ("pipeline", "workspace_bucket"),
        )
        self.in_flight = prometheus_client.Gauge(
            "currantdyke_requests_in_flight",
            "Requests being run",
            registry=self.registry,
        )
        self.attempts = self.counter(
            "stage_attempts", "Stage calls ended", ("service", "end")
        )
        self.answers_dropped = self.counter(
            "answers_dropped",
            "Stage answers dropped because they did not match their call",
            ("service", "reason"),
        )
        self.internal_errors = self.counter(
            "internal_errors", "Errors of the daemon's own code", ("duty",)
        )
        self.stage_seconds = self.histogram(
            "stage_seconds", "Time of a stage", ("pipeline", "stage")
        )
        self.stage_cost = self.counter(
            "stage_cost_seconds",
            "Endpoint seconds spent, by whether the request was answered in time",
            ("pipeline", "stage", "useful"),
        )
        self.first_token_seconds = self.histogram(
            "first_token_seconds", "Time to the first token", ("pipeline",)
        )
        self.idempotency_keys = self.counter(
            "idempotency_keys", "Requests with an idempotency key", ("result",)
        )
        self.endpoints_leaving = self.counter(
            "endpoints_leaving", "Endpoints that said that they leave"
        )
        self.quarantine = self.counter(
            "quarantine", "Events of requests that crash endpoints", ("event",)
        )

    def counter(self, name: str, help_text: str, labels: tuple[str, ...] = ()):
        """Return a new counter in this registry."""
        return prometheus_client.Counter(
            f"currantdyke_{name}", help_text, labels, registry=self.registry
        )

    def histogram(self, name: str, help_text: str, labels: tuple[str, ...] = ()):
        """Return a new histogram of seconds in this registry."""
        return prometheus_client.Histogram(
            f"currantdyke_{name}",
            help_text,
            labels,
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        return prometheus_client.generate_latest(self.registry)
