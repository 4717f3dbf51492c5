"""One slice of claims as it stands in the store, mirrored in memory."""

import secrets
from collections.abc import Callable

import attrs
import msgspec
from expression import Error, Ok, Result

from currantdyke.claims.records import Head, Link, Record, Segment
from currantdyke.store import Entry, Store, SwapError, Unavailable, settled_swap

__all__ = ["KEEP_SECONDS", "SliceLog"]

DUTY = "claims"
TRIM_DUTY = "claims_trim"
PREFIX = "currantdyke/claims"
KEEP_SECONDS = 86_400.0
CLOCK_SKEW_SECONDS = 600.0
TRIM_AFTER_SECONDS = 3 * CLOCK_SKEW_SECONDS
SEGMENT_BYTES = 16_384
TRIMMED_AT_ONCE = 2
NONCE_BYTES = 6

encode = msgspec.msgpack.Encoder().encode
decode_head = msgspec.msgpack.Decoder(Head).decode
decode_segment = msgspec.msgpack.Decoder(Segment).decode


@attrs.define(kw_only=True, eq=False)
class SliceLog:
    """A slice's head, its active claims and an index of its sealed ones.

    Attributes
    ----------
    number : int
        The slice.
    wall_clock : callable
        Returns the wall clock's time in seconds.
    revision : int
        Revision of the head as last seen; 0 where there is none.
    sealed : dict
        Sealed claims by key digest, without results, and their segment's name.
    segments : dict
        Revision and newest time of each sealed segment, traces included.
    indexed : Link or None
        The last segment of the chain that ``sealed`` holds.
    incomplete_until : float
        A segment is missing; until this time a key that is not found may still
        have been claimed.
    """

    number: int
    store: Store
    wall_clock: Callable[[], float]
    keep_seconds: float = KEEP_SECONDS
    loaded: bool = False
    revision: int = 0
    head: Head = attrs.field(factory=Head)
    sealed: dict[bytes, tuple[Record, str]] = attrs.field(factory=dict)
    segments: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    indexed: Link | None = None
    incomplete_until: float = 0.0

    def head_key(self) -> str:
        """Return the key of the head."""
        return f"{PREFIX}/{self.number}/head"

    def segment_key(self, name: str) -> str:
        """Return the key of a sealed segment."""
        return f"{PREFIX}/{self.number}/sealed/{name}"

    def find(self, digest: bytes) -> Record | None:
        """Return the claim of a key, unless it has expired."""
        record = self.head.active.get(digest)
        if record is None and digest in self.sealed:
            record = self.sealed[digest][0]
        if record is None or self._expired(record.claimed):
            return None
        return record

    def is_incomplete(self) -> bool:
        """Return whether claims may be missing."""
        return self.wall_clock() < self.incomplete_until

    async def load(self) -> Result[None, Unavailable]:
        """Read the head and, where it names unknown ones, the sealed segments."""
        answer = await self.store.get(self.head_key(), duty=DUTY)
        if answer.is_error():
            return Error(answer.error)
        return await self.adopt(answer.ok)

    async def adopt(self, entry: Entry | None) -> Result[None, Unavailable]:
        """Take over what stands at the head."""
        head = decode_head(entry.value) if entry else Head()
        if head.sealed is not None and head.sealed != self.indexed:
            self.loaded = False
            listed = await self.store.list(self.segment_key(""), duty=DUTY)
            if listed.is_error():
                return Error(listed.error)
            self._index(head.sealed, listed.ok)
        self.head = head
        self.revision = entry.revision if entry else 0
        self.loaded = True
        return Ok(None)

    async def whole(self, digest: bytes) -> Result[Record | None, Unavailable]:
        """Return the claim of a key with its result."""
        record = self.find(digest)
        if record is None or digest in self.head.active:
            return Ok(record)
        key = self.segment_key(self.sealed[digest][1])
        answer = await self.store.get(key, duty=DUTY)
        if answer.is_error():
            return Error(answer.error)
        if answer.ok is None:
            return Ok(record)
        return Ok(decode_segment(answer.ok.value).records.get(digest, record))

    async def seal_if_full(self, deadline: float) -> Result[Head, SwapError]:
        """Return the head to add to: emptied into a segment if it has grown."""
        if len(encode(self.head)) < SEGMENT_BYTES:
            return Ok(self.head)
        newest = max(record.claimed for record in self.head.active.values())
        link = Link(f"{newest:.0f}-{secrets.token_hex(NONCE_BYTES)}", newest)
        value = encode(Segment(self.head.active, self.head.sealed))
        written = await settled_swap(
            self.store,
            self.segment_key(link.name),
            0,
            value,
            is_mine=value.__eq__,
            duty=DUTY,
            deadline=deadline,
        )
        if written.is_error():
            return Error(written.error)
        self._index_segment(link.name, written.ok)
        self.indexed = link
        return Ok(Head(sealed=link))

    async def trim(self) -> None:
        """Delete a few segments whose claims have all expired."""
        horizon = self.wall_clock() - self.keep_seconds - TRIM_AFTER_SECONDS
        old = [name for name, at in self.segments.items() if at[1] < horizon]
        for name in old[:TRIMMED_AT_ONCE]:
            revision, _ = self.segments.pop(name)
            self.sealed = {
                digest: found
                for digest, found in self.sealed.items()
                if found[1] != name
            }
            await self.store.delete(self.segment_key(name), revision, duty=TRIM_DUTY)

    def _expired(self, time: float) -> bool:
        return time + self.keep_seconds + CLOCK_SKEW_SECONDS < self.wall_clock()

    def _index(self, last: Link, entries: list[Entry]) -> None:
        """Walk back from the last segment and index what is found.

        A segment that the chain does not name is the trace of a writer that died
        or lost the race between sealing and moving the head; it is only kept for
        ``trim``.
        """
        by_name = {entry.key.rpartition("/")[2]: entry for entry in entries}
        chain: list[str] = []
        link: Link | None = last
        while link is not None and not self._expired(link.newest):
            if link.name not in by_name:
                self.incomplete_until = (
                    link.newest + self.keep_seconds + CLOCK_SKEW_SECONDS
                )
                break
            chain.append(link.name)
            link = decode_segment(by_name[link.name].value).previous
        self.sealed, self.segments = {}, {}
        for name in by_name.keys() - set(chain):
            newest = float(name.partition("-")[0])
            self.segments[name] = (by_name[name].revision, newest)
        for name in reversed(chain):
            self._index_segment(name, by_name[name])
        self.indexed = last

    def _index_segment(self, name: str, entry: Entry) -> None:
        records = decode_segment(entry.value).records
        newest = max(record.claimed for record in records.values())
        self.segments[name] = (entry.revision, newest)
        for digest, record in records.items():
            self.sealed[digest] = (msgspec.structs.replace(record, result=b""), name)
