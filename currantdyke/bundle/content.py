"""Content-addressed parts: the items of a bundle in buckets of bounded size."""

import hashlib
from collections.abc import Iterable, Mapping

import attrs
import msgspec
import xxhash

from currantdyke.bundle.items import bundle_items
from currantdyke.bundle.schema import Bundle

__all__ = ["Content", "bucket_of", "content_hash", "decode_part"]

BUCKETS = {"workspaces": 64, "endpoints": 16}


def content_hash(value: bytes) -> str:
    """Return the name of a part: the SHA-256 of its bytes."""
    return hashlib.sha256(value).hexdigest()


def bucket_of(path: str) -> str:
    """Return the bucket that an item is kept in.

    Examples
    --------
    >>> bucket_of("policy/")
    'policy-0'
    """
    section = path.partition("/")[0]
    number = xxhash.xxh32_intdigest(path.encode()) % BUCKETS.get(section, 1)
    return f"{section}-{number}"


def encode_part(items: Mapping[str, bytes]) -> bytes:
    """Return a bucket as it stands in the store."""
    pairs = sorted((path, text.decode()) for path, text in items.items())
    return msgspec.json.encode(pairs)


def decode_part(part: bytes) -> dict[str, bytes]:
    """Return the items of a part.

    Raises
    ------
    ValueError
        The bytes are no part.
    """
    pairs = msgspec.json.decode(part, type=list[tuple[str, str]])
    return {path: text.encode() for path, text in pairs}


@attrs.frozen(kw_only=True, eq=False)
class Content:
    """All items of one version; shares untouched buckets with its neighbours.

    Attributes
    ----------
    buckets : dict
        Items by bucket, then by path.
    hashes : dict
        Hash of each bucket's part.
    root : str
        Hash of the manifest, which lists the hashes.
    """

    buckets: dict[str, dict[str, bytes]]
    hashes: dict[str, str]
    manifest: bytes
    root: str

    @classmethod
    def of_items(cls, items: Iterable[tuple[str, bytes]]) -> "Content":
        """Return the content with these items."""
        return EMPTY.edited(dict(items))

    @classmethod
    def of_bundle(cls, bundle: Bundle) -> "Content":
        """Return the content that a bundle is kept as."""
        return cls.of_items(bundle_items(bundle))

    def get(self, path: str) -> bytes | None:
        """Return an item's text, or None."""
        return self.buckets.get(bucket_of(path), {}).get(path)

    def items(self) -> dict[str, bytes]:
        """Return all items by path."""
        return {
            p: text for bucket in self.buckets.values() for p, text in bucket.items()
        }

    def part(self, bucket: str) -> bytes:
        """Return the bytes of a bucket's part."""
        return encode_part(self.buckets[bucket])

    def edited(self, edits: Mapping[str, bytes | None]) -> "Content":
        """Return the content after edits; None removes an item."""
        touched: dict[str, dict[str, bytes]] = {}
        for path, text in edits.items():
            name = bucket_of(path)
            if name not in touched:
                touched[name] = dict(self.buckets.get(name, {}))
            if text is None:
                touched[name].pop(path, None)
            else:
                touched[name][path] = text
        buckets = {**self.buckets, **touched}
        hashes = dict(self.hashes)
        for name, items in touched.items():
            if items:
                hashes[name] = content_hash(encode_part(items))
            else:
                del buckets[name]
                hashes.pop(name, None)
        return _content(buckets, hashes)

    def edits_to(self, other: "Content") -> dict[str, bytes | None]:
        """Return the edits that turn this content into another."""
        names = {
            name
            for name in {**self.hashes, **other.hashes}
            if self.hashes.get(name) != other.hashes.get(name)
        }
        old = {p: t for name in names for p, t in self.buckets.get(name, {}).items()}
        new = {p: t for name in names for p, t in other.buckets.get(name, {}).items()}
        changed = {path: text for path, text in new.items() if old.get(path) != text}
        removed = dict.fromkeys(old.keys() - new.keys())
        return dict(sorted({**changed, **removed}.items()))


def _content(buckets, hashes) -> Content:
    manifest = msgspec.json.encode(hashes, order="sorted")
    return Content(
        buckets=buckets, hashes=hashes, manifest=manifest, root=content_hash(manifest)
    )


EMPTY = _content({}, {})
