"""A daemon's copy of the store's items, which it can pass on to its peers."""

import collections

import attrs

from currantdyke.platform.store import Change

__all__ = ["ChangeSet", "Replica"]

# Removals that are remembered for peers; a peer that is further behind gets all items.
MAX_REMOVALS = 4_096


@attrs.frozen(kw_only=True)
class ChangeSet:
    """Changes up to a revision.

    Attributes
    ----------
    whole : bool
        Whether it holds every item, so that any other item is gone.
    settling : bool
        Whether the store returned a moment ago, so that removals may be of entries
        that lapsed while it was away.
    age : float
        Seconds since the store itself answered, where a daemon passes changes on.
    """

    changes: tuple[Change, ...]
    revision: int
    whole: bool = False
    settling: bool = False
    age: float = 0.0


class Replica:
    """Items by key, each with its revision; removals are kept for a while.

    Examples
    --------
    >>> replica = Replica()
    >>> one = Change(key="a", value=b"1", revision=3)
    >>> len(replica.apply(ChangeSet(changes=(one,), revision=3)))
    1
    >>> len(replica.apply(ChangeSet(changes=(one,), revision=3)))
    0
    >>> replica.since(2).changes == (one,), replica.revision
    (True, 3)
    """

    def __init__(self):
        self.items: dict[str, Change] = {}
        self.removals: collections.OrderedDict[str, Change] = collections.OrderedDict()
        self.revision = 0
        # Removals at or below this revision may have been forgotten.
        self.removals_known_after = 0

    def apply(self, changes: ChangeSet) -> list[Change]:
        """Apply changes; return those that were new, in the order of revisions."""
        new = [change for change in changes.changes if self._is_new(change)]
        if changes.whole:
            listed = {change.key for change in changes.changes}
            new += [
                Change(key=key, value=None, revision=changes.revision)
                for key, item in self.items.items()
                if key not in listed and item.revision <= changes.revision
            ]
            self.removals_known_after = max(self.removals_known_after, changes.revision)
        new.sort(key=lambda change: change.revision)
        for change in new:
            self._store(change)
        self.revision = max(self.revision, changes.revision)
        return new

    def since(self, revision: int) -> ChangeSet:
        """Return what changed after a revision, or everything if that is unknown."""
        if revision < self.removals_known_after:
            everything = tuple(self.items.values())
            return ChangeSet(changes=everything, revision=self.revision, whole=True)
        changes = [item for item in self.items.values() if item.revision > revision]
        changes += [gone for gone in self.removals.values() if gone.revision > revision]
        return ChangeSet(changes=tuple(changes), revision=self.revision)

    def _is_new(self, change: Change) -> bool:
        known = self.items.get(change.key) or self.removals.get(change.key)
        return known is None or change.revision > known.revision

    def _store(self, change: Change) -> None:
        if change.value is not None:
            self.removals.pop(change.key, None)
            self.items[change.key] = change
            return
        self.items.pop(change.key, None)
        self.removals[change.key] = change
        self.removals.move_to_end(change.key)
        while len(self.removals) > MAX_REMOVALS:
            _, forgotten = self.removals.popitem(last=False)
            self.removals_known_after = max(
                self.removals_known_after, forgotten.revision
            )
