"""Budget for retries."""

from currantdyke.retries.budget import RetryBudget

__all__ = ["RetryBudget"]
