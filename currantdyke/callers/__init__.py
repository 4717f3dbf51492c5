"""HTTP API for callers."""

from currantdyke.callers.app import callers_app
from currantdyke.callers.context import CallersFace

__all__ = ["CallersFace", "callers_app"]
