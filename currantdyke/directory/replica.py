"""A daemon's copy of the items of the store, from which it can answer its peers."""

import collections
from collections.abc import Iterable

import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.largevalues.encoding import MIN_LARGE_BYTES
from currantdyke.largevalues.history import ValueHistory
from currantdyke.largevalues.messages import ValueOffer
from currantdyke.platform.store import Change

__all__ = ["ChangeSet", "Replica"]

# Number of removals kept for peers; a peer that is further behind receives all items.
MAX_TOMBSTONES = 4_096


@attrs.frozen(kw_only=True)
class ChangeSet:
    """Changes up to a revision.

    Attributes
    ----------
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
    """

    changes: tuple[Change, ...]
    revision: int
    is_snapshot: bool = False
    grace_period: float = 0.0
    age: float = 0.0
    offers: tuple[ValueOffer, ...] = ()


class Replica:
    """Items by key, each with its revision, and tombstones of removed items.

    Attributes
    ----------
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
    >>> replica.changes_since(2).changes == (one,), replica.revision
    (True, 3)
    """

    def __init__(self):
        self.items: dict[str, Change] = {}
        self.tombstones: collections.OrderedDict[str, Change] = (
            collections.OrderedDict()
        )
        self.pending: dict[str, ValueOffer] = {}
        self.large_values = ValueHistory()
        self.large_items: dict[str, bytes] = {}
        self.listed_revision = 0
        # Removals at or below this revision may have no tombstone: it was dropped, or a
        # complete list was applied, which does not show the removal of items unknown
        # here.
        self.tombstones_complete_after = 0

    @property
    def revision(self) -> int:
        """The revision up to which every change is contained."""
        oldest = min(
            (offer.revision for offer in self.pending.values()),
            default=self.listed_revision + 1,
        )
        return min(self.listed_revision, oldest - 1)

    @property
    def bases(self) -> tuple[bytes, ...]:
        """Digests of the large values of which changes may be sent as differences."""
        known = self.large_values.values
        return tuple(name for name in self.large_items.values() if name in known)

    @property
    def answers(self) -> bool:
        """Whether peers may ask this replica: no item is known by its key alone."""
        return self.revision > 0 and self.pending.keys() <= self.items.keys()

    def apply(self, changes: ChangeSet) -> list[Change]:
        """Apply changes; return the new ones, ordered by revision.

        A large value that a later change replaces is left out.
        """
        latest = {change.key: change for change in _by_revision(changes.changes)}
        new = [
            change
            for change in changes.changes
            if self._is_new(change)
            and (latest[change.key] is change or not _is_large(change))
        ]
        if changes.is_snapshot:
            listed = {change.key for change in changes.changes}
            listed |= {offer.key for offer in changes.offers}
            new += [
                Change(key=key, value=None, revision=changes.revision)
                for key, item in self.items.items()
                if key not in listed and item.revision <= changes.revision
            ]
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, changes.revision
            )
        new = _by_revision(new)
        for change in new:
            self._store(change)
        for offer in changes.offers:
            self._await_value(offer)
        self.listed_revision = max(self.listed_revision, changes.revision)
        return new

    def changes_since(self, revision: int) -> ChangeSet:
        """Return the changes after a revision.

        All items are returned if tombstones may be missing.
        """
        if revision < self.tombstones_complete_after:
            all_items = tuple(self.items.values())
            return ChangeSet(
                changes=all_items, revision=self.revision, is_snapshot=True
            )
        changes = [item for item in self.items.values() if item.revision > revision]
        changes += [
            tombstone
            for tombstone in self.tombstones.values()
            if tombstone.revision > revision
        ]
        return ChangeSet(changes=tuple(changes), revision=self.revision)

    def offer_large(self, changes: ChangeSet, bases: tuple[bytes, ...]) -> ChangeSet:
        """Return changes with offers in place of large values.

        Parameters
        ----------
        bases : tuple of bytes
            Digests of the large values that the receiver has.
        """
        offers = [
            self.large_values.offer(change.key, change.revision, name, bases)
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
            Change(key=offer.key, value=value, revision=offer.revision)
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

    def _is_new(self, change: Change | ValueOffer) -> bool:
        known = self.items.get(change.key) or self.tombstones.get(change.key)
        return known is None or change.revision > known.revision

    def _await_value(self, offer: ValueOffer) -> None:
        pending = self.pending.get(offer.key)
        if self._is_new(offer) and (
            pending is None or pending.revision < offer.revision
        ):
            self.pending[offer.key] = offer

    def _store(self, change: Change) -> None:
        pending = self.pending.get(change.key)
        if pending is not None and pending.revision <= change.revision:
            del self.pending[change.key]
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
                self.tombstones_complete_after, dropped.revision
            )


def _by_revision(changes: Iterable[Change]) -> list[Change]:
    return sorted(changes, key=lambda change: change.revision)


def _is_large(change: Change) -> bool:
    return change.value is not None and len(change.value) >= MIN_LARGE_BYTES
