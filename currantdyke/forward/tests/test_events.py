"""Streams of events that arrive in small parts, and events that do not end."""

import re
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from currantdyke.forward.events import (
    MAX_EVENT_BYTES,
    MAX_EVENT_PARTS,
    EventSplitter,
    EventTooLongError,
)

# A faulty engine of the review sent 200 kB/s, so that these bytes took five seconds.
# The parts of one such stream may cost a tenth of that.
MAX_PROCESSOR_SECONDS = 0.5
LINE_ENDS = (b"\n", b"\r\n", b"\r")


def cut(data, size):
    """Return data in parts of a size."""
    return [data[start : start + size] for start in range(0, len(data), size)]


def feed_all(parts):
    """Feed parts until one raises; return the events and whether one raised."""
    splitter = EventSplitter()
    complete = b""
    try:
        for part in parts:
            events, _ = splitter.feed(part)
            complete += events
            if splitter.has_foreign_bytes:
                return complete, True
    except EventTooLongError:
        return complete, True
    return complete, False


class TestCost(unittest.TestCase):
    # Guards against a gateway that stands still for an event in many small parts
    # (review case 6): each part had the whole unfinished event searched again.
    def test_unfinished_event_costs_as_much_as_its_bytes(self):
        size = MAX_EVENT_BYTES // MAX_EVENT_PARTS
        for name, part in (
            ("one line", b"x" * size),
            ("a line a part", b"data:" + b"x" * (size - 6) + b"\n"),
            ("a line end a byte", b"a:\n" * (size // 3)),
        ):
            splitter = EventSplitter()
            splitter.feed(b"data: begins\n")
            started = time.process_time()
            for _ in range(MAX_EVENT_PARTS - 1):
                splitter.feed(part)
            seconds = time.process_time() - started
            with self.subTest(name=name):
                self.assertLess(seconds, MAX_PROCESSOR_SECONDS)


class TestUnfinishedEvents(unittest.TestCase):
    # Guards against a faulty engine that occupies the gateway for as long as it sends.
    def test_event_in_too_many_parts_raises(self):
        for part in (b"x", b"a:\n"):
            with self.subTest(part=part):
                parts = [b"data: "] + [part] * (MAX_EVENT_PARTS + 1)
                self.assertEqual(feed_all(parts), (b"", True))

    def test_parts_are_counted_for_each_event(self):
        event = b"id: 1\ndata: " + b"x" * (MAX_EVENT_PARTS // 2) + b"\n\n"
        parts = cut(3 * event, 1)
        self.assertEqual(feed_all(parts), (3 * event, False))

    # Guards against a caller that waits for an engine that sends something else.
    def test_bytes_without_a_field_are_noticed_before_they_end(self):
        for size in (1, 8, 64, 4_096):
            with self.subTest(size=size):
                parts = cut(b"x" * 4_096, size)
                self.assertEqual(feed_all(parts), (b"", True))

    # Guards against ready events that are lost with the unfinished one behind them.
    def test_events_before_one_that_is_too_long_are_returned(self):
        event = b"id: 1\ndata: 1\n\n"
        long = b"data: " + b"x" * MAX_EVENT_BYTES
        self.assertEqual(feed_all([event + long, b"x"]), (event, True))


class TestParts(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.sampled_from(LINE_ENDS), st.binary(max_size=30)), max_size=8
        ),
        st.data(),
    )
    def test_events_do_not_depend_on_the_parts(self, drawn, data):
        stream = b"".join(
            b"data: " + re.sub(rb"[\r\n]", b"", text) + 2 * end for end, text in drawn
        )
        parts = []
        rest = stream
        while rest:
            size = data.draw(st.integers(1, len(rest)))
            parts.append(rest[:size])
            rest = rest[size:]
        self.assertEqual(feed_all(parts), (stream, False))


if __name__ == "__main__":
    unittest.main()
