"""Records in the store which services have engines of several versions."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.platform.records import encode_versions_record
from currantdyke.platform.store import (
    LeaseEndedError,
    StoreClient,
    StoreUnavailableError,
)
from currantdyke.streamversions.client import FleetStreamVersions
from currantdyke.streamversions.table import RETENTION_SECONDS

__all__ = ["VersionsRecorder"]

# The record outlasts the last stream of the earlier version, whatever happens to all
# daemons; it is written again before that.
LEASE_SECONDS = 2 * RETENTION_SECONDS
WRITE_INTERVAL_SECONDS = RETENTION_SECONDS / 2


@attrs.define(kw_only=True, eq=False)
class VersionsRecorder:
    """Writes a record for each service with several versions, as its owner.

    Daemons that start after all others have stopped learn from it that the version of
    a stream can't be concluded from the endpoints.

    Attributes
    ----------
    is_owner : callable
        Returns whether this daemon owns a service.
    streaming : frozenset of str
        Services with streams that may be resumed; others need no record.
    written_at : dict of str to float
        When each service's record was written by this daemon.
    """

    versions: FleetStreamVersions
    store: StoreClient
    log: DecisionLog
    is_owner: Callable[[str], bool]
    streaming: frozenset[str] = frozenset()
    written_at: dict[str, float] = attrs.field(factory=dict)
    failing: bool = False

    def on_era(self, era: int) -> None:
        """Write all records again, as the store has returned from a copy."""
        self.written_at.clear()

    async def check(self) -> None:
        """Write the records that are due; if the store fails, the next check does."""
        try:
            await self.write_due()
            self.failing = False
        except (StoreUnavailableError, LeaseEndedError) as error:
            if not self.failing:
                self.log.write("versions_not_recorded", failure=True, reason=str(error))
            self.failing = True

    async def write_due(self) -> None:
        """Write the records that are due.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer; what is left is written later.
        """
        now = anyio.current_time()
        several = self.versions.services.services_with_several()
        for service in self.streaming.intersection(several):
            due_at = self.written_at.get(service, -LEASE_SECONDS)
            if now < due_at + WRITE_INTERVAL_SECONDS or not self.is_owner(service):
                continue
            lease, _ = await self.store.grant_lease(LEASE_SECONDS)
            key, value = encode_versions_record(service)
            await self.store.write(key, value, lease)
            self.written_at[service] = now
