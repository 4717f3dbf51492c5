import random
import unittest

import anyio

from currantdyke.bundle import Workspace, hash_key
from currantdyke.limits import FleetLimits
from currantdyke.limits.demand import MAX_REPORTS, DemandBook
from currantdyke.limits.fleet import MAX_METERS, TICK_SECONDS, owner_of
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import WORKSPACE_KEY
from currantdyke.testing.members import member_fleet

LIMIT = 60.0
TOLERANCE = 0.1
DAEMONS = 8
EVEN = [1.0] * DAEMONS
SKEWED = [6.0, 3.0, 1.0, 1.0, 1.0] + [0.2] * (DAEMONS - 5)


async def offer(limits, per_second, source, admitted):
    while True:
        await anyio.sleep(source.expovariate(per_second))
        if limits.refuse("jos") is None:
            admitted.append(anyio.current_time())


async def admitted_per_second(weights, offered, loss=0.0, kill=None, seconds=20.0):
    """Offer requests to daemons by weight; return the admitted rate when steady."""
    admitted, source = [], random.Random(7)
    async with member_fleet(DAEMONS) as fleet:
        await fleet.until(fleet.agree, 20.0)
        fleet.network.loss = loss
        async with anyio.create_task_group() as tasks:
            for number, weight in enumerate(weights):
                node = fleet.nodes[f"entry-{number}"]
                limits = FleetLimits(
                    now=anyio.current_time, limit_of=lambda workspace: LIMIT
                )
                limits.use(node.membership)
                timers = node.membership.timers
                timers.every(TICK_SECONDS, limits.tick, name="limits")
                if number != kill:
                    rate = offered * weight / sum(weights)
                    tasks.start_soon(offer, limits, rate, source, admitted)
            await anyio.sleep(10.0)
            if kill is not None:
                fleet.kill(f"entry-{kill}")
                await anyio.sleep(25.0)
            began = anyio.current_time()
            await anyio.sleep(seconds)
            tasks.cancel_scope.cancel()
    return sum(at >= began for at in admitted) / seconds


class TestSteadyLoad(unittest.TestCase):
    def check(self, *arguments, **keywords):
        rate = run_virtual(admitted_per_second, *arguments, **keywords)
        self.assertLess(abs(rate - LIMIT) / LIMIT, TOLERANCE, rate)

    def test_limit_holds_over_all_daemons_with_even_load(self):
        self.check(EVEN, 2.0 * LIMIT)

    def test_limit_holds_over_all_daemons_with_skewed_load(self):
        self.check(SKEWED, 2.0 * LIMIT)

    def test_limit_holds_with_lost_messages(self):
        self.check(SKEWED, 2.0 * LIMIT, loss=0.2)

    def test_limit_holds_again_after_its_owner_has_died(self):
        owner = owner_of("jos", [f"entry-{number}" for number in range(DAEMONS)])
        self.check(EVEN, 2.0 * LIMIT, kill=int(owner.partition("-")[2]))

    def test_demand_below_the_limit_is_admitted_wherever_it_comes(self):
        for weights in (EVEN, SKEWED):
            rate = run_virtual(admitted_per_second, weights, 0.7 * LIMIT)
            self.assertGreater(rate, 0.9 * 0.7 * LIMIT)


class TestBounds(unittest.TestCase):
    def test_state_is_bounded_at_many_workspaces(self):
        async def scenario():
            limits = FleetLimits(now=anyio.current_time, limit_of=lambda w: LIMIT)
            for number in range(17_000):
                limits.refuse(f"workspace-{number}")
            return len(limits.meters)

        self.assertLessEqual(run_virtual(scenario), MAX_METERS)

    def test_reports_are_bounded_and_forgotten(self):
        book = DemandBook()
        for number in range(MAX_REPORTS + 10):
            book.note(f"workspace-{number}", "entry-1", 1.0, now=0.0)
        self.assertEqual(book.count, MAX_REPORTS)
        book.forget_before(1.0)
        self.assertEqual((book.count, book.by_workspace), (0, {}))


class TestWholePath(unittest.TestCase):
    def test_caller_over_its_limit_is_told_when_to_come_back(self):
        async def scenario():
            jos = Workspace(
                key_hashes=(hash_key(WORKSPACE_KEY),), requests_per_second=2.0
            )
            async with (
                fleet_in_memory(bundle={"workspaces": {"jos": jos}}) as fleet,
                fleet.caller("entry-1") as client,
            ):
                answers = [
                    await client.post("/v1/services/entry-desk", json={"input": n})
                    for n in range(4)
                ]
            return [a.status_code for a in answers], answers[-1]

        statuses, last = run_virtual(scenario)
        self.assertIn(200, statuses)
        self.assertEqual(last.status_code, 429)
        self.assertEqual(last.json()["error"]["outcome"], "not_run")
        self.assertIn("retry-after", last.headers)


if __name__ == "__main__":
    unittest.main()
