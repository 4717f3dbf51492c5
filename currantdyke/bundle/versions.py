"""From one verified version to the next."""

from collections.abc import Iterable

import attrs
from expression import Error, Ok, Result

from currantdyke.bundle.change import Edit, Record, decode, encode, item_hash
from currantdyke.bundle.content import EMPTY, Content, content_hash
from currantdyke.bundle.items import edited_bundle, empty_bundle
from currantdyke.bundle.schema import Bundle, bundle_problems

__all__ = ["Version", "advance", "applied", "overlapping", "verified_whole"]


@attrs.frozen(kw_only=True, eq=False)
class Version:
    """A verified version: its record, its content and the bundle built of it.

    Version 0 is the empty one that the first change is based on.
    """

    number: int = 0
    record: Record | None = None
    raw: bytes = b""
    record_hash: str = ""
    content: Content = EMPTY
    bundle: Bundle = attrs.field(factory=empty_bundle)

    @property
    def operators(self) -> dict[str, str]:
        """Return the public keys of those who may change this version."""
        return {name: o.public_key for name, o in self.bundle.operators.items()}


def overlapping(content: Content, edits: Iterable[Edit]) -> list[str]:
    """Return the paths that do not stand as the edits expect them."""
    return [
        edit.path
        for edit in edits
        if item_hash(content.get(edit.path)) != edit.replaces
    ]


def applied(
    version: Version, edits: Iterable[Edit]
) -> Result[tuple[Content, Bundle], str]:
    """Return content and bundle after edits, or why they do not fit."""
    edits = tuple(edits)
    clashes = overlapping(version.content, edits)
    if clashes:
        return Error(f"{clashes[0]} is not as the change expects it")
    texts = {e.path: None if e.text is None else e.text.encode() for e in edits}
    try:
        bundle = edited_bundle(version.bundle, texts)
    except (ValueError, KeyError) as error:
        return Error(f"the change does not fit: {error}")
    problems = bundle_problems(bundle)
    if problems:
        return Error(f"the bundle is not valid: {problems[0]}")
    return Ok((version.content.edited(texts), bundle))


def advance(version: Version, raw: bytes) -> Result[Version, str]:
    """Verify the next version's record and apply its edits.

    Parameters
    ----------
    version : Version
        The version that the record follows on.
    raw : bytes
        The record, with its edits inside.
    """
    read = _read(raw)
    if read.is_error():
        return Error(read.error)
    record = read.ok
    if record.version != version.number + 1:
        return Error(f"version {record.version} does not follow {version.number}")
    if record.previous != version.record_hash:
        return Error(f"version {record.version} follows another record")
    keys = version.operators if version.number else None
    problem = record.signature_problem(keys)
    if problem:
        return Error(f"version {record.version}: {problem}")
    if record.change.edit_parts:
        return Error(f"the edits of version {record.version} are not in its record")
    made = applied(version, record.change.edits)
    if made.is_error():
        return Error(made.error)
    content, bundle = made.ok
    return _as_recorded(record, raw, content, bundle)


def verified_whole(
    raw: bytes, content: Content, known: Version | None = None
) -> Result[Version, str]:
    """Verify a record against whole content.

    Parameters
    ----------
    raw : bytes
        The record.
    content : Content
        What it says the content is.
    known : Version, optional
        A version in force: one of its operators must have signed the record.
    """
    read = _read(raw)
    if read.is_error():
        return Error(read.error)
    record = read.ok
    try:
        bundle = edited_bundle(empty_bundle(), content.items())
    except (ValueError, KeyError) as error:
        return Error(f"no whole version: {error}")
    problem = record.signature_problem(None)
    if problem:
        return Error(f"version {record.version}: {problem}")
    if known is not None and known.number and not _signed_by_known(record, known):
        return Error(f"version {record.version} is signed by no operator known here")
    problems = bundle_problems(bundle)
    if problems:
        return Error(f"the bundle is not valid: {problems[0]}")
    return _as_recorded(record, raw, content, bundle)


def _read(raw: bytes) -> Result[Record, str]:
    """Read a record; bytes that only decode to the same record are refused.

    The chain names records by the hash of their bytes.
    """
    try:
        record = decode(raw, Record)
    except ValueError as error:
        return Error(f"no record: {error}")
    if encode(record) != raw:
        return Error(f"the record of version {record.version} is not as it was written")
    return Ok(record)


def _signed_by_known(record: Record, known: Version) -> bool:
    operators = known.operators
    signatures = (record.proposed, record.signed_off)
    return any(operators.get(s.operator) == s.public_key for s in signatures)


def _as_recorded(
    record: Record, raw: bytes, content: Content, bundle: Bundle
) -> Result[Version, str]:
    if content.root != record.root:
        return Error(f"the content of version {record.version} does not match its hash")
    return Ok(
        Version(
            number=record.version,
            record=record,
            raw=raw,
            record_hash=content_hash(raw),
            content=content,
            bundle=bundle,
        )
    )
