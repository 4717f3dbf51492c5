"""Stages in any order, and of services of which the configuration states nothing."""

import unittest

import attrs

from currantdyke.catalog import Catalog, Repeatability, Route, StageLimits, StageStep
from currantdyke.scheduler.admission import expected_stage_seconds
from currantdyke.scheduler.groups import service_groups
from currantdyke.scheduler.messages import Placement
from currantdyke.scheduler.tests.builders import CHAIN_STEPS, small_fleet
from currantdyke.scheduler.tests.test_stages import REQUEST, place
from currantdyke.testing.virtual import run_virtual

# The stages of `REQUEST`, the last one first.
LAST_FIRST = attrs.evolve(
    REQUEST,
    steps=tuple(
        attrs.evolve(step, after=tuple(2 - number for number in step.after))
        for step in reversed(CHAIN_STEPS)
    ),
    pieces=tuple(reversed(REQUEST.pieces)),
)


def forget_services(fleet):
    """Remove all services from the configuration; their endpoints stay."""
    fleet.directory.routes.catalog.services.clear()


class TestOrder(unittest.TestCase):
    # Guards against an internal error for each request of such a route.
    def test_stage_may_come_before_the_one_whose_results_it_needs(self):
        _, answers = run_virtual(place, [LAST_FIRST])
        self.assertIsInstance(answers["r"], Placement)
        self.assertEqual(len(answers["r"].handles), 16)

    def test_order_does_not_change_the_expected_time(self):
        async def expect(request):
            return expected_stage_seconds(request, small_fleet().stages, 0.0)

        self.assertEqual(run_virtual(expect, LAST_FIRST), run_virtual(expect, REQUEST))


class TestUnstatedServices(unittest.TestCase):
    # Guards against requests that are refused although the endpoints are there.
    def test_service_that_is_not_listed_serves_stages(self):
        request = attrs.evolve(REQUEST, target=60.0, deadline=60.0)
        _, answers = run_virtual(place, [request], prepare=forget_services)
        self.assertIsInstance(answers["r"], Placement)
        self.assertEqual(len(answers["r"].handles), 16)

    # Guards against results that are taken for expired, and calls that wait for memory.
    def test_unstated_limits_allow_results(self):
        limits = StageLimits()
        self.assertGreater(limits.result_ttl, REQUEST.deadline)
        self.assertGreater(limits.result_memory_bytes, 10**12)

    # Guards against an error while a configuration is put in force.
    def test_route_without_a_service_has_no_group(self):
        route = Route(
            name="r",
            host="h",
            prefix="/",
            repeatability=Repeatability.STREAM,
            targets=(),
            prefix_affinity=True,
        )
        staged = attrs.evolve(route, stages=(StageStep(service="rank"),))
        groups = service_groups(Catalog(version=1, routes=(route, staged)))
        self.assertEqual(groups, {"rank": "rank"})


if __name__ == "__main__":
    unittest.main()
