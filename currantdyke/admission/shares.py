"""Recent use of capacity by each workspace."""

import math

__all__ = ["WorkspaceUsage"]

DECAY_SECONDS = 15.0
MIN_WORK_SECONDS = 0.01
DECAY_INTERVAL_SECONDS = 1.0
OVER_SHARE_FACTOR = 1.6


class WorkspaceUsage:
    """Exponentially decayed sum of the work admitted for each workspace.

    Entries of idle workspaces are dropped, so that only workspaces with work in about
    the last minute have an entry.

    Examples
    --------
    >>> usage = WorkspaceUsage()
    >>> for _ in range(9):
    ...     usage.add("large", 1.0, 0.0)
    >>> usage.add("small", 1.0, 0.0)
    >>> usage.exceeds_share("large", {}, 0.0), usage.exceeds_share("small", {}, 0.0)
    (True, False)
    """

    def __init__(self):
        self.used: dict[str, float] = {}
        self.total = 0.0
        self.decayed_at = 0.0

    def add(self, workspace: str, work: float, now: float) -> None:
        """Add admitted work to a workspace's sum.

        Parameters
        ----------
        work : float
            Predicted run time of the request in seconds.
        now : float
            Monotonic time in seconds.
        """
        self._decay(now)
        self.used[workspace] = self.used.get(workspace, 0.0) + work
        self.total += work

    def exceeds_share(
        self, workspace: str, weights: dict[str, float], now: float
    ) -> bool:
        """Return whether a workspace used over OVER_SHARE_FACTOR times its fair share.

        The fair share is its part, by weight, of the work of all active workspaces. A
        workspace that is the only active one never exceeds its share.

        Parameters
        ----------
        weights : dict
            Weights, by name, of the workspaces whose weight is not 1.
        now : float
            Monotonic time in seconds.
        """
        self._decay(now)
        used = self.used.get(workspace, 0.0)
        if len(self.used) < 2 or used <= 0.0:
            return False
        weight = weights.get(workspace, 1.0)
        if weights:
            total_weight = sum(weights.get(name, 1.0) for name in self.used)
        else:
            total_weight = float(len(self.used))
        fair_share = self.total * weight / max(total_weight, 1e-9)
        return used > OVER_SHARE_FACTOR * fair_share

    def _decay(self, now: float) -> None:
        elapsed = now - self.decayed_at
        if elapsed < DECAY_INTERVAL_SECONDS:
            return
        self.decayed_at = now
        factor = math.exp(-elapsed / DECAY_SECONDS)
        self.used = {
            name: value * factor
            for name, value in self.used.items()
            if value * factor > MIN_WORK_SECONDS
        }
        self.total = sum(self.used.values())
