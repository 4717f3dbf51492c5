"""Keep condemned groups in the store, and allow one trial of a group in the fleet."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.crashes.table import CondemnedGroup, CrashTable
from currantdyke.decisionlog import DecisionLog
from currantdyke.platform.records import CrashGroupRecord, encode_crash_group
from currantdyke.platform.store import (
    ConditionFailedError,
    LeaseEndedError,
    StoreClient,
    StoreUnavailableError,
)

__all__ = ["GroupRecorder"]

# A failed write is repeated; the links have spread the group already.
WRITE_INTERVAL_SECONDS = 1.0
# A group that still crashes endpoints is tried less and less often.
CONDEMNATION_GROWTH = 4.0
MAX_CONDEMNATION_SECONDS = 3_600.0
# The record of the end of a group is kept for longer than outages last in which a
# daemon cannot read it.
END_LEASE_SECONDS = 300.0
# A group that nobody has sent for this long after its condemnation is removed.
UNUSED_SECONDS = 3_600.0


@attrs.define(kw_only=True, eq=False)
class GroupRecorder:
    """Writes records of groups, each under the condition that no other daemon did.

    Attributes
    ----------
    ended : dict of str to CondemnedGroup
        Groups whose end is still to be recorded.
    trying : set of str
        Groups whose trial is being requested.
    """

    table: CrashTable
    store: StoreClient
    log: DecisionLog
    now: Callable[[], float] = anyio.current_time
    ended: dict[str, CondemnedGroup] = attrs.field(factory=dict)
    trying: set[str] = attrs.field(factory=set)
    failing: bool = False
    work: anyio.Event = attrs.field(factory=anyio.Event)

    async def run(self) -> None:
        """Write what is due until cancelled."""
        while True:
            with anyio.move_on_after(WRITE_INTERVAL_SECONDS):
                await self.work.wait()
            self.work = anyio.Event()
            try:
                await self.write_due()
            except StoreUnavailableError as error:
                self._record_failure(str(error))
                await anyio.sleep(WRITE_INTERVAL_SECONDS)

    def notify(self) -> None:
        """Write without delay what has become due."""
        self.work.set()

    async def write_due(self) -> None:
        """Write the records that are due.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer; what is left is written later.
        """
        now = self.now()
        for group in list(self.table.groups.values()):
            if not group.revision and group.record_at <= now < group.until:
                await self._create(group)
            elif group.revision and group.until + UNUSED_SECONDS < now:
                self.ended[group.group] = group
                self.table.drop(group, reason="not sent any more")
        for group in list(self.ended.values()):
            await self._record_end(group)

    async def claim_trial(self, group: CondemnedGroup) -> bool:
        """Return whether this daemon may send one request of a group.

        The claim condemns the group for longer at once. If the request crashes an
        endpoint or its daemon fails, nothing remains to be written.
        """
        if not group.revision or group.until > self.now() or group.group in self.trying:
            return False
        seconds = min(group.seconds * CONDEMNATION_GROWTH, MAX_CONDEMNATION_SECONDS)
        self.trying.add(group.group)
        try:
            revision = await self._write(group, seconds, group.revision)
        except ConditionFailedError:
            return False
        except StoreUnavailableError as error:
            self._record_failure(str(error))
            return False
        finally:
            self.trying.discard(group.group)
        group.revision = revision
        group.seconds = seconds
        group.until = self.now() + seconds
        self.log.write(
            "crash_trial",
            group=group.group,
            keys=sorted(group.keys),
            next_trial_after=seconds,
        )
        return True

    async def _create(self, group: CondemnedGroup) -> None:
        expected = self.table.ended_revisions.get(group.group, 0)
        try:
            revision = await self._write(group, group.until - self.now(), expected)
        except ConditionFailedError:
            # Another daemon was first; the directory brings its record.
            group.record_at = group.until
            return
        group.revision = revision

    async def _write(
        self, group: CondemnedGroup, seconds: float, expected_revision: int
    ) -> int:
        record = CrashGroupRecord(
            group=group.group,
            keys=tuple(sorted(group.recorded_keys)),
            seconds=seconds,
            crashes=group.crashes,
        )
        key, value = encode_crash_group(record)
        revision = await self.store.write_if(
            key, value, expected_revision=expected_revision
        )
        self.failing = False
        return revision

    async def _record_end(self, group: CondemnedGroup) -> None:
        if group.revision:
            record = CrashGroupRecord(
                group=group.group, keys=tuple(sorted(group.recorded_keys)), seconds=0.0
            )
            key, value = encode_crash_group(record)
            try:
                lease, _ = await self.store.grant_lease(END_LEASE_SECONDS)
                await self.store.write_if(
                    key, value, expected_revision=group.revision, lease=lease
                )
            except (ConditionFailedError, LeaseEndedError) as error:
                # The record is another one by now, and its writer decides.
                self.log.write(
                    "crash_group_end_not_recorded",
                    group=group.group,
                    reason=type(error).__name__,
                )
        self.ended.pop(group.group, None)

    def _record_failure(self, reason: str) -> None:
        if not self.failing:
            self.log.write("crash_group_not_recorded", failure=True, reason=reason)
        self.failing = True
