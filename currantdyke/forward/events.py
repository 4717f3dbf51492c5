"""Split a stream of server-sent events into complete events."""

import re

__all__ = ["EventSplitter", "EventTooLongError"]

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_ID = re.compile(rb"(?:^|\n|\r)id:[ ]?([^\r\n]*)")
# Engines write only fields and comments, which have a colon; the status line of a
# response has none.
FOREIGN_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]+[\r\n]")
# Engines send no event that is longer than this.
MAX_EVENT_BYTES = 1_048_576


class EventTooLongError(Exception):
    """An event exceeds ``MAX_EVENT_BYTES``."""


class EventSplitter:
    r"""Buffers bytes and returns complete events only.

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
        self.remainder = b""
        self.has_foreign_bytes = False

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has started but not ended."""
        return bool(self.remainder)

    def feed(self, data: bytes) -> tuple[bytes, bytes | None]:
        """Add bytes; return the complete events and the last id among them, or None.

        Raises
        ------
        EventTooLongError
            If an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        buffer = self.remainder + data
        end = 0
        for match in EVENT_END.finditer(buffer):
            if FOREIGN_LINE.search(buffer[end : match.end()]):
                self.has_foreign_bytes = True
                break
            end = match.end()
        complete, self.remainder = buffer[:end], buffer[end:]
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is over {MAX_EVENT_BYTES} bytes")
        ids = EVENT_ID.findall(complete)
        return complete, ids[-1].strip() if ids else None
