"""Changes, the signatures under them, and the records of accepted changes."""

import time
from collections.abc import Mapping
from typing import TypeVar

import attrs
import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from currantdyke.bundle.content import Content, content_hash

__all__ = [
    "Change",
    "Edit",
    "Head",
    "Proposal",
    "Record",
    "Signature",
    "Signer",
    "decode",
    "edits_between",
    "encode",
]

T = TypeVar("T")


def encode(value: object) -> bytes:
    """Return the one encoding of a change, record, head or proposal."""
    return msgspec.json.encode(value, order="deterministic")


def decode(raw: bytes, kind: type[T]) -> T:
    """Read a value; raises ``ValueError`` where the bytes are none."""
    return msgspec.json.decode(raw, type=kind)


@attrs.frozen(kw_only=True)
class Edit:
    """One item's new text, and the hash of the text that it replaces.

    ``text`` is None for a removal; ``replaces`` is empty for an addition.
    """

    path: str
    text: str | None
    replaces: str


@attrs.frozen(kw_only=True)
class Change:
    """What an operator proposes.

    Attributes
    ----------
    edits : tuple of Edit
        The edits, where they are few; otherwise in ``edit_parts``.
    edit_parts : tuple of str
        Hashes of the parts in the store that hold the edits.
    restores : int
        The version whose content a roll-back restores, or 0.
    """

    change_id: str
    proposer: str
    base_version: int
    comment: str = ""
    proposed_at: float
    restores: int = 0
    edits: tuple[Edit, ...] = ()
    edit_parts: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Signature:
    """An operator's signature and the key that checks it."""

    operator: str
    public_key: str
    signature: str

    def holds_for(self, message: bytes) -> bool:
        """Return whether the signature is the key's under ``message``."""
        try:
            key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(self.public_key))
            key.verify(bytes.fromhex(self.signature), message)
        except (InvalidSignature, ValueError):
            return False
        return True


@attrs.frozen(kw_only=True)
class Signer:
    """An operator at work: a name and a private key."""

    name: str
    private_key: Ed25519PrivateKey

    @property
    def public_key(self) -> str:
        """Return the public key in hexadecimal digits."""
        return self.private_key.public_key().public_bytes_raw().hex()

    def sign(self, message: bytes) -> Signature:
        """Return this operator's signature under ``message``."""
        signature = self.private_key.sign(message).hex()
        return Signature(
            operator=self.name, public_key=self.public_key, signature=signature
        )


@attrs.frozen(kw_only=True)
class Proposal:
    """A change on its way: signed by its proposer, then signed off by another."""

    change: Change
    proposed: Signature
    signed_off: Signature | None = None


@attrs.frozen(kw_only=True)
class Record:
    """An accepted change: its place in the chain of versions.

    Attributes
    ----------
    previous : str
        Hash of the record of the version before; empty for the first.
    root : str
        Hash of the manifest of the content after the change.
    written : dict
        The store's revision of each part that was written for the version, by
        hash; what the collector deletes it at, later.
    rolled : Signature or None
        Signature of the operator who rolled it, under all other fields.
    """

    version: int
    previous: str
    root: str
    change: Change
    proposed: Signature
    signed_off: Signature
    rolled_at: float
    written: dict[str, int] = attrs.field(factory=dict)
    rolled: Signature | None = None

    def signed_by(self, signer: Signer) -> "Record":
        """Return the record with the signature of the operator who rolls it."""
        unsigned = attrs.evolve(self, rolled=None)
        return attrs.evolve(self, rolled=signer.sign(encode(unsigned)))

    def signature_problem(self, operators: Mapping[str, str] | None) -> str | None:
        """Return what is wrong with the signatures, or None.

        Parameters
        ----------
        operators : mapping or None
            Public keys by operator; None checks only that signatures hold.
        """
        message = encode(self.change)
        signatures = [self.proposed, self.signed_off]
        if not all(signature.holds_for(message) for signature in signatures):
            return "a signature under the change does not hold"
        unsigned = encode(attrs.evolve(self, rolled=None))
        if self.rolled is None or not self.rolled.holds_for(unsigned):
            return "the signature under the record does not hold"
        if self.proposed.operator != self.change.proposer:
            return f"the change is not signed by its proposer {self.change.proposer}"
        if self.proposed.operator == self.signed_off.operator:
            return f"{self.proposed.operator} signed off a change of their own"
        if self.proposed.public_key == self.signed_off.public_key:
            return "proposal and sign-off are signed with the same key"
        if operators is None:
            return None
        for signature in (*signatures, self.rolled):
            if operators.get(signature.operator) != signature.public_key:
                return f"{signature.operator} is no operator of the version before"
        return None


@attrs.frozen(kw_only=True)
class Head:
    """The one key that moves: which record is the newest."""

    version: int
    record: str
    root: str
    change_id: str
    proposer: str
    signed_off_by: str
    rolled_by: str

    @classmethod
    def of(cls, record: Record) -> "Head":
        """Return the head that names a record."""
        assert record.rolled is not None
        return cls(
            version=record.version,
            record=content_hash(encode(record)),
            root=record.root,
            change_id=record.change.change_id,
            proposer=record.change.proposer,
            signed_off_by=record.signed_off.operator,
            rolled_by=record.rolled.operator,
        )


def edits_between(old: Content, new: Content) -> tuple[Edit, ...]:
    """Return the edits from one content to another, by path."""
    return tuple(
        Edit(
            path=path,
            text=None if text is None else text.decode(),
            replaces=item_hash(old.get(path)),
        )
        for path, text in old.edits_to(new).items()
    )


def item_hash(text: bytes | None) -> str:
    """Return the hash that an edit names what it replaces by."""
    return "" if text is None else content_hash(text)


def wall_seconds() -> float:
    """Return the wall-clock time, for people who read the history."""
    return time.time()
