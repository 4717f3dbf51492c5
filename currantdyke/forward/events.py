"""Split a stream of server-sent events into complete events."""

import re

__all__ = ["EventSplitter", "EventTooLongError"]

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# Bytes before the newest part that may begin the end of an event.
EVENT_END_OVERLAP = 3
EVENT_ID = re.compile(rb"(?:^|\n|\r)id:[ ]?([^\r\n]*)")
# Engines write only fields and comments, which have a colon; the status line of a
# response has none.
FOREIGN_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]+[\r\n]")
# The names of fields are shorter.
MAX_FIELD_NAME_BYTES = 128
# Engines send no event that is longer than this, or in more parts.
MAX_EVENT_BYTES = 1_048_576
MAX_EVENT_PARTS = 4_096


class EventTooLongError(Exception):
    """An event exceeds ``MAX_EVENT_BYTES`` or ``MAX_EVENT_PARTS``."""


class EventSplitter:
    r"""Buffers bytes and returns complete events only.

    The work is linear in the bytes, whatever the number of parts in which they arrive.

    Attributes
    ----------
    has_foreign_bytes : bool
        Whether what follows the events that were returned is none, such as an error
        after the beginning of a stream.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    (b'id: 1\ndata: a\n\n', b'1')
    >>> splitter.has_partial_event
    True
    >>> splitter.feed(b"ta: b\n\n")
    (b'id: 2\ndata: b\n\n', b'2')
    >>> splitter.feed(b"HTTP/1.1 500 failed\r\n\r\n"), splitter.has_foreign_bytes
    ((b'', None), True)
    """

    def __init__(self):
        self.remainder = bytearray()
        # No event ends in the remainder before this index.
        self.searched = 0
        self.parts = 0
        self.has_foreign_bytes = False

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has started but not ended."""
        return bool(self.remainder)

    def feed(self, data: bytes, parts: int = 1) -> tuple[bytes, bytes | None]:
        """Add bytes; return the complete events and the last id among them, or None.

        Parameters
        ----------
        parts : int
            Number of parts of the body in which the bytes arrived.

        Raises
        ------
        EventTooLongError
            If an incomplete event is too long or has too many parts.
        """
        self.remainder += data
        self.parts += parts
        complete = self._take_events()
        if complete:
            self.parts = 0
        elif len(self.remainder) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is over {MAX_EVENT_BYTES} bytes")
        elif self.parts > MAX_EVENT_PARTS:
            raise EventTooLongError(f"an event is in over {MAX_EVENT_PARTS} parts")
        self.has_foreign_bytes |= self._lacks_field_name()
        ids = EVENT_ID.findall(complete)
        return complete, ids[-1].strip() if ids else None

    def _take_events(self) -> bytes:
        """Remove the complete events from the remainder, up to one that is none."""
        end = 0
        for match in EVENT_END.finditer(self.remainder, self.searched):
            if FOREIGN_LINE.search(self.remainder[end : match.end()]):
                self.has_foreign_bytes = True
                break
            end = match.end()
        complete = bytes(self.remainder[:end])
        del self.remainder[:end]
        self.searched = max(0, len(self.remainder) - EVENT_END_OVERLAP)
        return complete

    def _lacks_field_name(self) -> bool:
        """Return whether an unfinished event begins with no field or comment."""
        return (
            len(self.remainder) > MAX_FIELD_NAME_BYTES
            and b":" not in self.remainder[:MAX_FIELD_NAME_BYTES]
        )
