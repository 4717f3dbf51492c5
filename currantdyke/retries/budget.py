"""Budget shared by all repeated calls of a daemon.

These are retries, and moves of slow streams to other endpoints.
"""

import attrs

__all__ = ["RetryBudget"]

MAX_AVAILABLE_RETRIES = 20.0
INITIAL_RETRIES = 3.0
MAX_CRASH_RESERVE = 100.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Budget in which each first attempt earns a fraction of a retry.

    The budget starts with a few retries, so that the first requests of an idle daemon
    can be retried. Beyond these, and apart from retries out of the reserve for lost
    connections, retries never exceed the given share of first attempts. The reserve
    starts full and earns the same share.

    Examples
    --------
    >>> budget = RetryBudget(available=0.0)
    >>> budget.earn(0.5)
    >>> budget.spend(), budget.available
    (False, 0.5)
    >>> budget.earn(0.5)
    >>> budget.spend(), budget.available
    (True, 0.0)
    """

    available: float = INITIAL_RETRIES
    crash_reserve: float = MAX_CRASH_RESERVE
    spent: int = 0
    denied: int = 0

    def earn(self, share: float) -> None:
        """Record a first attempt, which earns ``share`` of a retry."""
        self.available = min(MAX_AVAILABLE_RETRIES, self.available + share)
        self.crash_reserve = min(MAX_CRASH_RESERVE, self.crash_reserve + share)

    def spend(self, *, connection_lost: bool = False) -> bool:
        """Take one retry from the budget; return False if none is left.

        Parameters
        ----------
        connection_lost : bool
            Whether the call failed because its endpoint went away. A crash fails all
            calls in flight at once, so these calls use a separate reserve first.
        """
        if connection_lost and self.crash_reserve >= 1.0:
            self.crash_reserve -= 1.0
            self.spent += 1
            return True
        if self.available < 1.0:
            self.denied += 1
            return False
        self.available -= 1.0
        self.spent += 1
        return True
