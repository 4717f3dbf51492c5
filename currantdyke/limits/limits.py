"""Limit the request rate of each workspace."""

import collections
from collections.abc import Callable

from currantdyke.core import Failure, FailureKind
from currantdyke.limits.bucket import TokenBucket

__all__ = ["MAX_BUCKETS", "WorkspaceLimits"]

# Bounds the memory of idle workspaces, at about 300 bytes each.
MAX_BUCKETS = 4_096
# The default of a workspace's limit in the bundle, which means no limit.
UNLIMITED_REQUESTS_PER_SECOND = 1e6
# Upper bound of the retry delay, since the bundle and its limits may change meanwhile.
MAX_RETRY_SECONDS = 1.0


class WorkspaceLimits:
    """Rate limiter with one token bucket per workspace.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    limit_of : callable
        Returns a workspace's limit in requests per second in the bundle in force.
    """

    def __init__(self, *, now: Callable[[], float], limit_of: Callable[[str], float]):
        self.now = now
        self.limit_of = limit_of
        self.buckets: collections.OrderedDict[str, TokenBucket] = (
            collections.OrderedDict()
        )

    def refuse(self, workspace: str) -> Failure | None:
        """Count a request; return the reason for refusing it, or None."""
        limit = self.limit_of(workspace)
        if limit >= UNLIMITED_REQUESTS_PER_SECOND:
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
            bucket = TokenBucket(rate=limit, tokens=1.0, updated_at=self.now())
            self.buckets[workspace] = bucket
            if len(self.buckets) > MAX_BUCKETS:
                self.buckets.popitem(last=False)
        self.buckets.move_to_end(workspace)
        bucket.change_rate(limit, self.now())
        return bucket
