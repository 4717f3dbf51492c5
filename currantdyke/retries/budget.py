"""Budget shared by all repeated calls of a daemon: retries, moves and hedges."""

import attrs

__all__ = ["RetryBudget"]

MAX_SAVED_ATTEMPTS = 20.0
FIRST_SAVED_ATTEMPTS = 3.0
MAX_CRASH_ATTEMPTS = 100.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Budget in which each first attempt earns a fraction of a retry.

    The budget starts with a few retries, so that the first requests of an idle daemon
    can be retried. Beyond these and the reserve for lost connections, retries never
    exceed the given share of first attempts.

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

    saved: float = FIRST_SAVED_ATTEMPTS
    crash_saved: float = MAX_CRASH_ATTEMPTS
    spent: int = 0
    denied: int = 0

    def earn(self, share: float) -> None:
        """Record a first attempt, which earns ``share`` of a retry."""
        self.saved = min(MAX_SAVED_ATTEMPTS, self.saved + share)
        self.crash_saved = min(MAX_CRASH_ATTEMPTS, self.crash_saved + share)

    def spend(self, *, connection_lost: bool = False) -> bool:
        """Take one retry from the budget; return False if none is left.

        Parameters
        ----------
        connection_lost : bool
            Whether the call failed because its endpoint went away. A crash fails all
            calls in flight at once, so these calls use a separate reserve first.
        """
        if connection_lost and self.crash_saved >= 1.0:
            self.crash_saved -= 1.0
            self.spent += 1
            return True
        if self.saved < 1.0:
            self.denied += 1
            return False
        self.saved -= 1.0
        self.spent += 1
        return True
