"""The configuration, endpoints and daemons that are known to this daemon."""

import math
import time
from collections.abc import Callable
from typing import Any, cast

import anyio
import attrs

from currantdyke.catalog import Catalog, Endpoint, RouteTable
from currantdyke.core import Position, boot_time
from currantdyke.decisionlog import DecisionLog, log_internal_error
from currantdyke.directory.endpoints import EndpointTable
from currantdyke.directory.evacuations import EvacuationReport, drop_values
from currantdyke.directory.newest import NewestConfiguration
from currantdyke.directory.replica import ChangeSet, Replica
from currantdyke.largevalues.messages import ValueOffer
from currantdyke.platform.records import (
    CONFIGURATION_KEY,
    CrashGroupRecord,
    DaemonEntry,
    EvacuationRecord,
    VersionsRecord,
    decode_record,
    record_kind,
)
from currantdyke.platform.store import Change

__all__ = ["Directory"]

# Longer than the outages of the store, and of the links to it, that must be tolerated.
DAEMON_RETENTION_SECONDS = 30.0
# After a configuration became known that is not in force here, peers are asked for one
# that this daemon has passed over, until so many have answered, since one of them may
# have passed it over too, or for longer than the outages of links that are tolerated.
SEEK_ANSWERS = 3
SEEK_SECONDS = 30.0

# Called with the name of a group, its record, or None if it was removed, and the
# revision of the change.
CrashGroupCallback = Callable[[str, CrashGroupRecord | None, int], None]


@attrs.define(kw_only=True, eq=False)
class Directory:
    """Typed view of the replica; the configuration version never decreases.

    Attributes
    ----------
    routes : RouteTable or None
        Index of the configuration in force.
    daemons : dict of str to DaemonEntry
        Daemons by name. One whose entry ended is kept for a while: it may only have
        lost its connection to the store, and its links show whether it is running.
    departed : dict of str to float
        Time at which the entry of such a daemon ended, by name.
    listed : bool
        Whether a complete list of endpoints was received at least once.
    configuration_delay : float
        Seconds within which each daemon must follow a new configuration.
    current_at : float
        Time on ``clock`` up to which every change that the store had acknowledged is
        contained.
    current_by : str
        Source of the changes that showed this: "store", "relay" or "peer"; empty
        before the first.
    configured_at : Position
        Position of the document of the configuration in force, or of the last one with
        the same content.
    newest : NewestConfiguration
        The newest configuration that is known to exist.
    untold_until : Position
        A configuration may have been written up to this position of which a daemon did
        not tell that led here.
    passed_over_at : float
        Time on ``clock`` at which a configuration was last learned of that was neither
        put in force nor is still to be fetched.
    seek_answers : int
        Number of answers of peers in which it is still sought.
    awaits_peers : callable
        Returns whether a peer may yet tell of a version that the store has lost.
    clock : callable
        Returns the time in seconds, suspensions of the VM included.
    evacuations : EvacuationReport
        Logs which availability zones are evacuated.
    unreadable_count : int
        Number of items that could not be decoded or used.
    on_era : list of callable
        Called with the era once the state that the store returned to is known.
    """

    log: DecisionLog
    replica: Replica = attrs.field(
        factory=lambda: Replica(retained=(CONFIGURATION_KEY,))
    )
    endpoints: EndpointTable = attrs.field(
        factory=lambda: EndpointTable(now=anyio.current_time)
    )
    daemons: dict[str, DaemonEntry] = attrs.field(factory=dict)
    departed: dict[str, float] = attrs.field(factory=dict)
    routes: RouteTable | None = None
    configuration_applied_at: float = 0.0
    listed: bool = False
    configuration_delay: float = 2.0
    current_at: float = float("-inf")
    current_by: str = ""
    configured_at: Position = Position()
    newest: NewestConfiguration = NewestConfiguration()
    untold_until: Position = Position()
    passed_over_at: float = float("-inf")
    seek_answers: int = 0
    awaits_peers: Callable[[], bool] = lambda: False
    clock: Callable[[], float] = boot_time
    unreadable_count: int = 0
    on_configuration: list[Callable[[Catalog], None]] = attrs.field(factory=list)
    on_crash_group: list[CrashGroupCallback] = attrs.field(factory=list)
    on_versions_record: list[Callable[[str, bool], None]] = attrs.field(factory=list)
    on_era: list[Callable[[int], None]] = attrs.field(factory=list)
    evacuations: EvacuationReport = attrs.field(
        default=attrs.Factory(
            lambda self: EvacuationReport(endpoints=self.endpoints, log=self.log),
            takes_self=True,
        )
    )

    @property
    def era(self) -> int:
        """The era of the store that is known; 0 if it names none."""
        return self.replica.listed.era

    @property
    def complete(self) -> bool:
        """Whether both a configuration and a list of endpoints are available."""
        return self.routes is not None and self.listed

    @property
    def age(self) -> float:
        """Seconds since the state was current; infinite if nothing was read yet."""
        return self.clock() - self.current_at

    @property
    def is_recent(self) -> bool:
        """Whether the state was current less than ``configuration_delay`` ago."""
        return self.age < self.configuration_delay

    @property
    def has_newest(self) -> bool:
        """Whether the configuration in force is the newest that is known to exist."""
        return (
            self.routes is not None
            and self.configured_at >= self.newest.position
            and self.routes.catalog.version >= self.newest.version
            and self._knows_all_written
        )

    @property
    def decides(self) -> bool:
        """Whether the configuration in force may be the reason for a final refusal.

        It may if it is the newest that is known to exist, and any configuration that
        this daemon does not know was acknowledged by the store less than
        ``configuration_delay`` ago. After the start, and after a return of the store,
        a peer is heard first.
        """
        return self.has_newest and self.is_recent and not self.awaits_peers()

    @property
    def seeks_after(self) -> Position | None:
        """Position after which a configuration is asked of peers; None if none is.

        A list of the store shows the last document alone. If it can't be used, peers
        may have one in force that was written between it and the one in force here.
        """
        seeks = (
            self._passed_over
            and self.seek_answers > 0
            and self.clock() - self.passed_over_at < SEEK_SECONDS
        )
        return self.configured_at if seeks else None

    @property
    def _passed_over(self) -> bool:
        """Whether a later configuration than the one in force can't be used."""
        return self.configured_at < self.newest.position and all(
            o.key != CONFIGURATION_KEY for o in self.replica.awaited
        )

    @property
    def _knows_all_written(self) -> bool:
        """Whether no configuration is newer than the newest of which it is known."""
        return self.newest.position >= self.untold_until

    def apply(self, changes: ChangeSet, *, source: str) -> int:
        """Apply changes from the store or a peer; return the number of new ones.

        Parameters
        ----------
        changes : ChangeSet
            All changes after the position of the replica, or all items.
        """
        changes = drop_values(changes)
        known = self.replica.position
        newest, had_passed_over = self.newest, self._passed_over
        self._record_newest(changes, known)
        in_new_era = known.revision > 0 and changes.era > self.era
        if in_new_era:
            if not changes.is_snapshot:
                # What else the store returned to is not known.
                self.log.write("era_not_listed", era=changes.era, source=source)
                return 0
            self._start_era(changes, source)
        new = self.replica.apply(self._configure(changes, source))
        if self._passed_over and (self.newest != newest or not had_passed_over):
            self.passed_over_at = self.clock()
            self.seek_answers = SEEK_ANSWERS
        # A sender that knows less than this daemon proves nothing about the rest, and a
        # value that is still to be fetched is not known.
        is_newer = changes.revision > 0 and changes.position >= known
        current_at = self.clock() - changes.age
        if is_newer and not self.replica.awaited and current_at > self.current_at:
            self.current_at, self.current_by = current_at, source
        for change in new:
            try:
                self._apply(change, source, changes.grace_period)
            except Exception as error:
                # The replica has this change, so that it does not come again; those
                # after it must not be lost.
                log_internal_error(self.log, error, where=f"change of {change.key}")
        self.evacuations.update(
            (daemon.availability_zone for daemon in self.daemons.values()), source
        )
        self.listed = self.listed or changes.is_snapshot
        if in_new_era:
            for callback in self.on_era:
                callback(self.era)
        return len(new)

    def apply_value(self, offer: ValueOffer, value: bytes) -> None:
        """Apply a large value that peers have offered and sent."""
        change = Change(
            key=offer.key, value=value, revision=offer.revision, era=offer.era
        )
        # The rest of the changes up to the revision came with the offer.
        changes = ChangeSet(changes=(change,), revision=0, age=math.inf)
        self.apply(changes, source="peer")

    def changes_since(self, position: Position) -> ChangeSet:
        """Return the changes after a position, to be sent to a peer."""
        return attrs.evolve(
            self.replica.changes_since(position),
            grace_period=self.endpoints.grace_period_left(),
            age=self.age,
            newest=self.newest if self._knows_all_written else None,
            has_heard=not self.awaits_peers(),
        )

    def add_configuration(self, changes: ChangeSet, after: Position) -> ChangeSet:
        """Return changes for a peer with the configuration, if it was written later.

        It is contained as a whole, so that it is known with the answer.
        """
        document = self.replica.items.get(CONFIGURATION_KEY)
        if (
            document is None
            or document.position <= after
            or document in changes.changes
        ):
            return changes
        return attrs.evolve(
            changes,
            changes=(*changes.changes, document),
            offers=tuple(o for o in changes.offers if o.key != CONFIGURATION_KEY),
        )

    def record_seek_answer(self) -> None:
        """Record that a peer has answered while a configuration was sought."""
        self.seek_answers = max(0, self.seek_answers - 1)

    def drop_departed(self) -> None:
        """Remove daemons whose entries ended over `DAEMON_RETENTION_SECONDS` ago."""
        oldest = self.endpoints.now() - DAEMON_RETENTION_SECONDS
        for name, ended_at in list(self.departed.items()):
            if ended_at < oldest:
                del self.departed[name]
                self.daemons.pop(name, None)

    def _start_era(self, changes: ChangeSet, source: str) -> None:
        """Prepare for the state of a store that has returned from a copy.

        Entries that the copy lacks are written again by those who are alive.
        """
        self.log.write(
            "store_era_changed",
            before=self.era,
            era=changes.era,
            revision_before=self.replica.revision,
            revision=changes.revision,
            source=source,
        )
        self.endpoints.start_grace_period()

    def _apply(self, change: Change, source: str, grace_period: float) -> None:
        """Apply a change to what depends on its kind.

        Parameters
        ----------
        grace_period : float
            Seconds that are left of the grace period of the daemon that sent it.
        """
        kind = record_kind(change.key)
        if kind is None or kind.configuration:
            return
        if change.value is None:
            if kind.crash_group is not None:
                self._apply_crash_group(kind.crash_group, None, change.revision)
            if kind.versions is not None:
                self._apply_versions_record(kind.versions, exists=False)
            if kind.evacuated_zone is not None:
                self.endpoints.restore(kind.evacuated_zone)
            if kind.endpoint is not None:
                self.log.write(
                    "endpoint_entry_removed",
                    endpoint=kind.endpoint,
                    source=source,
                    seconds_kept=round(
                        max(grace_period, self.endpoints.grace_period_left()), 3
                    ),
                )
                self.endpoints.remove(kind.endpoint, grace_period=grace_period)
            elif kind.daemon is not None:
                self._remove_daemon(kind.daemon)
            return
        decoded = decode_record(change.key, change.value)
        if decoded.is_error():
            self._log_unreadable(change, decoded.error, source)
            return
        record = decoded.ok
        if isinstance(record, Endpoint):
            self._apply_endpoint(
                record, source, confirmed=change.key not in self.replica.unconfirmed
            )
        elif isinstance(record, CrashGroupRecord):
            self._apply_crash_group(record.group, record, change.revision)
        elif isinstance(record, VersionsRecord):
            self._apply_versions_record(record.service, exists=True)
        elif isinstance(record, EvacuationRecord):
            # A copy to which the store returned decides too; operators write again.
            self.endpoints.evacuate(record.zone, change.position)
        elif isinstance(record, DaemonEntry) and (
            record.era == 0 or record.era >= change.era
        ):
            # Any other entry is from a copy; its daemon registers again.
            self.daemons[record.name] = record
            self.departed.pop(record.name, None)

    def _record_newest(self, changes: ChangeSet, known: Position) -> None:
        """Record which configurations exist by what the changes contain and tell.

        Parameters
        ----------
        known : Position
            Position of the replica before the changes.
        """
        written = [
            item.position
            for item in changes.changes
            if item.key == CONFIGURATION_KEY and item.value is not None
        ]
        written += [o.position for o in changes.offers if o.key == CONFIGURATION_KEY]
        if changes.is_snapshot and not written:
            # The last one was removed, and others may have been written before.
            written.append(changes.position)
        # In an era, the configuration counts as written when the era began.
        written.append(Position(changes.era, 0))
        self.newest = self.newest.with_positions(written)
        if changes.newest is None:
            if changes.position > known:
                self.untold_until = max(self.untold_until, changes.position)
            return
        self.newest = self.newest.merge(changes.newest)
        # Changes of the store after a position show nothing of those before it.
        tells_all = changes.is_snapshot or changes.newest.position > Position()
        if tells_all and changes.position >= self.untold_until:
            self.untold_until = Position()

    def _configure(self, changes: ChangeSet, source: str) -> ChangeSet:
        """Put the highest version of the changes in force, if it is not lower.

        Returns
        -------
        ChangeSet
            The changes without documents that are not in force: the last usable one
            stays in force, and peers get it from this daemon.
        """
        documents = sorted(
            (
                change
                for change in changes.changes
                if change.key == CONFIGURATION_KEY
                and change.value is not None
                and self.replica.is_new(change)
            ),
            key=lambda change: change.position,
        )
        if not documents:
            return changes
        started = time.monotonic()
        usable = []
        for document in documents:
            catalog = self._decode(document, source)
            if catalog is not None:
                usable.append((catalog, document))
        if usable:
            catalog, document = max(
                usable, key=lambda found: (found[0].version, found[1].position)
            )
            self.newest = self.newest.merge(
                NewestConfiguration(version=catalog.version)
            )
            try:
                self._configured(catalog, document.position, source, started)
            except Exception as error:
                # The configuration before it stays in force.
                log_internal_error(self.log, error, where="new configuration")
        for document in documents:
            if document.position != self.configured_at:
                self.replica.reject(document)
        # Neither a document that was rejected before nor a removal hides the one in
        # force.
        kept = tuple(
            item
            for item in changes.changes
            if item.key != CONFIGURATION_KEY or item.position == self.configured_at
        )
        return attrs.evolve(changes, changes=kept)

    def _configured(
        self, catalog: Catalog, position: Position, source: str, started: float
    ) -> None:
        """Put a configuration in force unless a newer one is.

        Of two with the same version, the one that was written last is newer.

        Parameters
        ----------
        started : float
            Time at which its decoding started.
        """
        before = -1 if self.routes is None else self.routes.catalog.version
        fields: dict[str, Any] = {
            "version": catalog.version,
            "before": before,
            "era": position.era,
            "revision": position.revision,
            "source": source,
        }
        if catalog.version < before:
            self.log.write("configuration_lower", **fields)
            return
        if self.routes is not None and catalog == self.routes.catalog:
            self.configured_at = max(self.configured_at, position)
            self.log.write("configuration_confirmed", **fields)
            return
        self.routes = RouteTable.of(catalog=catalog)
        self.configured_at = position
        self.configuration_applied_at = anyio.current_time()
        for callback in self.on_configuration:
            try:
                callback(catalog)
            except Exception as error:
                log_internal_error(self.log, error, where="configuration callback")
        self.log.write(
            "configuration_in_force",
            **fields,
            routes=len(catalog.routes),
            seconds=round(time.monotonic() - started, 3),
        )

    def _decode(self, document: Change, source: str) -> Catalog | None:
        """Decode a configuration; return None if it can't be used."""
        assert document.value is not None
        try:
            decoded = decode_record(document.key, document.value)
        except Exception as error:
            log_internal_error(self.log, error, where=f"decoding of {document.key}")
            self._log_rejected(document, repr(error), source)
            return None
        if decoded.is_error():
            self._log_rejected(document, decoded.error, source)
            return None
        return cast(Catalog, decoded.ok)

    def _log_rejected(self, change: Change, reason: str, source: str) -> None:
        self.unreadable_count += 1
        self.log.write(
            "configuration_rejected",
            failure=True,
            reason=reason[:200],
            revision=change.revision,
            in_force=self.routes.catalog.version if self.routes else None,
            source=source,
        )

    def _apply_endpoint(
        self, endpoint: Endpoint, source: str, *, confirmed: bool
    ) -> None:
        previous = self.endpoints.known.get(endpoint.instance)
        if not confirmed and not _follows(endpoint, previous):
            # If the endpoint is alive, its next heartbeat confirms the entry.
            self.log.write(
                "endpoint_unconfirmed", endpoint=endpoint.instance, source=source
            )
            return
        if previous is None or (
            previous.leaving,
            previous.born,
            previous.version,
        ) != (endpoint.leaving, endpoint.born, endpoint.version):
            self.log.write(
                "endpoint_announced",
                endpoint=endpoint.instance,
                service=endpoint.service,
                address=endpoint.address,
                version=endpoint.version,
                leaving=endpoint.leaving,
                source=source,
            )
        self.endpoints.announce(endpoint)

    def _apply_crash_group(
        self, group: str, record: CrashGroupRecord | None, revision: int
    ) -> None:
        for callback in self.on_crash_group:
            callback(group, record, revision)

    def _apply_versions_record(self, service: str, *, exists: bool) -> None:
        for callback in self.on_versions_record:
            callback(service, exists)

    def _remove_daemon(self, name: str) -> None:
        """Remove a daemon at once if it has left, else some time after its entry."""
        daemon = self.daemons.get(name)
        if daemon is None:
            return
        if daemon.leaving:
            del self.daemons[name]
        else:
            self.departed[name] = self.endpoints.now()

    def _log_unreadable(self, change: Change, reason: str, source: str) -> None:
        """Log an item that cannot be decoded; if it is an endpoint, remove it."""
        self.unreadable_count += 1
        self.log.write(
            "item_unreadable", key=change.key, reason=reason[:200], source=source
        )
        kind = record_kind(change.key)
        if kind is None:
            return
        if kind.endpoint is not None:
            self.endpoints.remove(kind.endpoint)


def _follows(endpoint: Endpoint, previous: Endpoint | None) -> bool:
    """Return whether an entry that may be from a copy can't be older than another.

    Parameters
    ----------
    previous : Endpoint or None
        What was known before the store returned from the copy; None if the endpoint
        had gone.
    """
    if endpoint.leaving or previous is None:
        return endpoint.leaving
    if endpoint.born == previous.born:
        return not previous.leaving
    return endpoint.born > previous.born
