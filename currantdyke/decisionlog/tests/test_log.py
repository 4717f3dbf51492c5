import os
import unittest

import msgspec

from currantdyke.decisionlog import DecisionLog
from currantdyke.decisionlog.log import MAX_LINES_PER_SECOND, MAX_QUEUED_LINES


class TestDecisionLog(unittest.TestCase):
    def setUp(self):
        self.read, self.write = os.pipe()
        os.set_blocking(self.write, False)
        os.set_blocking(self.read, False)
        self.now = 10.0
        self.log = DecisionLog(
            daemon="d", descriptor=self.write, steady=lambda: self.now
        )

    def tearDown(self):
        os.close(self.read)
        os.close(self.write)

    def read_lines(self) -> list[dict]:
        data = b""
        while True:
            try:
                data += os.read(self.read, 1_000_000)
            except BlockingIOError:
                return [msgspec.json.decode(line) for line in data.splitlines()]

    def test_line_contains_event_and_fields(self):
        self.log.write("refused", request="a", reason={"x"})
        self.log.flush()
        line = self.read_lines()[0]
        self.assertEqual(line["event"], "refused")
        self.assertEqual((line["request"], line["daemon"]), ("a", "d"))

    def test_lines_above_the_rate_limit_are_dropped_and_reported(self):
        for _ in range(3 * MAX_LINES_PER_SECOND):
            self.log.write("fine")
        for _ in range(3 * MAX_LINES_PER_SECOND):
            self.log.write("bad", failure=True)
        self.now += 1
        self.log.flush()
        events = [line["event"] for line in self.read_lines()]
        self.assertEqual(events.count("fine"), MAX_LINES_PER_SECOND)
        self.assertLessEqual(events.count("bad"), 2 * MAX_LINES_PER_SECOND)
        self.assertIn("lines_dropped", events)

    def test_stalled_reader_does_not_block_the_writer(self):
        for _ in range(100):
            self.now += 1
            for _ in range(MAX_LINES_PER_SECOND):
                self.log.write("line", filler="x" * 200)
            self.log.flush()
        self.assertLessEqual(len(self.log.waiting), MAX_QUEUED_LINES)
        self.assertGreater(self.log.dropped, 0)


if __name__ == "__main__":
    unittest.main()
