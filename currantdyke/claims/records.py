"""Claims as they stand in the store: records, heads and sealed segments."""

import enum
import functools
import hashlib
from typing import Any

import msgspec
import xxhash

__all__ = [
    "SLICES",
    "Head",
    "Link",
    "Record",
    "Segment",
    "State",
    "body_digest",
    "key_digest",
    "slice_of",
    "slice_owner",
]

SLICES = 32
KEY_DIGEST_BYTES = 16
BODY_DIGEST_BYTES = 8


class State(enum.Enum):
    """What is known of the request that holds a claim.

    ``CLAIMED``: it may run.  ``RELEASED``: it has not run and never will.  The
    others are its outcome.
    """

    CLAIMED = "c"
    RELEASED = "r"
    DONE = "d"
    FAILED = "f"
    UNKNOWN = "u"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One claim.

    Attributes
    ----------
    request_id : str
        The request that holds it; names its daemon and is the writer's nonce.
    body : bytes
        Digest of what was asked.
    claimed, until : float
        Wall clock times of the claim and of the request's deadline.
    result : bytes
        What a resend is told, in JSON; empty where nothing is kept.
    """

    request_id: str
    body: bytes
    claimed: float
    until: float
    state: State = State.CLAIMED
    result: bytes = b""


class Link(msgspec.Struct, frozen=True, array_like=True):
    """A sealed segment: its name and the time of its newest claim."""

    name: str
    newest: float


class Segment(msgspec.Struct, array_like=True):
    """Claims that are no longer written to, and the segment before them."""

    records: dict[bytes, Record]
    previous: Link | None = None


class Head(msgspec.Struct, array_like=True):
    """The one value of a slice that every claim moves: the active claims.

    Because each claim is a compare-and-swap of the head, a writer whose swap
    succeeds has seen every earlier claim of the slice.
    """

    active: dict[bytes, Record] = {}
    sealed: Link | None = None


def key_digest(workspace: str, key: str) -> bytes:
    """Return the digest of a workspace's idempotency key.

    Examples
    --------
    >>> len(key_digest("jos", "fee-17"))
    16
    >>> key_digest("jos", "fee-17") == key_digest("ibadan", "fee-17")
    False
    """
    text = f"{len(workspace)}:{workspace}:{key}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_DIGEST_BYTES).digest()


def body_digest(pipeline: str, body: Any) -> bytes:
    """Return the digest of what a request asks for."""
    text = msgspec.json.encode([pipeline, body], order="deterministic")
    return hashlib.blake2b(text, digest_size=BODY_DIGEST_BYTES).digest()


def slice_of(digest: bytes) -> int:
    """Return the slice of a key's digest, from 0 to ``SLICES - 1``."""
    return digest[0] % SLICES


@functools.lru_cache(maxsize=1024)
def slice_owner(number: int, daemons: tuple[str, ...]) -> str:
    """Return the daemon that writes a slice, by rendezvous hashing.

    Examples
    --------
    >>> slice_owner(3, ("entry-1", "entry-2")) in ("entry-1", "entry-2")
    True
    """
    return max(
        daemons, key=lambda name: xxhash.xxh64_intdigest(f"{number}/{name}".encode())
    )
