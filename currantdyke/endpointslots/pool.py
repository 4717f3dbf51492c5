"""The slots of fragile endpoints, as their owner grants them."""

import math

import attrs

from currantdyke.endpointslots.messages import SlotGrant

__all__ = ["SlotPool", "SlotPools"]

# An endpoint may let one request wait beside those in its slots. One that rejects a
# request does not, and one that is back after a crash is filled step by step.
WAITING_PLACES = 1
RAISE_INTERVAL_SECONDS = 1.0
# Weight of the latest request in the moving average of the time in a slot.
SMOOTHING_FACTOR = 0.2
FIRST_HOLD_SECONDS = 0.2
# Beyond this, what a refused caller is told has probably changed.
MAX_RETRY_SECONDS = 8.0


@attrs.define(kw_only=True)
class SlotPool:
    """Slots of one endpoint.

    Attributes
    ----------
    capacity : int
        Requests that may be at the endpoint.
    leases : dict of int to (float, float)
        When each request was granted, and until when at most, by its lease.
    changed_at : float
        When the capacity was changed last.
    hold_seconds : float
        Moving average of the time that a request takes.
    retry_at : float
        When the caller that was refused last should come back.
    """

    born: int
    capacity: int
    changed_at: float
    leases: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    hold_seconds: float = FIRST_HOLD_SECONDS
    retry_at: float = 0.0

    @property
    def has_room(self) -> bool:
        """Whether a slot is free."""
        return len(self.leases) < self.capacity

    def freed_within(self, seconds: float) -> float:
        """Return the number of slots that are free, or become free, within a time."""
        free = self.capacity - len(self.leases)
        return free + self.capacity * seconds / self.hold_seconds

    def next_retry(self, now: float) -> float:
        """Return the seconds after which the next caller without a slot comes back."""
        step = self.hold_seconds / max(1, self.capacity)
        self.retry_at = min(now + MAX_RETRY_SECONDS, max(self.retry_at, now) + step)
        return self.retry_at - now


@attrs.define(kw_only=True, eq=False)
class SlotPools:
    """Slots by the instance of the endpoint; times in monotonic seconds.

    Examples
    --------
    >>> pools = SlotPools()
    >>> def ask(now):
    ...     pool = pools.pool("i", born=1, slots=1, first=1, now=now)
    ...     return pools.grant(pool, seconds=5.0, now=now)
    >>> first, second = ask(0.0), ask(0.0)
    >>> first.lease > 0, second.lease, second.wait > 0.0
    (True, 0, True)
    >>> pools.release("i", first.lease, rejected=False, now=0.1)
    >>> ask(0.1).lease > 0
    True
    """

    pools: dict[str, SlotPool] = attrs.field(factory=dict)
    last_lease: int = 0

    def pool(
        self,
        instance: str,
        *,
        born: int,
        slots: int,
        first: int,
        now: float,
        since: float = -math.inf,
    ) -> SlotPool:
        """Return the slots of an endpoint as they are now.

        Parameters
        ----------
        slots : int
            Requests that the endpoint processes at once.
        first : int
            Requests that may be at the endpoint if it is not known yet.
        since : float
            When the endpoint became fragile; what was known before is not used, unless
            slots are still taken: then it is fragile since then.
        """
        pool = self.pools.get(instance)
        if pool is not None:
            pool.leases = {
                lease: times for lease, times in pool.leases.items() if times[1] > now
            }
        if (
            pool is None
            or pool.born != born
            or (pool.changed_at < since and not pool.leases)
        ):
            pool = SlotPool(born=born, capacity=first, changed_at=now)
            self.pools[instance] = pool
        highest = slots + WAITING_PLACES
        if pool.capacity < highest and now >= pool.changed_at + RAISE_INTERVAL_SECONDS:
            pool.capacity, pool.changed_at = pool.capacity + 1, now
        return pool

    def grant(self, pool: SlotPool, *, seconds: float, now: float) -> SlotGrant:
        """Grant a slot for some seconds at most, or say when to ask again."""
        if pool.has_room:
            self.last_lease += 1
            pool.leases[self.last_lease] = now, now + seconds
            return SlotGrant(lease=self.last_lease)
        return SlotGrant(lease=0, wait=pool.next_retry(now))

    def release(self, instance: str, lease: int, *, rejected: bool, now: float) -> None:
        """Free a slot; the endpoint gets fewer requests if it rejected this one."""
        pool = self.pools.get(instance)
        if pool is None or lease not in pool.leases:
            return
        granted_at, _ = pool.leases.pop(lease)
        if rejected:
            # Others are there that this owner does not know. With none of its own, the
            # next request waits until the capacity is raised again.
            pool.capacity, pool.changed_at = max(0, pool.capacity - 1), now
            return
        pool.hold_seconds += SMOOTHING_FACTOR * (now - granted_at - pool.hold_seconds)

    def forget(self, instance: str) -> None:
        """Remove an endpoint that is gone."""
        self.pools.pop(instance, None)
