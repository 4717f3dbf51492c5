"""The events of one request, in the form in which callers get them."""

import array
import itertools

import attrs

__all__ = ["EventLog"]

SEALED_OVERHEAD_BYTES = 1_500


@attrs.define(kw_only=True, eq=False)
class EventLog:
    """Server-sent events, encoded once however many callers read them.

    While the request runs each event is an object of its own; ``seal`` joins them,
    since a request that has ended is kept for a while only to be read again.

    Attributes
    ----------
    running : list of bytes
        The events so far; empty once the log is sealed.
    sealed : bytes
        All events, once the log is sealed.
    starts : array of int
        Where each event begins in ``sealed``.
    last_data : bytes
        The data of the last event.

    Examples
    --------
    >>> log = EventLog()
    >>> log.append("accepted", b"{}")
    >>> log.append("token", b'{"text":"a"}')
    >>> log.seal()
    >>> log.since(1).splitlines()[:2]
    [b'id: 1', b'event: token']
    """

    running: list[bytes] = attrs.field(factory=list)
    sealed: bytes = b""
    starts: array.array = attrs.field(factory=lambda: array.array("L"))
    last_data: bytes = b""

    def __len__(self) -> int:
        """Return how many events there are."""
        return len(self.starts) or len(self.running)

    def append(self, name: str, data: bytes) -> None:
        """Add an event with the next number."""
        self.last_data = data
        self.running.append(
            b"id: %d\nevent: %s\ndata: %s\n\n"
            % (len(self.running), name.encode(), data)
        )

    def since(self, first: int) -> bytes:
        """Return the events from number ``first`` on, joined."""
        if not self.starts:
            return b"".join(self.running[first:])
        if first >= len(self.starts):
            return b""
        return self.sealed[self.starts[first] :]

    def seal(self) -> None:
        """Join the events; nothing can be added after that."""
        lengths = (len(event) for event in self.running[:-1])
        self.starts.extend(itertools.accumulate(lengths, initial=0))
        self.sealed = b"".join(self.running)
        self.running = []

    def size_bytes(self) -> int:
        """Return about what a sealed log and its request take in memory."""
        starts = len(self.starts) * self.starts.itemsize
        return (
            SEALED_OVERHEAD_BYTES + len(self.sealed) + starts + 2 * len(self.last_data)
        )
