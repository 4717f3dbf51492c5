import unittest

from currantdyke.core import FailureKind
from currantdyke.forward.tests.builders import build_exchange
from currantdyke.platform.answers import NOT_RUN_STATUSES, encode_failure_response


def answer_of(exchange, kind):
    """Return the status and the names of the headers that report a failure."""
    failure = exchange.failure(kind, "detail").failure
    status, headers, _ = encode_failure_response(failure, "a1")
    return status, {name for name, _ in headers}


class TestFailures(unittest.TestCase):
    # Guards against refusals after which callers do not know when to come back.
    def test_every_answer_that_promises_not_run_says_when_to_come_back(self):
        for kind in FailureKind:
            with self.subTest(kind=kind):
                status, headers = answer_of(build_exchange(), kind)
                self.assertEqual(b"retry-after" in headers, status in NOT_RUN_STATUSES)

    def test_request_that_may_have_run_is_not_promised_to_have_not(self):
        for kind in FailureKind:
            with self.subTest(kind=kind):
                status, headers = answer_of(build_exchange(runs=1), kind)
                self.assertNotIn(status, NOT_RUN_STATUSES)
                self.assertNotIn(b"retry-after", headers)


if __name__ == "__main__":
    unittest.main()
