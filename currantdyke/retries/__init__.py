"""The budget of attempts beyond the first."""

from currantdyke.retries.budget import RetryBudget

__all__ = ["RetryBudget"]
