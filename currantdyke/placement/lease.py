"""The right to order one service's endpoints, held by one daemon at a time."""

import secrets

import anyio
import attrs

from currantdyke.store import Store, settled_swap

__all__ = ["LEASE_SECONDS", "ServiceLease"]

DUTY = "placement"
PREFIX = "currantdyke/placement/holder"
LEASE_SECONDS = 10
MARGIN_SECONDS = 2.0
ACQUIRE_SECONDS = 5.0
NONCE_BYTES = 6


@attrs.define(kw_only=True, eq=False)
class ServiceLease:
    """A lease on a service's key, seen from the daemon that wants it.

    The holder counts it from before the call that granted or renewed it was sent,
    on the monotonic clock, and stops a margin early.  A holder that was paused
    therefore finds it lapsed as soon as it looks.

    Attributes
    ----------
    fencing : int
        Revision of the holder's key: each later holder's is higher.
    acquired : float
        Monotonic time at which the key was last taken.
    until : float
        Monotonic time until which the lease may be used.
    """

    store: Store
    service: str
    daemon: str
    seconds: int = LEASE_SECONDS
    lease: int = 0
    fencing: int = 0
    acquired: float = 0.0
    until: float = float("-inf")

    def holds(self) -> bool:
        """Return whether an order may be sent now."""
        return anyio.current_time() < self.until

    async def keep(self) -> bool:
        """Renew the lease or take a free one; return whether it is held."""
        if self.lease and await self._renew():
            return True
        if self.holds():
            return True
        await self._acquire()
        return self.holds()

    async def _renew(self) -> bool:
        sent = anyio.current_time()
        answer = await self.store.keep_alive(self.lease, duty=DUTY)
        if answer.is_error():
            return False
        if not answer.ok:
            self._lose()
            return False
        found = await self.store.get(self._key(), duty=DUTY)
        if found.is_error():
            return False
        if found.ok is None or found.ok.revision != self.fencing:
            self._lose()
            return False
        self.until = sent + self.seconds - MARGIN_SECONDS
        return True

    async def _acquire(self) -> None:
        self._lose()
        found = await self.store.get(self._key(), duty=DUTY)
        if found.is_error() or found.ok is not None:
            return
        sent = anyio.current_time()
        granted = await self.store.grant_lease(self.seconds, duty=DUTY)
        if granted.is_error():
            return
        nonce = f"{self.daemon}.{secrets.token_hex(NONCE_BYTES)}".encode()
        taken = await settled_swap(
            self.store,
            self._key(),
            0,
            nonce,
            is_mine=nonce.__eq__,
            duty=DUTY,
            deadline=sent + ACQUIRE_SECONDS,
            lease=granted.ok,
        )
        if taken.is_error():
            return
        self.lease = granted.ok
        self.fencing = taken.ok.revision
        self.acquired = anyio.current_time()
        self.until = sent + self.seconds - MARGIN_SECONDS

    def _lose(self) -> None:
        self.lease = 0
        self.until = float("-inf")

    def _key(self) -> str:
        return f"{PREFIX}/{self.service}"
