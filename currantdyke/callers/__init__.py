"""HTTP API for callers."""

from currantdyke.callers.app import callers_app
from currantdyke.callers.context import CallersContext

__all__ = ["CallersContext", "callers_app"]
