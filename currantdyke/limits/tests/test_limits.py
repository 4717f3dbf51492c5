import random
import unittest

import anyio

from currantdyke.bundle import Workspace, hash_key
from currantdyke.limits import WorkspaceLimits
from currantdyke.limits.limits import MAX_BUCKETS
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import WORKSPACE_KEY

LIMIT = 60.0
TOLERANCE = 0.1


async def admitted_per_second(offered, seconds=20.0):
    """Offer Poisson arrivals; return the admitted rate in the steady state."""
    limits = WorkspaceLimits(now=anyio.current_time, limit_of=lambda w: LIMIT)
    source, admitted = random.Random(7), []
    measured_from = anyio.current_time() + 10.0
    while anyio.current_time() < measured_from + seconds:
        await anyio.sleep(source.expovariate(offered))
        if limits.refuse("jos") is None and anyio.current_time() >= measured_from:
            admitted.append(anyio.current_time())
    return len(admitted) / seconds


class TestSteadyLoad(unittest.TestCase):
    def test_admitted_rate_equals_the_limit_at_twice_its_load(self):
        rate = run_virtual(admitted_per_second, 2.0 * LIMIT)
        self.assertLess(abs(rate - LIMIT) / LIMIT, TOLERANCE, rate)

    def test_load_below_the_limit_is_admitted(self):
        rate = run_virtual(admitted_per_second, 0.7 * LIMIT)
        self.assertGreater(rate, 0.9 * 0.7 * LIMIT)


class TestBounds(unittest.TestCase):
    def test_state_is_bounded_at_many_workspaces(self):
        async def scenario():
            limits = WorkspaceLimits(now=anyio.current_time, limit_of=lambda w: LIMIT)
            for number in range(17_000):
                limits.refuse(f"workspace-{number}")
            return len(limits.buckets)

        self.assertLessEqual(run_virtual(scenario), MAX_BUCKETS)

    def test_changed_limit_applies_from_the_next_request(self):
        async def scenario():
            limit = {"jos": 1.0}
            limits = WorkspaceLimits(now=anyio.current_time, limit_of=limit.get)
            before = [limits.refuse("jos") is None for _ in range(3)]
            limit["jos"] = 100.0
            limits.refuse("jos")
            await anyio.sleep(0.05)
            return before, [limits.refuse("jos") is None for _ in range(3)]

        before, after = run_virtual(scenario)
        self.assertEqual(before, [True, False, False])
        self.assertEqual(after, [True, True, True])


class TestEndToEnd(unittest.TestCase):
    def test_caller_over_its_limit_gets_retry_after(self):
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
