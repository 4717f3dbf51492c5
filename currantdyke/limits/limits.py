"""Admit requests within their workspaces' limits."""

import collections
from collections.abc import Callable

from currantdyke.core import Failure, FailureKind
from currantdyke.limits.bucket import TokenBucket

__all__ = ["MAX_BUCKETS", "WorkspaceLimits"]

# Bounds the memory that unused workspaces take; some 300 bytes each.
MAX_BUCKETS = 4_096
# The default of a workspace's limit in the bundle stands for none.
NOT_LIMITED_PER_SECOND = 1e6
# The bundle in force, and with it the limit, may have changed by then.
MAX_RETRY_SECONDS = 1.0


class WorkspaceLimits:
    """Holds a token bucket a workspace.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    limit_of : callable
        Returns a workspace's limit in requests a second, by the bundle in force.
    """

    def __init__(self, *, now: Callable[[], float], limit_of: Callable[[str], float]):
        self.now = now
        self.limit_of = limit_of
        self.buckets: collections.OrderedDict[str, TokenBucket] = (
            collections.OrderedDict()
        )

    def refuse(self, workspace: str) -> Failure | None:
        """Count a request; return why it is refused, or None."""
        limit = self.limit_of(workspace)
        if limit >= NOT_LIMITED_PER_SECOND:
            return None
        wait = self._bucket(workspace, limit).take(self.now())
        if not wait:
            return None
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"workspace {workspace!r} is over its {limit:g} requests a second",
            retry_after=min(wait, MAX_RETRY_SECONDS),
        )

    def _bucket(self, workspace: str, limit: float) -> TokenBucket:
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(rate=limit, tokens=1.0, at=self.now())
            self.buckets[workspace] = bucket
            if len(self.buckets) > MAX_BUCKETS:
                self.buckets.popitem(last=False)
        self.buckets.move_to_end(workspace)
        bucket.change_rate(limit, self.now())
        return bucket
