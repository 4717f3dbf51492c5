import unittest

import anyio

from currantdyke.directory.tests.builders import build_configuration, build_directory
from currantdyke.gateway.denials import DENIALS, deny
from currantdyke.platform.answers import encode_failure_response
from currantdyke.testing.virtual import run_virtual


def denied(seconds_later):
    """Return the statuses and headers of all denials, some time after a read."""

    async def scenario():
        directory = build_directory()
        if seconds_later is not None:
            directory.apply(build_configuration(1), source="store")
            await anyio.sleep(seconds_later)
        answers = {}
        for kind in DENIALS:
            failure = deny(directory, kind, "detail")
            status, headers, _ = encode_failure_response(failure, "a1")
            answers[kind] = (status, dict(headers))
        return answers

    return run_virtual(scenario)


class TestDenials(unittest.TestCase):
    def test_current_daemon_denies_with_the_status_of_the_kind(self):
        for kind, (status, _) in denied(1.0).items():
            self.assertEqual(status, kind.status)

    # Guards against final refusals of what a newer configuration may allow.
    def test_daemon_with_old_or_no_configuration_refuses_for_the_moment(self):
        for seconds in (2.5, None):
            for kind, (status, headers) in denied(seconds).items():
                with self.subTest(kind=kind, seconds=seconds):
                    self.assertEqual(status, 503)
                    self.assertIn(b"retry-after", headers)


if __name__ == "__main__":
    unittest.main()
