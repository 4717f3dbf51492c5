"""The bundle in the store: content-addressed texts and one head."""

import hashlib

import attrs
import msgspec
from absl import logging
from expression import Error, Ok, Result

from currantdyke.bundle.in_force import BundleInForce
from currantdyke.bundle.schema import Bundle, check_bundle
from currantdyke.documents import Problem
from currantdyke.store import Entry, Store, StoreError, Unavailable

__all__ = ["Head", "fetch_bundle", "follow_bundle", "publish_bundle"]

DUTY = "bundle"
HEAD_KEY = "currantdyke/bundle/head"
PART_PREFIX = "currantdyke/bundle/part/"
POLL_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class Head:
    """The version in force and the hash of its text."""

    version: int
    content: str

    def encode(self) -> bytes:
        """Return the head as it stands in the store."""
        return msgspec.json.encode(attrs.asdict(self))

    @classmethod
    def decode(cls, value: bytes) -> "Head":
        """Read a head from the store."""
        return msgspec.json.decode(value, type=cls)


async def publish_bundle(
    store: Store, text: str
) -> Result[Head, StoreError | list[Problem]]:
    """Check a bundle, write its text and move the head to it."""
    checked = check_bundle(text)
    if checked.is_error():
        return Error(checked.error)
    content = hashlib.sha256(text.encode()).hexdigest()
    current = await store.get(HEAD_KEY, duty=DUTY)
    if current.is_error():
        return Error(current.error)
    written = await store.compare_and_swap(
        PART_PREFIX + content, 0, text.encode(), duty=DUTY
    )
    if written.is_error() and isinstance(written.error, Unavailable):
        return Error(written.error)
    entry = current.ok
    version = Head.decode(entry.value).version + 1 if entry else 1
    head = Head(version=version, content=content)
    revision = entry.revision if entry else 0
    moved = await store.compare_and_swap(HEAD_KEY, revision, head.encode(), duty=DUTY)
    return moved.map(lambda _: head)


async def fetch_bundle(store: Store, entry: Entry) -> Result[tuple[Head, Bundle], str]:
    """Return the head in an entry and the bundle that it names, verified."""
    head = Head.decode(entry.value)
    part = await store.get(PART_PREFIX + head.content, duty=DUTY)
    if part.is_error() or part.ok is None:
        return Error(f"the text of version {head.version} cannot be read")
    text = part.ok.value
    if hashlib.sha256(text).hexdigest() != head.content:
        return Error(f"the text of version {head.version} does not match its hash")
    checked = check_bundle(text.decode())
    if checked.is_error():
        return Error(f"version {head.version} is not valid: {checked.error[0]}")
    return Ok((head, checked.ok))


async def follow_bundle(store: Store, in_force: BundleInForce) -> None:
    """Take the head's version into force, if it is higher."""
    answer = await store.get(HEAD_KEY, duty=DUTY)
    if answer.is_error() or answer.ok is None:
        return
    if Head.decode(answer.ok.value).version <= in_force.version:
        return
    fetched = await fetch_bundle(store, answer.ok)
    if fetched.is_error():
        logging.warning("bundle not taken: %s", fetched.error)
        return
    head, bundle = fetched.ok
    if in_force.accept(head.version, bundle):
        logging.info("bundle version %d is in force", head.version)
