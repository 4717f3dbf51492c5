"""Maintain this daemon's entry in the store under a lease."""

import random
from collections.abc import Callable

import anyio
import attrs

from currantdyke.core import Position
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory.replica import Replica
from currantdyke.platform.records import DaemonEntry, encode_daemon_entry
from currantdyke.platform.store import (
    ConditionFailedError,
    Lease,
    LeaseEndedError,
    StoreClient,
    StoreUnavailableError,
)

__all__ = ["REGISTRATION_CHECK_SECONDS", "Registration"]

# An entry outlives a store outage of a few seconds; other daemons detect a dead daemon
# much earlier, by its links.
LEASE_SECONDS = 20.0
RENEWALS_PER_LEASE = 4
REGISTRATION_RETRY_SECONDS = 1.0
# Interval of the checks whether the entry is there. Each may cause one write.
REGISTRATION_CHECK_SECONDS = 1.0
# All daemons retry at once in an outage, so those that still hold a lease wait longer.
RENEWAL_RETRY_SECONDS = 2.0


@attrs.define(kw_only=True, eq=False)
class Registration:
    """Registers the daemon, and does so again when its entry or its lease is lost.

    A call that was not answered may have been executed, or may be later. A write is
    repeated under the same lease, so that it makes no difference when and how often it
    is executed; and what the store holds is known from its changes, not from answers.

    A lease ends with the era of the store in which it was granted: the copy that the
    store returned from may lack it.

    Attributes
    ----------
    replica : Replica
        The items of the store as this daemon follows them.
    spread_seconds : callable
        Returns the seconds over which the daemons of the fleet register again if all
        have lost their entries, so that they stay within the store's rate of writes.
    key : str
        Key of the entry.
    value : bytes
        The entry as it was last written; it names its lease.
    written_at : Position or None
        Where the store has acknowledged the entry; None if it must be written.
    entry_lost : anyio.Event
        Set when the daemon must register again.
    """

    entry: DaemonEntry
    store: StoreClient
    replica: Replica
    log: DecisionLog
    spread_seconds: Callable[[], float] = lambda: 0.0
    lease: Lease | None = None
    key: str = ""
    value: bytes = b""
    written_at: Position | None = None
    withdrawn: bool = False
    failing: bool = False
    entry_lost: anyio.Event = attrs.field(factory=anyio.Event)
    random_source: random.Random = attrs.field(factory=random.Random)

    async def run(self) -> None:
        """Register and renew until cancelled or withdrawn."""
        while not self.withdrawn:
            was_registered = self.written_at is not None
            try:
                await self._register_or_renew()
            except LeaseEndedError:
                self.log.write("registration_ended", lease=_number(self.lease))
                self._forget_lease()
                if not was_registered:
                    await anyio.sleep(REGISTRATION_RETRY_SECONDS)
                continue
            except StoreUnavailableError as error:
                self._record_failure(str(error))
                await anyio.sleep(
                    RENEWAL_RETRY_SECONDS
                    if was_registered
                    else REGISTRATION_RETRY_SECONDS
                )
                continue
            self._record_success()
            if self.written_at is None:
                # The entry was lost during the call.
                continue
            with anyio.move_on_after(LEASE_SECONDS / RENEWALS_PER_LEASE):
                await self.entry_lost.wait()
                await anyio.sleep(
                    self.random_source.uniform(0.0, self.spread_seconds())
                )

    async def check(self) -> None:
        """Register again if the store holds no entry or another one than was written.

        Another one is that of an earlier process of this daemon, whose write was late.
        """
        if self.withdrawn or self.written_at is None:
            return
        if self.replica.position < self.written_at:
            # What is known is from before the write.
            return
        item = self.replica.items.get(self.key)
        if item is not None and item.value == self.value:
            # A repeated write may have been executed later once more.
            self.written_at = max(self.written_at, item.position)
            return
        self.log.write(
            "registration_lost",
            failure=True,
            lease=_number(self.lease),
            written_at=self.written_at.revision,
            found_at=None if item is None else item.revision,
        )
        self.written_at = None
        self._wake()

    def on_era(self, era: int) -> None:
        """Register again, as the store has returned from a copy."""
        self.store.era = max(self.store.era, era)
        if self.lease is not None and self.lease.era < era:
            self.log.write("registration_ended", lease=self.lease.number, era=era)
            self._forget_lease()
        self._wake()

    async def withdraw(self) -> None:
        """Announce that this daemon is stopping; others then choose another owner."""
        self.withdrawn = True
        if self.lease is None:
            return
        try:
            await self._announce_stop(self.lease)
            # A write that was not answered is refused from now on.
            await self.store.end_lease(self.lease)
        except (StoreUnavailableError, LeaseEndedError) as error:
            # The lease expires without further action.
            self.log.write("withdrawal_failed", failure=True, reason=str(error))

    async def _announce_stop(self, lease: Lease) -> None:
        if self.written_at is None:
            return
        entry = attrs.evolve(self.entry, leaving=True, era=lease.era)
        key, value = encode_daemon_entry(entry, lease=lease.number)
        # Without the condition, a late write would replace the entry of the process
        # that follows this one.
        try:
            await self.store.write_if(
                key, value, expected_revision=self.written_at.revision, lease=lease
            )
        except ConditionFailedError:
            self.log.write(
                "withdrawal_failed", failure=True, reason="the entry has changed"
            )

    def _wake(self) -> None:
        self.entry_lost.set()
        self.entry_lost = anyio.Event()

    def _forget_lease(self) -> None:
        self.lease = self.written_at = None

    def _record_failure(self, reason: str) -> None:
        if not self.failing:
            self.log.write("registration_failed", failure=True, reason=reason)
        self.failing = True

    def _record_success(self) -> None:
        if self.failing:
            self.log.write("registration_regained", lease=_number(self.lease))
        self.failing = False

    async def _register_or_renew(self) -> None:
        if self.lease is None:
            self.lease, _ = await self.store.grant_lease(LEASE_SECONDS)
        else:
            # An entry that is gone shows that the lease may have ended; a renewal is
            # cheaper than a write that is refused.
            await self.store.renew_lease(self.lease)
        lease = self.lease
        if lease is not None and self.written_at is None and not self.withdrawn:
            await self._write_entry(lease)

    async def _write_entry(self, lease: Lease) -> None:
        entry = attrs.evolve(self.entry, era=lease.era)
        self.key, self.value = encode_daemon_entry(entry, lease=lease.number)
        revision = await self.store.write(self.key, self.value, lease)
        if self.lease is lease:
            self.written_at = Position(lease.era, revision)
            self.log.write("registered", lease=lease.number, era=lease.era)


def _number(lease: Lease | None) -> int | None:
    """Return the store's name for a lease, for the log."""
    return None if lease is None else lease.number
