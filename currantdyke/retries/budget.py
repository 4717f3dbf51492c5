"""A budget that all repeated calls of a daemon share: retries, moves and hedges."""

import attrs

__all__ = ["RetryBudget"]

MAX_SAVED_ATTEMPTS = 20.0
FIRST_SAVED_ATTEMPTS = 3.0
MAX_CRASH_ATTEMPTS = 100.0


@attrs.define(kw_only=True)
class RetryBudget:
    """Each first attempt earns a share of one more attempt.

    It starts with a few attempts, so that the first requests of a quiet daemon can
    be tried again; beyond these, repeated calls never exceed the share of first ones.

    Examples
    --------
    >>> budget = RetryBudget(saved=0.0)
    >>> budget.earn(0.5)
    >>> budget.spend(), budget.saved
    (False, 0.5)
    >>> budget.earn(0.5)
    >>> budget.spend(), budget.saved
    (True, 0.0)
    """

    saved: float = FIRST_SAVED_ATTEMPTS
    crash_saved: float = MAX_CRASH_ATTEMPTS
    spent: int = 0
    denied: int = 0

    def earn(self, share: float) -> None:
        """Take note of a first attempt."""
        self.saved = min(MAX_SAVED_ATTEMPTS, self.saved + share)
        self.crash_saved = min(MAX_CRASH_ATTEMPTS, self.crash_saved + share)

    def spend(self, *, connection_lost: bool = False) -> bool:
        """Take one attempt out of the budget; return False if it is spent.

        Parameters
        ----------
        connection_lost : bool
            Whether the endpoint went away under the call.  All calls in flight at
            a crash are lost at once, so these have a reserve of their own first.
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
