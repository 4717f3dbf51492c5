import functools
import unittest

import anyio

from currantdyke.soak.world import soak

# In which the first gateway freezes before the second version starts,
FROZEN_SEED = 3
# watches are cut while endpoints are removed, and entries lapse.
CUT_SEED = 2
LAPSE_SEED = 1
VERSION_SECONDS = 12.0
REMOVAL_SECONDS = 18.0


def run(pattern, seed, seconds, planted=""):
    return anyio.run(
        functools.partial(soak, seed, seconds, pattern=pattern, planted=planted)
    )


class TestSecondVersion(unittest.TestCase):
    # Issue 70: streams of a frozen gateway were refused beside a second version.
    def test_short_run_with_a_second_version_has_no_violations(self):
        report = run("second-version", FROZEN_SEED, VERSION_SECONDS)
        self.assertEqual(report.broken, [], report.text())
        counted = report.counts["streams of the lost gateway"]
        self.assertGreater(counted, 0, report.text())

    def test_streams_that_only_their_gateway_knows_are_detected(self):
        report = run("second-version", FROZEN_SEED, VERSION_SECONDS, "backups")
        broken = " ".join(report.broken)
        self.assertIn("streams of the lost gateway", broken, report.text())


class TestRemovals(unittest.TestCase):
    # Issue 70: removed endpoints got work while watches were cut.
    def test_short_run_with_removals_has_no_violations(self):
        report = run("removals", CUT_SEED, REMOVAL_SECONDS)
        self.assertEqual(report.broken, [], report.text())
        for name in (
            "removed endpoints",
            "times with cut watches",
            "requests while entries lapse",
        ):
            self.assertGreater(report.counts[name], 0, report.text())

    def test_grace_periods_that_are_renewed_are_detected(self):
        report = run("removals", CUT_SEED, REMOVAL_SECONDS, "removals")
        broken = " ".join(report.broken)
        self.assertIn("reached removed endpoints", broken, report.text())

    def test_lapsed_endpoints_that_get_no_work_are_detected(self):
        report = run("removals", LAPSE_SEED, REMOVAL_SECONDS, "lapsed")
        self.assertIn("refused while entries", " ".join(report.broken), report.text())


if __name__ == "__main__":
    unittest.main()
