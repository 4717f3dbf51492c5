import functools
import unittest

import anyio
import attrs

from currantdyke.soak.effects import _find_problem, effect_violations
from currantdyke.soak.promises import GuaranteeChecker
from currantdyke.soak.world import soak
from currantdyke.testing.gateways import configuration, plain_route

SEED = 1
SECONDS = 30.0
# An unusable version stays the newest for seconds while gateways are isolated.
PEERS_SEED = 165
PEERS_SECONDS = 10.0
# The first unusable version and the first odd one are both held.
HELD_SECONDS = 15.0
MIN_JUDGED = 50


def run(planted=""):
    """Return the report of a short run."""
    return anyio.run(
        functools.partial(
            soak, SEED, SECONDS, pattern="configurations", planted=planted
        )
    )


def run_peers():
    """Return the report of a short run in which gateways live by their peers."""
    return anyio.run(
        functools.partial(soak, PEERS_SEED, PEERS_SECONDS, pattern="peers")
    )


def run_held(planted=""):
    """Return the same with versions that stay the newest until their effects show."""
    return anyio.run(
        functools.partial(
            soak, SEED, HELD_SECONDS, pattern="held-versions", planted=planted
        )
    )


def check_sound(case, report, disturbance):
    """Check that nothing was broken though versions of all forms were written."""
    case.assertEqual(report.broken, [], report.text())
    case.assertGreater(report.counts["effects judged"], MIN_JUDGED, report.text())
    for name in (disturbance, "odd versions", "unusable versions"):
        case.assertGreater(report.counts[name], 0, report.text())


class TestEffects(unittest.TestCase):
    # Issue 47: no run judged configurations by what their gateways do, and none had
    # documents that are not valid, or a store that returns from a copy.
    def test_short_run_has_no_violations(self):
        report = run()
        check_sound(self, report, "returns of the store")

    def test_ignored_eras_are_detected(self):
        report = run(planted="eras")
        self.assertIn("may be in force", " ".join(report.broken), report.text())

    def test_invalid_documents_in_force_are_detected(self):
        report = run(planted="validity")
        self.assertIn("which was taken away", " ".join(report.broken), report.text())

    def test_versions_that_come_late_are_detected(self):
        report = run(planted="final-refusal")
        self.assertIn("may be in force", " ".join(report.broken), report.text())


class TestPeers(unittest.TestCase):
    # Issue 50: gateways refused finally by an older version, after they had heard of
    # the newest document only from a peer which did not use it.
    def test_short_run_has_no_violations(self):
        report = run_peers()
        check_sound(self, report, "isolated gateways")

    def test_short_run_with_held_versions_has_no_violations(self):
        report = run_held()
        check_sound(self, report, "isolated gateways")

    # Issue 50: a document with one odd entry was rejected whole.
    def test_documents_that_are_rejected_whole_are_detected(self):
        report = run_held(planted="documents")
        self.assertIn("may be in force", " ".join(report.broken), report.text())

    def test_untold_newest_versions_are_detected(self):
        report = run_held(planted="newest-known")
        self.assertIn("allowed for", " ".join(report.broken), report.text())
        self.assertGreater(report.counts["final refusals"], 1, report.text())


@attrs.define(kw_only=True)
class FakeWorld:
    checker: GuaranteeChecker = attrs.field(factory=GuaranteeChecker)


class TestAddedRoutes(unittest.TestCase):
    # Issue 50: no run compared how often added routes and the first ones are served.
    def test_added_routes_that_are_served_too_rarely_are_a_violation(self):
        for added, served, first_served, expected in (
            (20, 4, 100, 1),
            (20, 5, 100, 0),
            (20, 2, 40, 0),
            (19, 0, 100, 0),
        ):
            with self.subTest(added=added, served=served, first_served=first_served):
                world = FakeWorld()
                world.checker.counts.update(
                    {
                        "on added routes": added,
                        "on added routes, served": served,
                        "on first routes": 100,
                        "on first routes, served": first_served,
                    }
                )
                self.assertEqual(len(effect_violations(world)), expected)


class TestFindProblem(unittest.TestCase):
    def setUp(self):
        routes = [plain_route(), plain_route(prefix="/added/")]
        self.old = configuration(1, routes[:1])
        moved = [plain_route(service="other"), routes[1]]
        tenants = [{"name": "cider", "api_keys": ["k2"]}]
        self.new = configuration(2, moved, tenants=tenants)

    def test_what_only_an_older_version_allows_is_a_problem(self):
        for prefix, key, status, ran_at in (
            ("/plain/", "k2", 200, {"plain"}),
            ("/plain/", "k1", 200, {"other"}),
            ("/added/", "k2", 404, set()),
            ("/added/", "k2", 401, set()),
        ):
            with self.subTest(prefix=prefix, key=key, status=status):
                problem = _find_problem([self.new], prefix, key, status, ran_at)
                self.assertNotEqual(problem, "")

    def test_what_a_possible_version_allows_is_none(self):
        both = [self.old, self.new]
        for prefix, key, status, ran_at in (
            ("/plain/", "k1", 200, {"plain"}),
            ("/plain/", "k2", 200, {"other"}),
            ("/plain/", "k1", 401, set()),
            ("/added/", "k2", 404, set()),
            ("/added/", "k2", 503, set()),
        ):
            with self.subTest(prefix=prefix, key=key, status=status):
                problem = _find_problem(both, prefix, key, status, ran_at)
                self.assertEqual(problem, "")


if __name__ == "__main__":
    unittest.main()
