"""Maintain this daemon's entry in the store under a lease."""

import anyio
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.platform.records import DaemonEntry, encode_daemon_entry
from currantdyke.platform.store import (
    LeaseEndedError,
    StoreClient,
    StoreUnavailableError,
)

__all__ = ["Registration"]

# An entry outlives a store outage of a few seconds; other daemons detect a dead daemon
# much earlier, by its links.
LEASE_SECONDS = 20.0
RENEWALS_PER_LEASE = 4
REGISTRATION_RETRY_SECONDS = 1.0
# All daemons retry at once in an outage, so those that still hold a lease wait longer.
RENEWAL_RETRY_SECONDS = 2.0


@attrs.define(kw_only=True, eq=False)
class Registration:
    """Registers the daemon, and does so again when its lease has ended."""

    entry: DaemonEntry
    store: StoreClient
    log: DecisionLog
    lease: int | None = None
    withdrawn: bool = False
    failing: bool = False

    async def run(self) -> None:
        """Register and renew until cancelled or withdrawn."""
        while not self.withdrawn:
            try:
                if self.lease is None:
                    await self._register()
                else:
                    await self.store.renew_lease(self.lease)
            except LeaseEndedError:
                self.log.write("registration_ended", lease=self.lease)
                self.lease = None
                continue
            except StoreUnavailableError as error:
                self._record_failure(str(error))
                has_lease = self.lease is not None
                await anyio.sleep(
                    RENEWAL_RETRY_SECONDS if has_lease else REGISTRATION_RETRY_SECONDS
                )
                continue
            self._record_success()
            await anyio.sleep(LEASE_SECONDS / RENEWALS_PER_LEASE)

    async def withdraw(self) -> None:
        """Announce that this daemon is stopping; others then choose another owner."""
        self.withdrawn = True
        if self.lease is None:
            return
        key, value = encode_daemon_entry(attrs.evolve(self.entry, leaving=True))
        try:
            await self.store.write(key, value, self.lease)
            await self.store.end_lease(self.lease)
        except (StoreUnavailableError, LeaseEndedError) as error:
            # The lease expires without further action.
            self.log.write("withdrawal_failed", failure=True, reason=str(error))

    def _record_failure(self, reason: str) -> None:
        if not self.failing:
            self.log.write("registration_failed", failure=True, reason=reason)
        self.failing = True

    def _record_success(self) -> None:
        if self.failing:
            self.log.write("registration_regained", lease=self.lease)
        self.failing = False

    async def _register(self) -> None:
        lease, _ = await self.store.grant_lease(LEASE_SECONDS)
        key, value = encode_daemon_entry(self.entry)
        await self.store.write(key, value, lease)
        self.lease = lease
        self.log.write("registered", lease=lease)
