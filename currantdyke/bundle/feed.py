"""What a daemon gives its peers of the configuration, and takes from them."""

import collections
import itertools
import math
import random
from collections.abc import Callable, Sequence

import anyio
import attrs
from absl import logging
from expression import Result

from currantdyke.bundle.change import Record, decode
from currantdyke.bundle.in_force import BundleInForce
from currantdyke.bundle.update import (
    MAX_CHUNKS,
    MAX_SNAPSHOT_BYTES,
    Chunk,
    decode_snapshot,
    decode_update,
    encode_chunk,
    encode_records,
    encode_snapshot,
    snapshot_digest,
)
from currantdyke.bundle.versions import Version, advance

__all__ = ["ConfigurationFeed"]

MAX_KEPT_RECORDS = 2_048
MAX_KEPT_BYTES = 4_000_000
ENVELOPE_BYTES = 128
RECORD_POINTER_BYTES = 16
MIN_CHUNK_BYTES = 512
SNAPSHOT_KEEP_VERSIONS = 256
MAX_ASSEMBLIES = 3


@attrs.define(kw_only=True)
class Assembly:
    """Chunks of one snapshot, until all are there."""

    count: int
    chunks: dict[int, bytes] = attrs.field(factory=dict)
    size: int = 0


@attrs.define(kw_only=True)
class Snapshot:
    """An encoded snapshot that is kept for peers that ask chunk after chunk."""

    number: int
    encoded: bytes
    digest: bytes


class ConfigurationFeed:
    """The version in force, as updates that peers hand to one another.

    Parameters
    ----------
    in_force : BundleInForce
        Where a verified version comes into force.
    random_source : random.Random
        Source of the order in which chunks are given to those who name none.
    """

    def __init__(
        self,
        *,
        in_force: BundleInForce,
        random_source: random.Random | None = None,
    ):
        self.in_force = in_force
        self.random_source = random_source or random.Random()
        self.held = Version()
        self.records: collections.deque[tuple[int, bytes]] = collections.deque()
        self.record_bytes = 0
        self.snapshot: Snapshot | None = None
        self.assemblies: collections.OrderedDict[bytes, Assembly] = (
            collections.OrderedDict()
        )
        self.last_heard = -math.inf
        self.refused = 0
        self.listeners: list[Callable[[int], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force; 0 where there is none."""
        return self.in_force.version

    @property
    def next_chunk(self) -> int:
        """Return the first chunk still missing, for ``update_since`` of a peer."""
        if not self.assemblies:
            return 0
        newest = next(reversed(self.assemblies.values()))
        return next(i for i in itertools.count() if i not in newest.chunks)

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with each version that comes into force."""
        self.listeners.append(callback)

    def update_since(
        self, version: int, max_bytes: int, chunk: int | None = None
    ) -> bytes:
        """Return an update from ``version``, or nothing where none is newer.

        Parameters
        ----------
        version : int
            The version that the peer has.
        max_bytes : int
            The longest update to return, in bytes.
        chunk : int, optional
            Which chunk, where a snapshot is due: the peer's ``next_chunk``.
            A random one by default.
        """
        self.heard()
        if version >= self.held.number:
            return b""
        return self._records_since(version, max_bytes) or self._chunk(max_bytes, chunk)

    def offer(self, update: bytes) -> bool:
        """Verify an update; return whether a higher version came into force."""
        self.heard()
        found = decode_update(update) if update else None
        if isinstance(found, Chunk):
            return self._take_chunk(found)
        return self.take_records(found) if found else False

    def heard(self) -> None:
        """Note that a peer, or the store, spoke of the configuration just now."""
        self.last_heard = now_seconds()

    def take_records(self, records: Sequence[bytes]) -> bool:
        """Verify consecutive records and put the last of them in force."""
        taken = [self.held]
        for raw in records:
            if _version_of(raw) <= taken[-1].number:
                continue
            made = advance(taken[-1], raw)
            if made.is_error():
                self._refuse(made.error)
                break
            taken.append(made.ok)
        return self._put_in_force(taken[1:])

    def take_whole(self, found: Result[Version, str]) -> bool:
        """Put a version that was verified as a whole in force, if it is higher."""
        if found.is_error():
            self._refuse(found.error)
            return False
        return self._put_in_force([found.ok])

    def _put_in_force(self, taken: list[Version]) -> bool:
        if not taken:
            return False
        version = taken[-1]
        if version.number <= self.version:
            return False
        if not self.in_force.accept(version.number, version.bundle):
            return False
        follows = bool(self.records) and taken[0].number == self.records[-1][0] + 1
        if not follows:
            self.records.clear()
            self.record_bytes = 0
        self.held = version
        for each in taken:
            self._keep(each.number, each.raw)
        for listener in self.listeners:
            listener(version.number)
        return True

    def _keep(self, number: int, raw: bytes) -> None:
        self.records.append((number, raw))
        self.record_bytes += len(raw)
        while len(self.records) > MAX_KEPT_RECORDS or (
            self.record_bytes > MAX_KEPT_BYTES and len(self.records) > 1
        ):
            self.record_bytes -= len(self.records.popleft()[1])

    def _records_since(self, version: int, max_bytes: int) -> bytes:
        if not self.records or self.records[0][0] > version + 1:
            return b""
        chosen, size = [], ENVELOPE_BYTES
        first = version + 1 - self.records[0][0]
        for _, raw in itertools.islice(self.records, first, None):
            size += len(raw) + RECORD_POINTER_BYTES
            if size > max_bytes:
                break
            chosen.append(raw)
        return encode_records(chosen) if chosen and version else b""

    def _chunk(self, max_bytes: int, index: int | None) -> bytes:
        snapshot = self._fresh_snapshot()
        room = max(MIN_CHUNK_BYTES, max_bytes - ENVELOPE_BYTES)
        count = -(-len(snapshot.encoded) // room)
        if index is None:
            index = self.random_source.randrange(count)
        index %= count
        return encode_chunk(
            Chunk(
                version=snapshot.number,
                index=index,
                count=count,
                digest=snapshot.digest,
                data=snapshot.encoded[index * room : (index + 1) * room],
            )
        )

    def _fresh_snapshot(self) -> Snapshot:
        kept = self.snapshot
        oldest = self.records[0][0] - 1 if self.records else 0
        if (
            kept is not None
            and kept.number >= oldest
            and kept.number >= self.held.number - SNAPSHOT_KEEP_VERSIONS
        ):
            return kept
        encoded = encode_snapshot(self.held)
        self.snapshot = Snapshot(
            number=self.held.number, encoded=encoded, digest=snapshot_digest(encoded)
        )
        return self.snapshot

    def _take_chunk(self, chunk: Chunk) -> bool:
        if chunk.version <= self.version:
            return False
        if not chunk.index < chunk.count <= MAX_CHUNKS:
            return False
        assembly = self.assemblies.setdefault(
            chunk.digest + chunk.count.to_bytes(4), Assembly(count=chunk.count)
        )
        while len(self.assemblies) > MAX_ASSEMBLIES:
            self.assemblies.popitem(last=False)
        if chunk.index not in assembly.chunks:
            assembly.chunks[chunk.index] = chunk.data
            assembly.size += len(chunk.data)
        if assembly.size > MAX_SNAPSHOT_BYTES:
            self.assemblies.clear()
            return False
        if len(assembly.chunks) < assembly.count:
            return False
        self.assemblies.clear()
        encoded = b"".join(assembly.chunks[i] for i in range(assembly.count))
        if snapshot_digest(encoded) != chunk.digest:
            self._refuse("a snapshot does not match its digest")
            return False
        return self.take_whole(decode_snapshot(encoded, self.held))

    def _refuse(self, reason: str) -> None:
        self.refused += 1
        logging.log_first_n(logging.WARNING, "configuration refused: %s", 10, reason)


def _version_of(raw: bytes) -> float:
    """Return the version of a record; infinite where the bytes are none."""
    try:
        return decode(raw, Record).version
    except ValueError:
        return math.inf


def now_seconds() -> float:
    """Return the monotonic time; 0 where no event loop runs."""
    try:
        return anyio.current_time()
    except anyio.NoEventLoopError:
        return 0.0
