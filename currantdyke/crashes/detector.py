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
from currantdyke.crashes.table import (
    COMPLETE_RATIO,
    CRASH_RETENTION_SECONDS,
    CondemnedGroup,
    CrashTable,
)
from currantdyke.decisionlog import DecisionLog
from currantdyke.links.codec import CrashReport, GroupCondemned, KeysCleared
from currantdyke.platform.records import CrashGroupRecord

__all__ = ["CrashDetector", "Refusal"]

# Delay before a probe; an endpoint that only lost a connection accepts a new one by
# then.
PROBE_DELAY_SECONDS = 0.1
# An outage ends many runs at once; the reports of some of them suffice.
MAX_PENDING = 256
# A complete answer may have come just before its endpoint crashed. It is remembered
# until the endpoint is known to have lived on for this long after its start, or for
# longer if known crashes took longer.
ANSWERED_SECONDS = 1.0
# An endpoint of which nothing was heard for this long after an answer proves nothing.
MAX_ANSWERED_SECONDS = 10.0
# Some seconds of a daemon's requests.
MAX_ANSWERED = 256


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


@attrs.define(kw_only=True, eq=False)
class _LostRun:
    run: EndpointRun
    lost_at: float
    keys: frozenset[str]

    @property
    def seconds(self) -> float:
        """Time from the start of the run to its loss."""
        run = self.run
        return self.lost_at - (run.sent_at if run.began_at is None else run.began_at)


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
    read_lifetime : callable
        Returns the start of the lifetime that an endpoint states when it is asked, or
        None.
    pending : list
        Lost runs whose endpoints accepted a connection, or gave no sign, after the
        loss.
    answered : list of EndpointRun
        Runs that were answered, or ended by this daemon, after which their endpoints
        may still crash.
    stated : dict of str to (int, float)
        Start of the lifetime that an endpoint stated last, and when, by instance.
    heard_at : dict of str to float
        When an endpoint last showed that it lives, by instance.
    """

    table: CrashTable
    recorder: GroupRecorder
    log: DecisionLog
    broadcast: Callable[[CrashReport | KeysCleared | GroupCondemned], None]
    find_endpoint: Callable[[str], Endpoint | None]
    refuses_connections: Callable[[Endpoint], Awaitable[bool]]
    read_lifetime: Callable[[Endpoint], Awaitable[int | None]]
    tasks: anyio.abc.TaskGroup | None = None
    pending: list[_LostRun] = attrs.field(factory=list)
    answered: list[EndpointRun] = attrs.field(factory=list)
    stated: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    heard_at: dict[str, float] = attrs.field(factory=dict)
    asked: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.table.on_condemned.append(self._spread)
        self.table.on_cleared.append(self._record_end)

    async def run(self) -> None:
        """Run probes of endpoints, and record groups, until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            await self.recorder.run()

    def start_run(self, keys: frozenset[str], endpoint: Endpoint) -> EndpointRun:
        """Return the record of a run that is about to be sent."""
        stated, _ = self.stated.get(endpoint.instance, (0, 0.0))
        return EndpointRun(
            keys=keys,
            endpoint=endpoint,
            # The entry may name an earlier lifetime while the store is slow or away.
            born=max(endpoint.born, stated),
            sent_at=anyio.current_time(),
            on_progress=self.record_progress,
            on_stop=self.remember,
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

    def record_progress(self, run: EndpointRun) -> None:
        """Record that an answer has gone on or is complete."""
        self.heard_at[run.endpoint.instance] = anyio.current_time()
        if not run.complete:
            self._record_clean(run)
        elif not self._is_settled(run):
            self.remember(run)

    def remember(self, run: EndpointRun) -> None:
        """Keep a run that has ended, in case its endpoint crashes soon after."""
        if len(self.answered) < MAX_ANSWERED:
            self.answered.append(run)

    def _is_settled(self, run: EndpointRun) -> bool:
        """Clear the keys of a complete answer; return whether nothing is left open."""
        self._record_clean(run)
        seconds = [self.table.seconds_to_clear(key, True) for key in run.keys]
        return self._lived(run) >= max(ANSWERED_SECONDS, *seconds)

    def _lived(self, run: EndpointRun) -> float:
        """Return how long an endpoint is known to have lived since an answer began."""
        began_at = run.sent_at if run.began_at is None else run.began_at
        return self.heard_at.get(run.endpoint.instance, began_at) - began_at

    def _record_clean(self, run: EndpointRun) -> None:
        began_at = run.sent_at if run.began_at is None else run.began_at
        cleared = self.table.record_clean(
            run.keys,
            began_at=began_at,
            lived=self._lived(run),
            complete=run.complete,
            own=True,
        )
        if run.complete:
            for lost in self.pending:
                outlasts = self._lived(run) >= COMPLETE_RATIO * lost.seconds
                if lost.lost_at < began_at and outlasts:
                    lost.keys -= run.keys
            self.pending = [lost for lost in self.pending if lost.keys]
        if cleared:
            self.broadcast(
                KeysCleared(
                    keys=tuple(sorted(cleared)),
                    age=anyio.current_time() - began_at,
                    complete=run.complete,
                )
            )

    def handle(self, content: CrashReport | KeysCleared | GroupCondemned) -> None:
        """Apply a notification of another daemon."""
        now = anyio.current_time()
        if isinstance(content, KeysCleared):
            self.table.record_clean(
                frozenset(content.keys),
                began_at=now - content.age,
                lived=content.age,
                complete=content.complete,
                own=False,
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
            begun_age = content.begun_age
            lost_run = RunInCrash(
                keys=keys,
                sent_at=now - content.sent_age,
                began_at=now - begun_age if begun_age else None,
            )
            self.table.record_crash(
                content.endpoint,
                content.born,
                lost_run,
                at=now - content.age,
                own=False,
            )
            self.table.evaluate_request(lost_run.request)
            self._report_answered(content.endpoint, now - content.age)

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
            lost = _LostRun(run=run, lost_at=anyio.current_time(), keys=run.keys)
            self.tasks.start_soon(self._probe, lost)

    def on_endpoint_change(self, instance: str, endpoint: Endpoint | None) -> None:
        """Count the lost runs of lifetimes that the directory shows to have ended."""
        ended = [
            lost for lost in self.pending if _has_ended(lost.run, instance, endpoint)
        ]
        for lost in ended:
            self.pending.remove(lost)
            self._report(lost)
        if endpoint is None:
            self.stated.pop(instance, None)
            self.heard_at.pop(instance, None)

    async def check(self) -> None:
        """Drop what is too old, and decide what only time decides."""
        now = anyio.current_time()
        oldest = now - CRASH_RETENTION_SECONDS
        self.pending = [lost for lost in self.pending if lost.lost_at > oldest]
        self.answered = [run for run in self.answered if not self._is_done(run, now)]
        self.table.evaluate()

    def _is_done(self, run: EndpointRun, now: float) -> bool:
        """Return whether a complete answer need not be remembered any longer."""
        if self._is_settled(run) or run.sent_at < now - MAX_ANSWERED_SECONDS:
            return True
        instance = run.endpoint.instance
        if instance in self.asked or self.tasks is None:
            return False
        seconds = [self.table.seconds_to_clear(key, True) for key in run.keys]
        is_due = now >= (run.began_at or run.sent_at) + max(seconds)
        if is_due and (self.table.suspects(run.keys) or self.table.groups_of(run.keys)):
            self.asked.add(instance)
            self.tasks.start_soon(self._ask, run.endpoint)
        return False

    async def _ask(self, endpoint: Endpoint) -> None:
        """Find out whether an endpoint lives that nothing was heard of."""
        try:
            asked_at = anyio.current_time()
            if not await self.refuses_connections(endpoint):
                self.heard_at[endpoint.instance] = asked_at
        finally:
            self.asked.discard(endpoint.instance)

    async def _probe(self, lost: _LostRun) -> None:
        try:
            await anyio.sleep(PROBE_DELAY_SECONDS)
            if await self.refuses_connections(lost.run.endpoint):
                self._report(lost)
                return
            born = await self._read_lifetime(lost)
            if born is None or born == lost.run.born:
                self._keep_pending(lost)
            else:
                self._report(lost)
        finally:
            if lost.run.probed is not None:
                lost.run.probed.set()

    async def _read_lifetime(self, lost: _LostRun) -> int | None:
        """Return the lifetime that an endpoint states after a loss, or None."""
        instance = lost.run.endpoint.instance
        born, read_at = self.stated.get(instance, (0, 0.0))
        if read_at > lost.lost_at:
            return born
        now = anyio.current_time()
        answer = await self.read_lifetime(lost.run.endpoint)
        if answer is not None:
            self.stated[instance] = answer, now
        return answer

    def _keep_pending(self, lost: _LostRun) -> None:
        endpoint = lost.run.endpoint
        known = self.find_endpoint(endpoint.instance)
        if known is None or known.born > lost.run.born:
            self._report(lost)
        elif len(self.pending) < MAX_PENDING and not lost.run.abandoned:
            self.pending.append(lost)

    def _report(self, lost: _LostRun) -> None:
        run, endpoint = lost.run, lost.run.endpoint
        now = anyio.current_time()
        lost_run = RunInCrash(
            keys=lost.keys, sent_at=run.sent_at, began_at=run.began_at
        )
        event = self.table.record_crash(
            endpoint.instance, run.born, lost_run, at=lost.lost_at, own=True
        )
        self.table.evaluate_request(lost_run.request)
        self.broadcast(
            CrashReport(
                fingerprint=lost_run.request,
                endpoint=endpoint.instance,
                born=run.born,
                keys=tuple(sorted(lost.keys)),
                age=now - lost.lost_at,
                sent_age=now - run.sent_at,
                begun_age=0.0 if run.began_at is None else now - run.began_at,
            )
        )
        self.log.write(
            "endpoint_crashed",
            failure=True,
            endpoint=endpoint.instance,
            born=run.born,
            keys=sorted(lost.keys),
            begun=run.began_at is not None,
            answered=run.complete,
            seconds=round(lost.lost_at - run.sent_at, 3),
            known_after=round(now - lost.lost_at, 3),
            suspects=len(event.suspects()),
            crashes=self.table.count_crashes(lost.keys),
            refused=bool(self.table.groups_of(lost.keys)),
        )
        self._report_answered(endpoint.instance, lost.lost_at)

    def _report_answered(self, instance: str, crashed_at: float) -> None:
        """Count the answers that an endpoint completed just before a crash."""
        runs = [
            run
            for run in self.answered
            if run.endpoint.instance == instance and run.sent_at < crashed_at
        ]
        for run in runs:
            self.answered.remove(run)
        for run in runs:
            self._report(_LostRun(run=run, lost_at=crashed_at, keys=run.keys))

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


def _has_ended(run: EndpointRun, instance: str, endpoint: Endpoint | None) -> bool:
    """Whether a change of the directory shows that a run's lifetime has ended."""
    if instance == run.endpoint.instance:
        return endpoint is None or endpoint.born > run.born
    return endpoint is not None and endpoint.address == run.endpoint.address
