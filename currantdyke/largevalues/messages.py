"""Messages between daemons about large values."""

import attrs

from currantdyke.core import Position

__all__ = ["PartRequest", "ValueOffer", "ValuePart"]


@attrs.frozen(kw_only=True)
class ValueOffer:
    """Describes an item with a large value in place of its change.

    Attributes
    ----------
    revision, era : int
        Position of the change in the history of the store.
    digest : bytes
        Of the value.
    size : int
        Bytes of the value.
    base : bytes
        Digest of the value that the encoded one is a difference from; empty for none.
    encoded_digest : bytes
        Of the encoded value; daemons that name the same one send the same parts.
    encoded_size : int
        Bytes of the encoded value.
    data : bytes
        The encoded value; empty if it must be requested in parts.
    """

    key: str
    revision: int
    digest: bytes
    size: int
    base: bytes
    encoded_digest: bytes
    encoded_size: int
    data: bytes = b""
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the change in the history of the store."""
        return Position(self.era, self.revision)


@attrs.frozen(kw_only=True)
class PartRequest:
    """Requests a part of an encoded value; see `ValueOffer`.

    Attributes
    ----------
    start : int
        Number of bytes before the part.
    """

    digest: bytes
    base: bytes
    encoded_digest: bytes
    start: int


@attrs.frozen(kw_only=True)
class ValuePart:
    """Response to a `PartRequest`; empty if the daemon no longer has the value."""

    data: bytes
