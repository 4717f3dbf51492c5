"""The last few large values, which are the bases of differences."""

import collections
from collections.abc import Collection

import attrs

from currantdyke.core import Position
from currantdyke.decisionlog import DecisionLog
from currantdyke.largevalues.encoding import decode_value, digest, encode_value
from currantdyke.largevalues.messages import PartRequest, ValueOffer, ValuePart

__all__ = ["PART_BYTES", "ValueHistory"]

# Daemons follow a change within a second or two, so that one which names an older value
# than these has been out of touch.
MAX_VALUES = 5
# Bounds the memory if values take megabytes; the newest one is kept in any case.
MAX_TOTAL_BYTES = 8_000_000
# Other frames on a link wait for a few parts at most: about 50 ms at 5 Mbit/s.
PART_BYTES = 8_192
NO_BASE = b""


@attrs.define(kw_only=True, eq=False)
class ValueHistory:
    """Large values by digest, the newest last.

    Examples
    --------
    >>> history = ValueHistory()
    >>> first, second = b"a" * 5_000, b"a" * 5_000 + b"b"
    >>> names = [history.add(first), history.add(second)]
    >>> offer = history.offer("key", Position(1, 7), names[1], [names[0]])
    >>> offer.base == names[0], offer.size
    (True, 5001)
    """

    values: collections.OrderedDict[bytes, bytes] = attrs.field(
        factory=collections.OrderedDict
    )

    def add(self, value: bytes) -> bytes:
        """Add a value, drop old ones beyond the limits, and return its digest."""
        name = digest(value)
        self.values[name] = value
        self.values.move_to_end(name)
        while len(self.values) > 1 and (
            len(self.values) > MAX_VALUES
            or sum(map(len, self.values.values())) > MAX_TOTAL_BYTES
        ):
            self.values.popitem(last=False)
        return name

    def find(self, name: bytes) -> bytes | None:
        """Return a value by its digest; the empty digest names the empty value."""
        return self.values.get(name) if name else b""

    def offer(
        self, key: str, position: Position, name: bytes, bases: Collection[bytes]
    ) -> ValueOffer:
        """Return an offer of the value of an item to a daemon that has some ``bases``.

        The newest base that is known is used. A short encoding is contained.
        """
        value = self.values[name]
        known = [name for name in reversed(self.values) if name in bases]
        base = known[0] if known else NO_BASE
        encoded, encoded_digest = encode_value(value, self.find(base) or b"")
        return ValueOffer(
            key=key,
            revision=position.revision,
            era=position.era,
            digest=name,
            size=len(value),
            base=base,
            encoded_digest=encoded_digest,
            encoded_size=len(encoded),
            data=encoded if len(encoded) <= PART_BYTES else b"",
        )

    def decode(self, offer: ValueOffer, data: bytes, log: DecisionLog) -> bytes | None:
        """Return an offered value from its encoding, or None if it can't be decoded."""
        base = self.find(offer.base)
        if base is None:
            return None
        try:
            value = decode_value(data, offer.size, base)
        except ValueError as error:
            reason = str(error)
        else:
            if digest(value) == offer.digest:
                return value
            reason = "the value has another digest"
        log.write("value_unreadable", failure=True, key=offer.key, reason=reason)
        return None

    def part(self, request: PartRequest) -> ValuePart:
        """Return a part of an encoded value."""
        value, base = self.find(request.digest), self.find(request.base)
        if not value or base is None:
            return ValuePart(data=b"")
        encoded, encoded_digest = encode_value(value, base)
        if encoded_digest != request.encoded_digest:
            # Another version of the library has made the parts that the sender has.
            return ValuePart(data=b"")
        return ValuePart(data=encoded[request.start : request.start + PART_BYTES])
