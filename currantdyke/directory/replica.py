"""A daemon's copy of the items of the store, from which it can answer its peers."""

import collections

import attrs

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
    """

    changes: tuple[Change, ...]
    revision: int
    is_snapshot: bool = False
    grace_period: float = 0.0
    age: float = 0.0


class Replica:
    """Items by key, each with its revision, and tombstones of removed items.

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
        self.revision = 0
        # Removals at or below this revision may have no tombstone: it was dropped, or a
        # complete list was applied, which does not show the removal of items unknown
        # here.
        self.tombstones_complete_after = 0

    def apply(self, changes: ChangeSet) -> list[Change]:
        """Apply changes; return the new ones, ordered by revision."""
        new = [change for change in changes.changes if self._is_new(change)]
        if changes.is_snapshot:
            listed = {change.key for change in changes.changes}
            new += [
                Change(key=key, value=None, revision=changes.revision)
                for key, item in self.items.items()
                if key not in listed and item.revision <= changes.revision
            ]
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, changes.revision
            )
        new.sort(key=lambda change: change.revision)
        for change in new:
            self._store(change)
        self.revision = max(self.revision, changes.revision)
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

    def _is_new(self, change: Change) -> bool:
        known = self.items.get(change.key) or self.tombstones.get(change.key)
        return known is None or change.revision > known.revision

    def _store(self, change: Change) -> None:
        if change.value is not None:
            self.tombstones.pop(change.key, None)
            self.items[change.key] = change
            return
        self.items.pop(change.key, None)
        self.tombstones[change.key] = change
        self.tombstones.move_to_end(change.key)
        while len(self.tombstones) > MAX_TOMBSTONES:
            _, dropped = self.tombstones.popitem(last=False)
            self.tombstones_complete_after = max(
                self.tombstones_complete_after, dropped.revision
            )
