"""Delete parts and records that no version within reach uses any more.

A part is deleted at the revision that it was written at for its version. Whoever
wants to use it again writes it again first, so that the delete then fails.
"""

import collections
from collections.abc import Callable

import attrs

from currantdyke.bundle.content import Content
from currantdyke.bundle.feed import ConfigurationFeed, now_seconds
from currantdyke.bundle.stored import DUTY, PART_PREFIX, record_prefix
from currantdyke.store import Conflict, Store

__all__ = ["COLLECT_SECONDS", "Collector"]

COLLECT_SECONDS = 5.0
KEEP_SECONDS = 3600.0
LOOK_AGAIN_SECONDS = 1800.0
KEEP_RECORDS_VERSIONS = 50_000
MAX_DELETED_AT_ONCE = 8
MAX_KNOWN_REVISIONS = 4_096


@attrs.frozen(kw_only=True)
class Retired:
    """A part that the version in force does not use any more."""

    digest: str
    since: float


class Collector:
    """Follows the versions in force and deletes what they leave behind.

    Every daemon keeps the list, so that the next one can go on; one deletes.

    Parameters
    ----------
    is_collector : callable
        Whether this daemon is the one that deletes.
    """

    def __init__(
        self,
        *,
        store: Store,
        feed: ConfigurationFeed,
        is_collector: Callable[[], bool],
    ):
        self.store = store
        self.feed = feed
        self.is_collector = is_collector
        self.content: Content = feed.held.content
        self.retired: collections.deque[Retired] = collections.deque()
        self.revisions: dict[str, int] = {}
        self.records_below = 0
        self.deleted = 0
        feed.subscribe(self._note_version)

    async def collect(self) -> None:
        """Delete a few of the parts and records that are old enough."""
        if not self.is_collector():
            self._forget()
            return
        now = now_seconds()
        await self._learn_revisions(now)
        for _ in range(MAX_DELETED_AT_ONCE):
            if not self.retired or now - self.retired[0].since < KEEP_SECONDS:
                break
            if not await self._delete_part(self.retired[0].digest):
                break
            self.retired.popleft()
        await self._delete_records()

    def _note_version(self, version: int) -> None:
        held = self.feed.held
        now = now_seconds()
        before, after = _parts(self.content), _parts(held.content)
        self.retired.extend(
            Retired(digest=digest, since=now) for digest in sorted(before - after)
        )
        self.content = held.content
        if held.record is not None:
            self.revisions.update(held.record.written)
        while len(self.revisions) > MAX_KNOWN_REVISIONS:
            del self.revisions[next(iter(self.revisions))]

    def _forget(self) -> None:
        """Drop what the daemon that collects has deleted by now."""
        while self.retired and now_seconds() - self.retired[0].since > KEEP_SECONDS:
            self.revisions.pop(self.retired.popleft().digest, None)

    async def _learn_revisions(self, now: float) -> None:
        """Look up a part whose writing was not seen, long before its delete."""
        for retired in self.retired:
            age = now - retired.since
            if age < LOOK_AGAIN_SECONDS:
                return
            if age < KEEP_SECONDS and retired.digest not in self.revisions:
                found = await self.store.get(PART_PREFIX + retired.digest, duty=DUTY)
                if found.is_ok() and found.ok is not None:
                    self.revisions[retired.digest] = found.ok.revision
                return

    async def _delete_part(self, digest: str) -> bool:
        """Delete a part; return whether it is done with.

        A conflict means that it was written again, so that it is still wanted.
        """
        revision = self.revisions.get(digest)
        if revision is None or digest in _parts(self.content):
            return True
        done = await self.store.delete(PART_PREFIX + digest, revision, duty=DUTY)
        if done.is_error() and not isinstance(done.error, Conflict):
            return False
        self.revisions.pop(digest, None)
        self.deleted += done.is_ok()
        return True

    async def _delete_records(self) -> None:
        bound = self.feed.version - KEEP_RECORDS_VERSIONS
        if bound <= 0:
            return
        first = max(self.records_below, bound - MAX_DELETED_AT_ONCE)
        for version in range(first, bound)[:MAX_DELETED_AT_ONCE]:
            found = await self.store.list(record_prefix(version), duty=DUTY)
            if found.is_error():
                return
            for entry in found.ok:
                await self.store.delete(entry.key, entry.revision, duty=DUTY)
            self.records_below = version + 1


def _parts(content: Content) -> set[str]:
    return {content.root, *content.hashes.values()}
