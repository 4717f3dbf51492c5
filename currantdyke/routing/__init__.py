"""The choice of an endpoint for a stage call."""

from currantdyke.routing.choose import choose_endpoint
from currantdyke.routing.pool import Pool, Pools

__all__ = ["Pool", "Pools", "choose_endpoint"]
