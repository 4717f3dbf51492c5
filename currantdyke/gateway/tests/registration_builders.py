"""A store in memory, and registrations in it, in virtual time."""

import collections
import os

import anyio

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory.replica import ChangeSet, Replica
from currantdyke.gateway.registration import LEASE_SECONDS, Registration
from currantdyke.platform.records import DaemonEntry, decode_record
from currantdyke.platform.store import (
    CALL_TIMEOUT_SECONDS,
    Change,
    ConditionFailedError,
    Lease,
    LeaseEndedError,
    StoreUnavailableError,
)

__all__ = ["ENTRY_KEY", "FOLLOW_SECONDS", "FakeStore", "build_registration"]

ENTRY_KEY = "daemons/d"
# Interval at which the replica receives changes, and leases end.
FOLLOW_SECONDS = 0.5


class FakeStore:
    """Grants leases and holds items, whose changes a replica receives.

    Attributes
    ----------
    unavailable : bool
        Whether all calls fail.
    lost_writes : int
        Number of the next writes that are not answered, and done later.
    late_seconds : float
        Seconds after which they are done.
    written : list of DaemonEntry
        Entries in the order in which they were written.
    removed_at : list of float
        Times at which an entry was removed.
    """

    def __init__(self):
        self.leases = set()
        self.ends_at = {}
        self.items = {}
        self.lease_of = {}
        self.replica = Replica()
        self.written = []
        self.removed_at = []
        self.calls = collections.Counter()
        self.unavailable = False
        self.lost_writes = 0
        self.late_seconds = 0.0
        self.granted = 0
        self.revision = 0
        self.era = 0
        self.failed_calls = 0
        self.tasks = None

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """End leases, and let the replica follow, until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            task_status.started()
            while True:
                now = anyio.current_time()
                self.leases -= {x for x in self.leases if self.ends_at[x] < now}
                for key, lease in list(self.lease_of.items()):
                    if lease not in self.leases:
                        self.remove(key)
                if not self.unavailable:
                    self.follow()
                await anyio.sleep(FOLLOW_SECONDS)

    def follow(self):
        """Let the replica receive all items."""
        items = tuple(self.items.values())
        self.replica.apply(
            ChangeSet(
                changes=items, revision=self.revision, era=self.era, is_snapshot=True
            )
        )

    async def grant_lease(self, ttl):
        self._answer("grant")
        self.granted += 1
        lease = Lease(number=self.granted, era=self.era)
        self.leases.add(lease)
        self.ends_at[lease] = anyio.current_time() + ttl
        return lease, ttl

    async def renew_lease(self, lease):
        self._answer("renew")
        if lease not in self.leases:
            raise LeaseEndedError
        self.ends_at[lease] = anyio.current_time() + LEASE_SECONDS

    async def end_lease(self, lease):
        self._answer("end")
        self.leases.discard(lease)

    async def write(self, key, value, lease):
        return await self._write_or_lose(key, value, lease, None)

    async def write_if(self, key, value, *, expected_revision, lease):
        return await self._write_or_lose(key, value, lease, expected_revision)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        self.removed_at.append(anyio.current_time())
        del self.items[key], self.lease_of[key]

    async def _write_or_lose(self, key, value, lease, expected_revision):
        self._answer("write")
        if not self.lost_writes:
            return self._write(key, value, lease, expected_revision)
        self.lost_writes -= 1
        self.tasks.start_soon(self._write_late, key, value, lease, expected_revision)
        await anyio.sleep(CALL_TIMEOUT_SECONDS)
        raise StoreUnavailableError("no answer")

    async def _write_late(self, key, value, lease, expected_revision):
        await anyio.sleep(self.late_seconds)
        try:
            self._write(key, value, lease, expected_revision)
        except (LeaseEndedError, ConditionFailedError):
            return

    def _write(self, key, value, lease, expected_revision):
        known = self.items.get(key)
        revision = 0 if known is None else known.revision
        if expected_revision not in (None, revision):
            raise ConditionFailedError
        if lease not in self.leases:
            raise LeaseEndedError
        self.revision += 1
        self.items[key] = Change(
            key=key, value=value, revision=self.revision, era=self.era
        )
        self.lease_of[key] = lease
        self.written.append(decode_record(key, value).ok)
        return self.revision

    def _answer(self, call):
        self.calls[call] += 1
        if self.unavailable:
            self.failed_calls += 1
            raise StoreUnavailableError("down")


def build_registration(store, incarnation="i", name="d"):
    """Return the registration of one run of a daemon's process."""
    return Registration(
        entry=DaemonEntry(
            name=name, ip="10.0.0.1", availability_zone="z", incarnation=incarnation
        ),
        store=store,
        replica=store.replica,
        log=DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY)),
    )
