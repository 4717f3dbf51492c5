"""What peers hand to one another: consecutive records, or a snapshot in chunks.

Everything in it is verified by whoever takes it in; nothing is believed.
"""

import hashlib
import pathlib
import zlib
from collections.abc import Iterable
from typing import Any

import attrs
import capnp
from expression import Error, Result

from currantdyke.bundle.content import Content, decode_part
from currantdyke.bundle.versions import Version, verified_whole

__all__ = [
    "Chunk",
    "decode_snapshot",
    "decode_update",
    "encode_chunk",
    "encode_records",
    "encode_snapshot",
]

MAX_SNAPSHOT_BYTES = 32_000_000
MAX_CHUNKS = 65_536
COMPRESSION_LEVEL = 1

capnp.remove_import_hook()
_schema: Any = capnp.load(str(pathlib.Path(__file__).with_name("update.capnp")))


@attrs.frozen(kw_only=True)
class Chunk:
    """A piece of a snapshot; ``digest`` names the snapshot it is cut from."""

    version: int
    index: int
    count: int
    digest: bytes
    data: bytes


def encode_records(records: Iterable[bytes]) -> bytes:
    """Return an update of consecutive records, oldest first."""
    return _schema.Update.new_message(records=list(records)).to_bytes()


def encode_chunk(chunk: Chunk) -> bytes:
    """Return an update that is one chunk of a snapshot."""
    return _schema.Update.new_message(chunk=attrs.asdict(chunk)).to_bytes()


def decode_update(raw: bytes) -> list[bytes] | Chunk | None:
    """Return the records or the chunk of an update, or None for other bytes."""
    try:
        with _schema.Update.from_bytes(raw) as update:
            if update.which() == "records":
                return [bytes(record) for record in update.records]
            chunk = update.chunk
            return Chunk(
                version=chunk.version,
                index=chunk.index,
                count=chunk.count,
                digest=bytes(chunk.digest),
                data=bytes(chunk.data),
            )
    except (capnp.KjException, ValueError):
        return None


def encode_snapshot(version: Version) -> bytes:
    """Return a whole version, compressed."""
    content = version.content
    parts = [content.part(name) for name in sorted(content.buckets)]
    message = _schema.Snapshot.new_message(record=version.raw, parts=parts)
    return zlib.compress(message.to_bytes(), COMPRESSION_LEVEL)


def snapshot_digest(snapshot: bytes) -> bytes:
    """Return the digest that a snapshot's chunks carry."""
    return hashlib.sha256(snapshot).digest()


def decode_snapshot(raw: bytes, known: Version) -> Result[Version, str]:
    """Return the version in a snapshot, verified."""
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(raw, MAX_SNAPSHOT_BYTES)
        if not inflater.eof:
            return Error(f"a snapshot of more than {MAX_SNAPSHOT_BYTES} bytes")
        with _schema.Snapshot.from_bytes(plain) as snapshot:
            record = bytes(snapshot.record)
            items = [
                item
                for part in snapshot.parts
                for item in decode_part(bytes(part)).items()
            ]
    except (zlib.error, capnp.KjException, ValueError) as error:
        return Error(f"no snapshot: {error}")
    return verified_whole(record, Content.of_items(items), known)
