import json
import logging
import sys
import unittest

from currantdyke.logs import JsonFormatter


class TestJsonFormatter(unittest.TestCase):
    def test_record_with_a_traceback_is_one_line_of_json(self):
        try:
            raise ValueError("two\nlines")
        except ValueError:
            exc_info = sys.exc_info()
        record = logging.LogRecord("absl", 40, "a.py", 3, "timer %s", ("x",), exc_info)
        line = JsonFormatter().format(record)
        self.assertNotIn("\n", line)
        body = json.loads(line)
        self.assertEqual(body["message"], "timer x")
        self.assertIn("two\nlines", body["exception"])


if __name__ == "__main__":
    unittest.main()
