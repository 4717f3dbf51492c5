"""One daemon's part of the fleet's retry budget for a service."""

import attrs

__all__ = ["FleetRetryBudget"]

# Part of the fleet's budget that is used, since daemons may briefly disagree on their
# number, and a retry may arrive in a later window than the one it was charged to.
USED_BUDGET_SHARE = 0.7
# Bounds the retries earned by requests to those of about one window.
MAX_EARNED_RETRIES = 8.0


@attrs.define(kw_only=True)
class FleetRetryBudget:
    """Retries earned by requests, and an allowance that refills over time.

    Attributes
    ----------
    ratio : float
        Retries of the fleet that one request earns.
    window : float
        Length in seconds of the window in which the fleet's retries are counted.
    slack : float
        Retries of the whole fleet per window that need not be earned.
    earned : float
        Retries earned by requests and not yet used.
    allowance : float or None
        This daemon's available part of the slack; None for half of its share at the
        first use.
    refilled_at : float
        Monotonic time in seconds at which the allowance was refilled last.

    Examples
    --------
    >>> budget = FleetRetryBudget(ratio=0.5, window=10.0, slack=0.0)
    >>> budget.spend(now=0.0, daemons=1)
    False
    >>> for _ in range(3): budget.earn()
    >>> budget.spend(now=0.0, daemons=1), budget.spend(now=0.0, daemons=1)
    (True, False)
    """

    ratio: float
    window: float
    slack: float
    earned: float = 0.0
    allowance: float | None = None
    refilled_at: float = 0.0
    spent: int = 0
    denied: int = 0

    def earn(self) -> None:
        """Record a request, which earns a part of a retry."""
        self.earned = min(
            MAX_EARNED_RETRIES, self.earned + self.ratio * USED_BUDGET_SHARE
        )

    def spend(self, *, now: float, daemons: int) -> bool:
        """Take one retry; return False if none is left.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        daemons : int
            Number of daemons that share the slack.
        """
        share = self.slack * USED_BUDGET_SHARE / max(1, daemons)
        # Half is available at once and half is refilled within a window, so that no
        # interval of a window's length exceeds the share.
        capacity = share / 2
        if self.allowance is None:
            self.allowance = capacity
        else:
            refill = (now - self.refilled_at) * share / 2 / self.window
            self.allowance = min(capacity, self.allowance + refill)
        self.refilled_at = now
        if self.allowance >= 1.0:
            self.allowance -= 1.0
        elif self.earned >= 1.0:
            self.earned -= 1.0
        else:
            self.denied += 1
            return False
        self.spent += 1
        return True
