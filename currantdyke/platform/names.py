"""Paths and port at which the platform requests readiness and metrics of a daemon."""

__all__ = ["METRICS_PORT", "METRICS_TARGET", "READY_TARGET"]

READY_TARGET = b"/api/readyz"
# Both are also set in deploy/system.toml.
METRICS_PORT = 9464
METRICS_TARGET = b"/metrics"
