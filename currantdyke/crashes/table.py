"""Crashes of endpoints, and the groups of requests that are refused because of them."""

import random
from collections.abc import Callable, Iterable

import attrs
import xxhash

from currantdyke.crashes.evidence import (
    CRASHES_TO_CONDEMN,
    CrashEvent,
    CrashGroup,
    RunInCrash,
    find_groups,
)
from currantdyke.crashes.keys import is_request_key
from currantdyke.decisionlog import DecisionLog

__all__ = ["CondemnedGroup", "CrashTable", "group_id"]

# Older crashes are not counted. A crashed endpoint restarts after some seconds, and
# requests of one kind are sent again within about the same time.
CRASH_RETENTION_SECONDS = 120.0
# Reports of all daemons on a crash arrive within this time: a probe and a link. Before,
# the run that caused it may be missing.
REPORT_SECONDS = 0.3
# Ratios of the time for which an endpoint lives on after the start of an answer to the
# time that known crashes took after the start of a run with the same key. An answer
# that goes on must outlast the slowest crash, since an endpoint that crashes may write
# on for a while. For a complete answer the quickest one counts: keys that many requests
# share are lost in crashes at any time of their runs.
ONGOING_RATIO = 2.0
COMPLETE_RATIO = 1.5
# Crashes that are known may all have been quicker than others will be.
MIN_ONGOING_SECONDS = 1.0
FIRST_CONDEMNATION_SECONDS = 60.0
MAX_EVENTS = 64
MAX_RUNS_PER_EVENT = 64
MAX_GROUPS = 256
# Daemons other than the one that reported the deciding crash record a group only if
# that one does not, after a random delay within these bounds in seconds.
RECORD_DELAY_SECONDS = (2.0, 6.0)
# Advice to callers while another daemon may be trying whether a group still crashes.
MIN_RETRY_AFTER_SECONDS = 1.0


def group_id(keys: frozenset[str]) -> str:
    """Return the identifier of the group that is refused for these keys."""
    return xxhash.xxh64("\n".join(sorted(keys)).encode()).hexdigest()


@attrs.define(kw_only=True, eq=False)
class CondemnedGroup:
    """Requests that are refused: those that have all of some keys.

    Attributes
    ----------
    recorded_keys, keys : frozenset of str
        Keys at the decision, and those of them that no answer has cleared since.
    at : float
        Time of the last crash that is known to belong to the group.
    until : float
        Time at which one request of the group may be tried.
    seconds : float
        Duration of the condemnation.
    revision : int or None
        Revision of the record in the store; None if there is none as far as known.
    record_at : float
        Time at which this daemon writes the record unless another one did.
    """

    group: str
    recorded_keys: frozenset[str]
    keys: frozenset[str]
    at: float
    until: float
    seconds: float
    crashes: int
    record_at: float
    revision: int | None = None


@attrs.define(kw_only=True, eq=False)
class CrashTable:
    """Evidence and condemned groups of one daemon.

    Attributes
    ----------
    now : callable
        Returns the monotonic time in seconds.
    on_condemned, on_cleared : list of callable
        Called with a group that this daemon has condemned by its own evidence, and with
        one that an answer has cleared.
    ended_revisions : dict of str to int
        Revisions of the records, still in the store, that ended groups.
    changed : bool
        Whether there is evidence that has not been evaluated.
    total_events, total_refused : int
        Counters since the start.
    """

    now: Callable[[], float]
    log: DecisionLog
    events: list[CrashEvent] = attrs.field(factory=list)
    groups: dict[str, CondemnedGroup] = attrs.field(factory=dict)
    on_condemned: list[Callable[[CondemnedGroup], None]] = attrs.field(factory=list)
    on_cleared: list[Callable[[CondemnedGroup], None]] = attrs.field(factory=list)
    ended_revisions: dict[str, int] = attrs.field(factory=dict)
    random_source: random.Random = attrs.field(factory=random.Random)
    changed: bool = False
    total_events: int = 0
    total_refused: int = 0

    def groups_of(self, keys: frozenset[str]) -> list[CondemnedGroup]:
        """Return the condemned groups to which a request with these keys belongs."""
        if not self.groups:
            return []
        return [group for group in self.groups.values() if group.keys <= keys]

    def count_crashes(self, keys: frozenset[str]) -> int:
        """Return the most crashes of which one of the keys is a suspect."""
        suspects = [event.suspects() for event in self.events]
        return max(sum(key in suspected for suspected in suspects) for key in keys)

    def suspects(self, keys: frozenset[str]) -> bool:
        """Return whether one of the keys is suspected of a crash that is known."""
        return any(
            event.delays(key) is not None for event in self.events for key in keys
        )

    def record_crash(
        self, endpoint: str, born: int, run: RunInCrash, *, at: float, own: bool
    ) -> CrashEvent:
        """Record a run that was lost in a crash of an endpoint.

        Parameters
        ----------
        own : bool
            Whether this daemon lost the run; it then records a group at once.
        """
        event = self._find_event(endpoint, born, run, at)
        if event is None:
            event = CrashEvent(endpoint=endpoint, born=born, at=at)
            self.events.append(event)
            self.total_events += 1
            del self.events[:-MAX_EVENTS]
        event.at = min(event.at, at)
        if len(event.runs) < MAX_RUNS_PER_EVENT:
            event.add_run(run)
        for group in self.groups_of(run.keys):
            group.at = max(group.at, event.at)
        event.own = event.own or own
        self.changed = True
        return event

    def record_clean(
        self,
        keys: frozenset[str],
        *,
        began_at: float,
        lived: float,
        complete: bool,
        own: bool,
    ) -> frozenset[str]:
        """Record that an answer began, and that its endpoint has lived on.

        Parameters
        ----------
        lived : float
            Seconds after the start of the answer for which the endpoint is known to
            have lived.
        complete : bool
            Whether the whole answer has arrived. Only such an answer ends a group.
        own : bool
            Whether this daemon sent the request; it then records the end of a group.

        Returns
        -------
        frozenset of str
            The keys that this cleared of a crash or of a condemnation.
        """
        if not self.events and not self.groups:
            return frozenset()
        proven = frozenset(
            key for key in keys if lived >= self.seconds_to_clear(key, complete)
        )
        cleared: set[str] = set()
        for event in self.events:
            if event.at < began_at:
                new = (proven & event.starts.keys()) - event.cleared
                event.cleared |= new
                cleared |= new
        self.changed = self.changed or bool(cleared)
        if not complete:
            return frozenset(cleared)
        for group in list(self.groups.values()):
            if group.at < began_at and proven & group.keys:
                cleared |= proven & group.keys
                group.keys -= proven
                if not group.keys:
                    self.drop(group, reason="an answer was complete")
                    if own:
                        for callback in self.on_cleared:
                            callback(group)
        return frozenset(cleared)

    def seconds_to_clear(self, key: str, complete: bool) -> float:
        """Return how long an endpoint must live on after the start of an answer.

        Before, an answer with this key says nothing about the crashes that are known.
        """
        known = [
            delays for event in self.events if (delays := event.delays(key)) is not None
        ]
        if complete:
            return COMPLETE_RATIO * min((last for _, last in known), default=0.0)
        longest = max((first for first, _ in known), default=0.0)
        return max(MIN_ONGOING_SECONDS, ONGOING_RATIO * longest)

    def evaluate_request(self, request: str) -> None:
        """Evaluate at once if repeats of one request may have to be refused.

        Parameters
        ----------
        request : str
            The key of the request in a report that was recorded just now.
        """
        if self.count_crashes(frozenset((request,))) >= CRASHES_TO_CONDEMN:
            self.evaluate()

    def evaluate(self) -> None:
        """Drop old crashes and condemn the groups that the others show."""
        now = self.now()
        oldest = now - CRASH_RETENTION_SECONDS
        self.events = [event for event in self.events if event.at >= oldest]
        if self.changed:
            reported = now - REPORT_SECONDS
            settled = [event for event in self.events if event.at <= reported]
            self.changed = len(settled) < len(self.events)
            for found in self._find_groups(settled):
                self._condemn(found)
            # The hash of a request names it, whatever else ran on the endpoints.
            for found in self._find_groups(self.events):
                if any(map(is_request_key, found.keys)):
                    self._condemn(found)
        for group in list(self.groups.values()):
            # Without its record, nothing but time ends a group.
            if group.revision == 0 and group.until < now:
                self.drop(group, reason="its record was removed")

    def adopt(
        self,
        keys: frozenset[str],
        *,
        seconds: float,
        left: float,
        crashes: int,
        source: str,
        revision: int | None = None,
    ) -> None:
        """Refuse the requests of a group that another daemon has condemned.

        Parameters
        ----------
        seconds, left : float
            Duration of the condemnation, and what is left of it.
        revision : int or None
            Revision of the record in the store; None if a peer reports it.
        """
        now = self.now()
        group = self.groups.get(group_id(keys))
        if group is None:
            group = self._add_group(
                keys, at=now, seconds=seconds, crashes=crashes, source=source
            )
            group.record_at = now + self._record_delay(keys)
            group.until = now + left
        if revision is not None and revision != group.revision:
            group.revision = revision
            group.seconds = seconds
            group.until = now + left

    def record_removed(self, group_name: str) -> None:
        """Refuse on until the condemnation ends, as the record has gone.

        It may be gone because the store returned from an older copy; its removal alone
        proves nothing.
        """
        self.ended_revisions.pop(group_name, None)
        group = self.groups.get(group_name)
        if group is not None:
            group.revision = 0
            delay = self.random_source.uniform(*RECORD_DELAY_SECONDS)
            group.record_at = self.now() + delay

    def end(self, group_name: str, revision: int) -> None:
        """Refuse a group no longer: a daemon recorded that it crashes no endpoints."""
        self.ended_revisions[group_name] = revision
        group = self.groups.get(group_name)
        if group is not None:
            self.drop(group, reason="recorded by another daemon")

    def drop(self, group: CondemnedGroup, *, reason: str) -> None:
        """Remove a group with the crashes that it explains."""
        del self.groups[group.group]
        self.events = [
            event
            for event in self.events
            if not event.is_explained_by(group.recorded_keys)
        ]
        self.log.write(
            "crash_group_cleared",
            group=group.group,
            keys=sorted(group.recorded_keys),
            reason=reason,
        )

    def retry_after(self, group: CondemnedGroup) -> float:
        """Return the seconds until a request of a group may be sent again."""
        return max(MIN_RETRY_AFTER_SECONDS, group.until - self.now())

    def _find_event(
        self, endpoint: str, born: int, run: RunInCrash, at: float
    ) -> CrashEvent | None:
        """Return the known crash in which a run was lost, or None."""
        return next(
            (
                event
                for event in self.events
                if event.endpoint == endpoint
                and event.may_contain(run, born, at, REPORT_SECONDS)
            ),
            None,
        )

    def _find_groups(self, events: Iterable[CrashEvent]) -> list[CrashGroup]:
        refused = [group.keys for group in self.groups.values()]
        return find_groups(events, refused=refused)

    def _condemn(self, found: CrashGroup) -> None:
        now = self.now()
        if group_id(found.keys) in self.groups:
            return
        last = max(found.events, key=lambda event: event.at)
        group = self._add_group(
            found.keys,
            at=last.at,
            seconds=FIRST_CONDEMNATION_SECONDS,
            crashes=len(found.events),
            source="own evidence",
        )
        group.until = now + group.seconds
        group.record_at = now + self._record_delay(found.keys)
        for callback in self.on_condemned:
            callback(group)

    def _record_delay(self, keys: frozenset[str]) -> float:
        explained = [e for e in self.events if e.is_explained_by(keys)]
        last = max(explained, key=lambda event: event.at, default=None)
        if last is not None and last.own:
            return 0.0
        return self.random_source.uniform(*RECORD_DELAY_SECONDS)

    def _add_group(
        self,
        keys: frozenset[str],
        *,
        at: float,
        seconds: float,
        crashes: int,
        source: str,
    ) -> CondemnedGroup:
        group = CondemnedGroup(
            group=group_id(keys),
            recorded_keys=keys,
            keys=keys,
            at=at,
            until=at + seconds,
            seconds=seconds,
            crashes=crashes,
            record_at=at,
        )
        self.groups[group.group] = group
        while len(self.groups) > MAX_GROUPS:
            del self.groups[next(iter(self.groups))]
        self.log.write(
            "crash_group_condemned",
            failure=True,
            group=group.group,
            keys=sorted(keys),
            crashes=crashes,
            seconds=round(seconds, 1),
            source=source,
        )
        return group
