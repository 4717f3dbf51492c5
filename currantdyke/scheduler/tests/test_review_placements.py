"""Second placements of a request whose results of stages no longer exist."""

import unittest

import anyio
import attrs

from currantdyke.scheduler.messages import Placement
from currantdyke.scheduler.tests.builders import small_fleet
from currantdyke.scheduler.tests.test_stages import REQUEST
from currantdyke.testing.virtual import run_virtual

# Longer than the time to live of the results, 4 s, but within the deadline.
EXPIRED_SECONDS = 5.0


async def place_again(lose_results):
    """Place a request at a second engine after its results were lost."""
    fleet = small_fleet()
    fleet.work["r"] = (1.0,) * 4
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.stages.run)
        first = await fleet.scheduler.place(REQUEST)
        await lose_results(fleet)
        calls = fleet.stages.calls
        again = attrs.evolve(REQUEST, is_retry=True, excluded=(first.instance,))
        second = await fleet.scheduler.place(again)
        calls = fleet.stages.calls - calls
        tasks.cancel_scope.cancel()
    return first, second, calls


async def let_expire(fleet):
    await anyio.sleep(EXPIRED_SECONDS)


async def remove_holders(fleet):
    """Remove the endpoints that hold results, as the directory does."""
    for worker in list(fleet.stages.results.holders.values()):
        instance = worker.endpoint.instance
        fleet.scheduler.remove_endpoint(instance)


class TestLostResults(unittest.TestCase):
    def check_new_results(self, first, second, calls):
        self.assertIsInstance(second, Placement)
        self.assertGreater(calls, 0)
        self.assertFalse(set(first.handles) & set(second.handles))

    # Guards against a second engine that is given handles of results past their time to
    # live, which it refuses (409).
    def test_expired_results_are_made_again(self):
        self.check_new_results(*run_virtual(place_again, let_expire))

    # Guards against a second engine that is given handles of results whose endpoint is
    # gone, which it refuses (409).
    def test_results_of_an_endpoint_that_is_gone_are_made_again(self):
        self.check_new_results(*run_virtual(place_again, remove_holders))
