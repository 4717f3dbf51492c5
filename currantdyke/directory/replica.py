"""A daemon's copy of the items of the store, from which it can answer its peers."""

import collections
import itertools
from collections.abc import Collection, Iterable

import attrs

from currantdyke.core import Position
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory.newest import NewestConfiguration
from currantdyke.largevalues.encoding import MIN_LARGE_BYTES
from currantdyke.largevalues.history import ValueHistory
from currantdyke.largevalues.messages import ValueOffer
from currantdyke.platform.store import Change

__all__ = ["ChangeSet", "Replica"]

# Number of removals kept for peers; a peer that is further behind receives all items.
MAX_TOMBSTONES = 4_096


@attrs.frozen(kw_only=True)
class ChangeSet:
    """Changes up to a position in the history of the store.

    Attributes
    ----------
    era : int
        Era of the revision; 0 if the sender names none.
    is_snapshot : bool
        Whether it contains every item, so that any other item has been removed.
    grace_period : float
        Seconds that are left of the grace period of its sender after a store outage, so
        that removals may be of entries that expired during the outage; 0 for none.
    age : float
        Seconds since the changes up to the revision were all that the store had
        acknowledged.
    offers : tuple of ValueOffer
        Items whose values must be decoded or fetched first.
    newest : NewestConfiguration or None
        The newest configuration that a daemon knows of which sent the changes; None if
        it does not tell. Without a position, the changes alone show it.
    has_heard : bool
        Whether a daemon that sent the changes was itself told which configurations
        exist, if it had to be.
    """

    changes: tuple[Change, ...]
    revision: int
    is_snapshot: bool = False
    grace_period: float = 0.0
    age: float = 0.0
    offers: tuple[ValueOffer, ...] = ()
    era: int = 0
    newest: NewestConfiguration | None = NewestConfiguration()
    has_heard: bool = True

    @property
    def position(self) -> Position:
        """The position up to which the changes are contained."""
        return Position(self.era, self.revision)


class Replica:
    """Items by key, each with its position, and tombstones of removed items.

    Parameters
    ----------
    retained : collection of str
        Keys whose last value is kept when the store has them no more.

    Attributes
    ----------
    listed : Position
        Up to which every change was received, at least as an offer.
    unconfirmed : set of str
        Keys whose first value in the present era may be from the copy that the store
        returned from, and older than what was known before.
    rejected : dict of str to Position
        Positions of the newest values that are not used, by key; the items keep the
        values before them.
    changed_era : bool
        Whether the store has returned from a copy since the first list.
    pending : dict of str to ValueOffer
        Items by key of which a newer value exists than the one that is known.
    large_values : ValueHistory
        The large values that were known last.
    large_items : dict of str to bytes
        Digests of the values of the items that have a large one, by key.

    Examples
    --------
    >>> replica = Replica()
    >>> one = Change(key="a", value=b"1", revision=3)
    >>> len(replica.apply(ChangeSet(changes=(one,), revision=3)))
    1
    >>> len(replica.apply(ChangeSet(changes=(one,), revision=3)))
    0
    >>> replica.changes_since(Position(0, 2)).changes == (one,), replica.position
    (True, Position(era=0, revision=3))
    """

    def __init__(self, *, retained: Collection[str] = ()):
        self.retained = frozenset(retained)
        self.items: dict[str, Change] = {}
        self.tombstones: collections.OrderedDict[str, Change] = (
            collections.OrderedDict()
        )
        self.pending: dict[str, ValueOffer] = {}
        self.large_values = ValueHistory()
        self.large_items: dict[str, bytes] = {}
        self.listed = Position()
        self.unconfirmed: set[str] = set()
        self.rejected: dict[str, Position] = {}
        self.changed_era = False
        # Removals at or below this position may have no tombstone: it was dropped, or a
        # complete list was applied, which does not show the removal of items unknown
        # here.
        self.tombstones_complete_after = Position()

    @property
    def position(self) -> Position:
        """The position up to which every change is contained."""
        awaited = self.awaited
        if not awaited:
            return self.listed
        oldest = min(offer.position for offer in awaited)
        return min(self.listed, Position(oldest.era, oldest.revision - 1))

    @property
    def awaited(self) -> list[ValueOffer]:
        """The pending offers without which the items are not complete.

        Of a key whose newest value is rejected, an earlier one is offered besides.
        """
        return [
            offer
            for offer in self.pending.values()
            if offer.position > self.rejected.get(offer.key, Position())
        ]

    @property
    def revision(self) -> int:
        """The revision of the position."""
        return self.position.revision

    @property
    def bases(self) -> tuple[bytes, ...]:
        """Digests of the large values of which changes may be sent as differences."""
        known = self.large_values.values
        return tuple(name for name in self.large_items.values() if name in known)

    @property
    def answers(self) -> bool:
        """Whether peers may ask this replica: no item is known by its key alone."""
        return self.revision > 0 and self.pending.keys() <= self.items.keys()

    def place(self, position: Position) -> Position | None:
        """Return the position that a daemon means which may not name eras.

        Returns
        -------
        Position or None
            None if nothing shows in which era the revision is.
        """
        if position.era or not self.listed.era:
            return position
        if self.changed_era:
            return None
        return Position(self.listed.era, position.revision)

    def place_changes(self, changes: ChangeSet) -> ChangeSet | None:
        """Return the changes of a daemon that may not name eras, with their era.

        Returns
        -------
        ChangeSet or None
            None if nothing shows in which era they are.
        """
        position = self.place(changes.position)
        if position is None or position == changes.position:
            return None if position is None else changes
        era = position.era
        return attrs.evolve(
            changes,
            era=era,
            newest=changes.newest and changes.newest.in_era(era),
            changes=tuple(attrs.evolve(item, era=era) for item in changes.changes),
            offers=tuple(attrs.evolve(offer, era=era) for offer in changes.offers),
        )

    def apply(self, changes: ChangeSet) -> list[Change]:
        """Apply changes; return the new ones, ordered by position.

        A large value that a later change replaces is left out.
        """
        latest = {change.key: change for change in _by_position(changes.changes)}
        is_late = changes.position < self.tombstones_complete_after
        new = [
            change
            for change in changes.changes
            if self.is_new(change)
            and not (is_late and self._is_removed(change))
            and (change.value is not None or change.key not in self.retained)
            and (latest[change.key] is change or not _is_large(change))
        ]
        if changes.is_snapshot:
            listed = {change.key for change in changes.changes}
            listed |= {offer.key for offer in changes.offers}
            new += [
                Change(key=key, value=None, revision=changes.revision, era=changes.era)
                for key, item in self.items.items()
                if key not in listed
                and key not in self.retained
                and item.position <= changes.position
            ]
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, changes.position
            )
        new = _by_position(new)
        for change in new:
            self._store(change)
        if changes.is_snapshot:
            for key in self.pending.keys() - listed:
                if self.pending[key].position <= changes.position:
                    del self.pending[key]
        for offer in changes.offers:
            self._await_value(offer)
        self.changed_era |= 0 < self.listed.era < changes.era
        self.listed = max(self.listed, changes.position)
        return new

    def changes_since(self, position: Position) -> ChangeSet:
        """Return the changes after a position.

        All items are returned if tombstones may be missing.
        """
        is_snapshot = position < self.tombstones_complete_after
        if is_snapshot:
            changes = list(self.items.values())
        else:
            # Relays do this for each item and daemon, twice a second.
            era, revision = position.era, position.revision
            changes = [
                change
                for change in itertools.chain(
                    self.items.values(), self.tombstones.values()
                )
                if change.era > era
                or (change.era == era and change.revision > revision)
            ]
        contained = self.position
        return ChangeSet(
            changes=tuple(changes),
            revision=contained.revision,
            era=contained.era,
            is_snapshot=is_snapshot,
        )

    def offer_large(self, changes: ChangeSet, bases: tuple[bytes, ...]) -> ChangeSet:
        """Return changes with offers in place of large values.

        Parameters
        ----------
        bases : tuple of bytes
            Digests of the large values that the receiver has.
        """
        offers = [
            self.large_values.offer(change.key, change.position, name, bases)
            for change in changes.changes
            if (name := self.large_items.get(change.key)) is not None
            and name in self.large_values.values
        ]
        keys = {offer.key for offer in offers}
        small = tuple(c for c in changes.changes if c.key not in keys)
        return attrs.evolve(changes, changes=small, offers=tuple(offers))

    def decode_offers(self, changes: ChangeSet, log: DecisionLog) -> ChangeSet:
        """Return changes with the values of those offers that contain them."""
        decoded = [
            Change(key=offer.key, value=value, revision=offer.revision, era=offer.era)
            for offer in changes.offers
            if offer.data
            and (value := self.large_values.decode(offer, offer.data, log)) is not None
        ]
        if not decoded:
            return changes
        keys = {change.key for change in decoded}
        rest = tuple(offer for offer in changes.offers if offer.key not in keys)
        return attrs.evolve(
            changes, changes=changes.changes + tuple(decoded), offers=rest
        )

    def is_new(self, change: Change | ValueOffer) -> bool:
        """Return whether a change is later than what is known of its key."""
        if self.rejected and change.position == self.rejected.get(change.key):
            return False
        known = self.items.get(change.key) or self.tombstones.get(change.key)
        if known is None or change.era != known.era:
            return known is None or change.era > known.era
        return change.revision > known.revision

    def _is_removed(self, change: Change) -> bool:
        """Return whether the last complete list shows that a late item is gone.

        An item that was not known before that list has no tombstone.
        """
        return (
            change.position < self.tombstones_complete_after
            and change.key not in self.items
            and change.key not in self.tombstones
            and change.key not in self.pending
            and change.key not in self.retained
        )

    def reject(self, change: Change) -> None:
        """Keep the value before a change that is not used, also for peers."""
        rejected = self.rejected.get(change.key, Position())
        self.rejected[change.key] = max(rejected, change.position)
        pending = self.pending.get(change.key)
        if pending is not None and pending.position <= change.position:
            del self.pending[change.key]

    def _await_value(self, offer: ValueOffer) -> None:
        pending = self.pending.get(offer.key)
        if self.is_new(offer) and (
            pending is None or pending.position < offer.position
        ):
            self.pending[offer.key] = offer

    def _store(self, change: Change) -> None:
        pending = self.pending.get(change.key)
        if pending is not None and pending.position <= change.position:
            del self.pending[change.key]
        known = self.items.get(change.key) or self.tombstones.get(change.key)
        if change.value is not None and known is not None and known.era < change.era:
            self.unconfirmed.add(change.key)
        else:
            self.unconfirmed.discard(change.key)
        if change.value is not None:
            self.tombstones.pop(change.key, None)
            self.items[change.key] = change
            if _is_large(change):
                self.large_items[change.key] = self.large_values.add(change.value)
            else:
                self.large_items.pop(change.key, None)
            return
        self.large_items.pop(change.key, None)
        self.items.pop(change.key, None)
        self.tombstones[change.key] = change
        self.tombstones.move_to_end(change.key)
        while len(self.tombstones) > MAX_TOMBSTONES:
            _, dropped = self.tombstones.popitem(last=False)
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, dropped.position
            )


def _by_position(changes: Iterable[Change]) -> list[Change]:
    return sorted(changes, key=lambda change: (change.era, change.revision))


def _is_large(change: Change) -> bool:
    return change.value is not None and len(change.value) >= MIN_LARGE_BYTES
