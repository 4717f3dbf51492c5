import unittest

import anyio

from currantdyke.store import BudgetedStore, CallBudget
from currantdyke.store.tests.builders import store_in_memory
from currantdyke.testing import run_virtual


class TestBudgetedStore(unittest.TestCase):
    def test_duty_is_held_to_its_rate(self):
        async def scenario():
            async with store_in_memory() as (_, store):
                budgets = {"poll": CallBudget(calls_per_second=2.0, burst_calls=3.0)}
                budgeted = BudgetedStore(store=store, budgets=budgets)
                for _ in range(23):
                    await budgeted.get("k", duty="poll")
                return anyio.current_time(), budgeted.waits

        now, waits = run_virtual(scenario)
        self.assertAlmostEqual(now, 10.0)
        self.assertEqual(waits, 20)

    def test_background_duty_yields_to_a_charge(self):
        async def scenario():
            order = []

            def count(duty, call, result):
                order.append(duty)

            budgets = {
                "claims": CallBudget(
                    calls_per_second=10.0, burst_calls=1.0, background=False
                ),
                "poll": CallBudget(calls_per_second=1000.0, burst_calls=1000.0),
            }
            async with store_in_memory(count) as (_, store):
                budgeted = BudgetedStore(store=store, budgets=budgets)

                async def call(duty, times):
                    for _ in range(times):
                        await budgeted.get("k", duty=duty)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call, "claims", 3)
                    tasks.start_soon(call, "claims", 3)
                    await anyio.sleep(0.01)
                    tasks.start_soon(call, "poll", 5)
            return order

        order = run_virtual(scenario)
        self.assertEqual(order, ["claims"] * 6 + ["poll"] * 5)


if __name__ == "__main__":
    unittest.main()
