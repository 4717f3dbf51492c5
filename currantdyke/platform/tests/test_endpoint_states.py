import unittest

import h11

from currantdyke.platform.answers import decode_response_metadata


def decode(status=200, **headers):
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return decode_response_metadata(h11.Response(status_code=status, headers=fields))


class TestLeaving(unittest.TestCase):
    def test_every_answer_may_say_that_its_endpoint_leaves(self):
        for status in (200, 421, 500, 503):
            self.assertTrue(decode(status, server_leaving="1").leaving)

    def test_other_values_say_nothing(self):
        for value in ("0", "", "yes", "11"):
            self.assertFalse(decode(server_leaving=value).leaving)
        self.assertFalse(decode().leaving)


class TestPause(unittest.TestCase):
    def test_refusal_names_seconds(self):
        self.assertEqual(decode(503, retry_after="4").pause, 4.0)
        self.assertEqual(decode(503, retry_after="0.25").pause, 0.25)

    def test_other_answers_and_values_ask_for_no_pause(self):
        self.assertIsNone(decode(503).pause)
        for status in (200, 429, 500):
            self.assertIsNone(decode(status, retry_after="4").pause)
        for value in ("-1", "nan", "1e9", "Fri, 04 Dec 2026 15:00:00 GMT", ""):
            self.assertIsNone(decode(503, retry_after=value).pause)


if __name__ == "__main__":
    unittest.main()
