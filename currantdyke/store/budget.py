"""Budgets of store calls by duty; background duties yield to charges."""

import math
from collections.abc import AsyncIterator, Mapping

import anyio
import attrs
from expression import Result

from currantdyke.store.port import Entry, Store, StoreError, Unavailable

__all__ = ["DEFAULT_BUDGETS", "BudgetedStore", "CallBudget", "TokenBucket"]


@attrs.frozen(kw_only=True)
class CallBudget:
    """What one duty may spend on one daemon.

    Attributes
    ----------
    calls_per_second : float
        Calls over the long run.
    burst_calls : float
        Calls at once after a quiet time.
    background : bool
        Whether its calls wait while a duty in the foreground is calling.
    """

    calls_per_second: float
    burst_calls: float
    background: bool = True


DEFAULT_BUDGET = CallBudget(calls_per_second=1.0, burst_calls=10.0)
DEFAULT_BUDGETS = {
    "claims": CallBudget(calls_per_second=100.0, burst_calls=200.0, background=False),
    "bundle": CallBudget(calls_per_second=5.0, burst_calls=100.0),
}


class TokenBucket:
    """Tokens that come back at a steady rate, up to a burst."""

    def __init__(self, *, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.filled = -math.inf

    def take(self, now: float) -> float:
        """Take a token; return the seconds to wait before it may be used.

        Examples
        --------
        >>> bucket = TokenBucket(rate=2.0, burst=1.0)
        >>> bucket.take(0.0), bucket.take(0.0), bucket.take(0.0)
        (0.0, 0.5, 1.0)
        """
        gained = self.rate * (now - self.filled)
        self.level = min(self.burst, self.level + gained)
        self.filled = now
        self.level -= 1.0
        return max(0.0, -self.level / self.rate)


class BudgetedStore:
    """A store whose calls wait for the budget of their duty.

    Parameters
    ----------
    store : Store
        The store to call.
    budgets : mapping
        Budgets by duty; a duty without one has the smallest.
    """

    def __init__(
        self, *, store: Store, budgets: Mapping[str, CallBudget] = DEFAULT_BUDGETS
    ):
        self.store = store
        self.budgets = budgets
        self.buckets: dict[str, TokenBucket] = {}
        self.urgent = 0
        self.calm = anyio.Event()
        self.waits = 0

    async def get(self, key: str, *, duty: str) -> Result[Entry | None, Unavailable]:
        """Return the entry of a key, or None."""
        return await self._spend(duty, self.store.get, key)

    async def list(self, prefix: str, *, duty: str) -> Result[list[Entry], Unavailable]:
        """Return all entries whose keys begin with ``prefix``, by key."""
        return await self._spend(duty, self.store.list, prefix)

    async def compare_and_swap(
        self, key: str, expected: int, value: bytes, *, duty: str, lease: int = 0
    ) -> Result[int, StoreError]:
        """Write if the key is at revision ``expected`` (0: if absent)."""
        swap = self.store.compare_and_swap
        return await self._spend(duty, swap, key, expected, value, lease=lease)

    async def delete(
        self, key: str, expected: int, *, duty: str
    ) -> Result[int, StoreError]:
        """Delete a key that is at revision ``expected``."""
        return await self._spend(duty, self.store.delete, key, expected)

    async def grant_lease(self, seconds: int, *, duty: str) -> Result[int, Unavailable]:
        """Return the id of a new lease."""
        return await self._spend(duty, self.store.grant_lease, seconds)

    async def keep_alive(self, lease: int, *, duty: str) -> Result[bool, Unavailable]:
        """Renew a lease; False where it has lapsed."""
        return await self._spend(duty, self.store.keep_alive, lease)

    async def watch(
        self, prefix: str, from_revision: int, *, duty: str
    ) -> AsyncIterator[Entry]:
        """Yield entries as they are written; ends when the watch breaks."""
        await self._wait(duty, self.budgets.get(duty, DEFAULT_BUDGET))
        async for entry in self.store.watch(prefix, from_revision, duty=duty):
            yield entry

    async def _spend(self, duty, call, *arguments, **keywords):
        budget = self.budgets.get(duty, DEFAULT_BUDGET)
        if budget.background:
            await self._wait(duty, budget)
            return await call(*arguments, duty=duty, **keywords)
        self.urgent += 1
        try:
            await self._wait(duty, budget)
            return await call(*arguments, duty=duty, **keywords)
        finally:
            self.urgent -= 1
            if not self.urgent:
                self.calm.set()
                self.calm = anyio.Event()

    async def _wait(self, duty: str, budget: CallBudget) -> None:
        bucket = self.buckets.get(duty)
        if bucket is None:
            bucket = TokenBucket(rate=budget.calls_per_second, burst=budget.burst_calls)
            self.buckets[duty] = bucket
        wait = bucket.take(anyio.current_time())
        if wait:
            self.waits += 1
            await anyio.sleep(wait)
        while budget.background and self.urgent:
            await self.calm.wait()
