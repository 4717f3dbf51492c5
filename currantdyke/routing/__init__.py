"""Load balancing of stage calls over endpoints."""

from currantdyke.routing.choose import choose_endpoint
from currantdyke.routing.pool import Pool, Pools

__all__ = ["Pool", "Pools", "choose_endpoint"]
