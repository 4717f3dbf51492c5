"""Log of one request's events, encoded as callers receive them."""

import array
import itertools

import attrs

__all__ = ["EventLog"]

SEALED_OVERHEAD_BYTES = 1_500


@attrs.define(kw_only=True, eq=False)
class EventLog:
    """Server-sent events, encoded once for any number of readers.

    While the request runs, each event is a separate object. ``seal`` joins them into
    one, since a request that has ended is kept only to be read again.

    Attributes
    ----------
    open_events : list of bytes
        The events so far; empty once the log is sealed.
    sealed : bytes
        All events, once the log is sealed.
    offsets : array of int
        Offset of each event in ``sealed``.
    last_data : bytes
        Data of the last event.

    Examples
    --------
    >>> log = EventLog()
    >>> log.append("accepted", b"{}")
    >>> log.append("token", b'{"text":"a"}')
    >>> log.seal()
    >>> log.since(1).splitlines()[:2]
    [b'id: 1', b'event: token']
    """

    open_events: list[bytes] = attrs.field(factory=list)
    sealed: bytes = b""
    offsets: array.array = attrs.field(factory=lambda: array.array("L"))
    last_data: bytes = b""

    def __len__(self) -> int:
        """Return the number of events."""
        return len(self.offsets) or len(self.open_events)

    def append(self, name: str, data: bytes) -> None:
        """Append an event; its id is the next number."""
        self.last_data = data
        self.open_events.append(
            b"id: %d\nevent: %s\ndata: %s\n\n"
            % (len(self.open_events), name.encode(), data)
        )

    def since(self, first: int) -> bytes:
        """Return the events from number ``first`` on, concatenated."""
        if not self.offsets:
            return b"".join(self.open_events[first:])
        if first >= len(self.offsets):
            return b""
        return self.sealed[self.offsets[first] :]

    def seal(self) -> None:
        """Join the events; none can be appended afterwards."""
        lengths = (len(event) for event in self.open_events[:-1])
        self.offsets.extend(itertools.accumulate(lengths, initial=0))
        self.sealed = b"".join(self.open_events)
        self.open_events = []

    def size_bytes(self) -> int:
        """Return the approximate memory use of a sealed log and its request."""
        offsets_bytes = len(self.offsets) * self.offsets.itemsize
        return (
            SEALED_OVERHEAD_BYTES
            + len(self.sealed)
            + offsets_bytes
            + 2 * len(self.last_data)
        )
