"""Tell crashed endpoints from lost connections, and share what is learned."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.crashes.evidence import RunInCrash
from currantdyke.crashes.keys import request_key
from currantdyke.crashes.recorder import GroupRecorder
from currantdyke.crashes.runs import EndpointRun
from currantdyke.crashes.table import CondemnedGroup, CrashTable
from currantdyke.decisionlog import DecisionLog
from currantdyke.links.codec import CrashReport, GroupCondemned, KeysCleared
from currantdyke.platform.records import CrashGroupRecord

__all__ = ["CrashDetector", "Refusal"]

# Delay before a probe; an endpoint that only lost a connection accepts a new one by
# then.
PROBE_DELAY_SECONDS = 0.1
# Time in which the directory shows that a lost run belonged to a lifetime that has
# ended; entries of crashed endpoints leave the store after three heartbeats.
PENDING_SECONDS = 6.0
MAX_PENDING = 256


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request is not sent to endpoints.

    Attributes
    ----------
    retry_after : float
        Seconds until it may be sent again.
    """

    detail: str
    retry_after: float


@attrs.frozen(kw_only=True)
class _LostRun:
    run: EndpointRun
    lost_at: float


@attrs.define(kw_only=True, eq=False)
class CrashDetector:
    """Follows runs, reports crashes and decides which requests are refused.

    Attributes
    ----------
    broadcast : callable
        Sends a notification to all other daemons.
    find_endpoint : callable
        Returns the announced endpoint of an instance, or None.
    refuses_connections : callable
        Returns whether nothing listens at an endpoint.
    pending : list
        Lost runs whose endpoints accepted a connection, or gave no sign, after the
        loss.
    """

    table: CrashTable
    recorder: GroupRecorder
    log: DecisionLog
    broadcast: Callable[[CrashReport | KeysCleared | GroupCondemned], None]
    find_endpoint: Callable[[str], Endpoint | None]
    refuses_connections: Callable[[Endpoint], Awaitable[bool]]
    tasks: anyio.abc.TaskGroup | None = None
    pending: list[_LostRun] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.table.on_condemned.append(self._spread)
        self.table.on_cleared.append(self._record_end)

    async def run(self) -> None:
        """Run probes of endpoints, and record groups, until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            await self.recorder.run()

    def start_run(self, keys: frozenset[str], endpoint: Endpoint) -> EndpointRun:
        """Return the record of a run that is about to be sent."""
        now = anyio.current_time()
        return EndpointRun(
            keys=keys,
            endpoint=endpoint,
            sent_at=now,
            on_clean=self.record_clean,
            on_loss=self.start_probe,
        )

    def refusal(
        self, keys: frozenset[str], *, trial_of: frozenset[str] = frozenset()
    ) -> Refusal | None:
        """Return why a request may not be sent, or None.

        Parameters
        ----------
        trial_of : frozenset of str
            Groups for which this request is the trial.
        """
        groups = [
            group for group in self.table.groups_of(keys) if group.group not in trial_of
        ]
        if not groups:
            return None
        self.table.total_refused += 1
        seconds = max(self.table.retry_after(group) for group in groups)
        names = ", ".join(sorted(groups[0].keys))
        return Refusal(
            detail=f"requests of its kind crashed endpoints ({names})",
            retry_after=seconds,
        )

    async def claim_trials(self, keys: frozenset[str]) -> frozenset[str]:
        """Return the groups of a request for which it may be the fleet's trial."""
        groups = self.table.groups_of(keys)
        if any(group.until > self.table.now() for group in groups):
            return frozenset()
        claimed = [
            group.group for group in groups if await self.recorder.claim_trial(group)
        ]
        return frozenset(claimed)

    def record_clean(self, keys: frozenset[str], began_at: float) -> None:
        """Record that an answer caused no crash."""
        cleared = self.table.record_clean(keys, began_at=began_at, own=True)
        if cleared:
            age = anyio.current_time() - began_at
            self.broadcast(KeysCleared(keys=tuple(sorted(cleared)), age=age))

    def handle(self, content: CrashReport | KeysCleared | GroupCondemned) -> None:
        """Apply a notification of another daemon."""
        now = anyio.current_time()
        if isinstance(content, KeysCleared):
            self.table.record_clean(
                frozenset(content.keys), began_at=now - content.age, own=False
            )
        elif isinstance(content, GroupCondemned):
            self.table.adopt(
                frozenset(content.keys),
                seconds=content.seconds,
                left=content.seconds,
                crashes=content.crashes,
                source="peer",
            )
        else:
            # A daemon of an earlier build names only the request.
            keys = frozenset(content.keys or (request_key(content.fingerprint),))
            lost_run = RunInCrash(keys=keys, sent_at=now - content.sent_age)
            self.table.record_crash(
                content.endpoint,
                content.born,
                lost_run,
                at=now - content.age,
                own=False,
            )
            self.table.evaluate_request(lost_run.request)

    def on_record(
        self, group: str, record: CrashGroupRecord | None, revision: int
    ) -> None:
        """Apply the record of a group that was written to the store, or removed."""
        if record is None:
            self.table.record_removed(group)
        elif record.seconds <= 0.0:
            self.table.end(group, revision)
        else:
            self.table.adopt(
                frozenset(record.keys),
                seconds=record.seconds,
                left=record.seconds,
                crashes=record.crashes,
                source="store",
                revision=revision,
            )

    def start_probe(self, run: EndpointRun) -> None:
        """Start a probe of an endpoint that gave no complete, valid response."""
        if self.tasks is not None:
            lost = _LostRun(run=run, lost_at=anyio.current_time())
            self.tasks.start_soon(self._probe, lost)

    def on_endpoint_change(self, instance: str, endpoint: Endpoint | None) -> None:
        """Count the lost runs of lifetimes that the directory shows to have ended."""
        ended = [
            lost
            for lost in self.pending
            if _has_ended(lost.run.endpoint, instance, endpoint)
        ]
        for lost in ended:
            self.pending.remove(lost)
            self._report(lost)

    async def check(self) -> None:
        """Drop what is too old, and decide what only time decides."""
        oldest = anyio.current_time() - PENDING_SECONDS
        self.pending = [lost for lost in self.pending if lost.lost_at > oldest]
        self.table.evaluate()

    async def _probe(self, lost: _LostRun) -> None:
        try:
            await anyio.sleep(PROBE_DELAY_SECONDS)
            if await self.refuses_connections(lost.run.endpoint):
                self._report(lost)
            else:
                self._keep_pending(lost)
        finally:
            if lost.run.probed is not None:
                lost.run.probed.set()

    def _keep_pending(self, lost: _LostRun) -> None:
        endpoint = lost.run.endpoint
        known = self.find_endpoint(endpoint.instance)
        if known is None or known.born != endpoint.born:
            self._report(lost)
        elif len(self.pending) < MAX_PENDING and not lost.run.abandoned:
            self.pending.append(lost)

    def _report(self, lost: _LostRun) -> None:
        run, endpoint = lost.run, lost.run.endpoint
        now = anyio.current_time()
        lost_run = RunInCrash(keys=run.keys, sent_at=run.sent_at)
        event = self.table.record_crash(
            endpoint.instance,
            endpoint.born,
            lost_run,
            at=lost.lost_at,
            own=True,
        )
        self.table.evaluate_request(lost_run.request)
        self.broadcast(
            CrashReport(
                fingerprint=lost_run.request,
                endpoint=endpoint.instance,
                born=endpoint.born,
                keys=tuple(sorted(run.keys)),
                age=now - lost.lost_at,
                sent_age=now - run.sent_at,
            )
        )
        self.log.write(
            "endpoint_crashed",
            failure=True,
            endpoint=endpoint.instance,
            born=endpoint.born,
            keys=sorted(run.keys),
            begun=run.began_at is not None,
            suspects=len(event.suspects()),
            crashes=self.table.count_crashes(run.keys),
            refused=bool(self.table.groups_of(run.keys)),
        )

    def _spread(self, group: CondemnedGroup) -> None:
        left = group.until - anyio.current_time()
        self.broadcast(
            GroupCondemned(
                keys=tuple(sorted(group.recorded_keys)),
                seconds=left,
                crashes=group.crashes,
            )
        )
        self.recorder.notify()

    def _record_end(self, group: CondemnedGroup) -> None:
        self.recorder.ended[group.group] = group
        self.recorder.notify()


def _has_ended(lost: Endpoint, instance: str, endpoint: Endpoint | None) -> bool:
    """Whether a change of the directory shows that an endpoint's lifetime has ended."""
    if instance == lost.instance:
        return endpoint is None or endpoint.born != lost.born
    return endpoint is not None and endpoint.address == lost.address
