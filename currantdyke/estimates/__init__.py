"""What stage calls take, learned from those that ended."""

from currantdyke.estimates.learned import Estimate, Estimates

__all__ = ["Estimate", "Estimates"]
