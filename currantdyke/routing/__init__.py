"""The choice of an endpoint for a stage call."""

from currantdyke.routing.choose import choose_endpoint

__all__ = ["choose_endpoint"]
