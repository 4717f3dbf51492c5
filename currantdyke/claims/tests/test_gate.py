import unittest

import anyio

from currantdyke.claims.tests.builders import (
    PATH,
    ask,
    calls_seen,
    claims_fleet,
)
from currantdyke.testing import run_virtual


class TestGate(unittest.TestCase):
    def test_resend_through_any_daemon_gets_the_recorded_answer(self):
        async def scenario():
            async with claims_fleet() as fleet:
                told = []
                for daemon in ("entry-1", "entry-2", "entry-3", "entry-1"):
                    told.append(await ask(fleet, daemon))
                    await anyio.sleep(1.0)
                return told, calls_seen(fleet)

        told, calls = run_virtual(scenario)
        self.assertEqual({t.outcome for t in told}, {"done"})
        self.assertEqual(len({str(t.output) for t in told}), 1)
        self.assertEqual(len(calls), 1)

    def test_same_key_with_another_body_is_refused(self):
        async def scenario():
            async with claims_fleet() as fleet:
                await ask(fleet, "entry-1", body="15 naira")
                told = await ask(fleet, "entry-2", body="50 naira")
                return told, calls_seen(fleet)

        told, calls = run_virtual(scenario)
        self.assertEqual((told.code, told.outcome), ("claim_mismatch", "not_run"))
        self.assertEqual([body for body, _ in calls], ["15 naira"])

    def test_resend_here_while_it_runs_joins_it(self):
        async def scenario():
            async with claims_fleet() as fleet:
                for standin in fleet.standins.values():
                    standin.seconds = 2.0
                told = []

                async def send():
                    told.append(await ask(fleet, "entry-1"))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.5)
                    tasks.start_soon(send)
                return told, calls_seen(fleet)

        told, calls = run_virtual(scenario)
        self.assertEqual([t.outcome for t in told], ["done", "done"])
        self.assertEqual(told[0].output, told[1].output)
        self.assertEqual(len(calls), 1)

    def test_joined_resend_whose_time_is_up_is_not_told_not_run(self):
        async def scenario():
            async with claims_fleet() as fleet:
                for standin in fleet.standins.values():
                    standin.seconds = 5.0
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask, fleet, "entry-1")
                    await anyio.sleep(0.5)
                    return await ask(fleet, "entry-1", deadline=1.0)

        told = run_virtual(scenario)
        self.assertEqual((told.code, told.outcome), ("claim_exists", "unknown"))

    def test_resend_elsewhere_while_it_runs_is_told_when_to_come_back(self):
        async def scenario():
            async with claims_fleet() as fleet:
                for standin in fleet.standins.values():
                    standin.seconds = 2.0
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask, fleet, "entry-1")
                    await anyio.sleep(0.5)
                    early = await ask(fleet, "entry-2")
                await anyio.sleep(early.retry_after)
                return early, await ask(fleet, "entry-2"), calls_seen(fleet)

        early, late, calls = run_virtual(scenario)
        self.assertEqual((early.code, early.outcome), ("claim_exists", "unknown"))
        self.assertEqual(early.retry_after, 1.0)
        self.assertEqual(late.outcome, "done")
        self.assertEqual(len(calls), 1)

    def test_store_down_is_told_not_run_at_once(self):
        async def scenario():
            async with claims_fleet() as fleet:
                fleet.key_value.faults.down = True
                started = anyio.current_time()
                told = await ask(fleet, "entry-1")
                return told, told.at - started, calls_seen(fleet)

        told, seconds, calls = run_virtual(scenario)
        self.assertEqual((told.code, told.outcome), ("store_unavailable", "not_run"))
        self.assertEqual(told.retry_after, 1.0)
        self.assertLess(seconds, 0.01)
        self.assertEqual(calls, [])

    def test_unsettled_claim_is_released_and_its_key_runs_later_once(self):
        async def scenario():
            async with claims_fleet() as fleet:
                fleet.key_value.faults.lose_answers = 100
                fleet.key_value.faults.delay = 1.0
                first = await ask(fleet, "entry-1")
                fleet.key_value.faults.lose_answers = 0
                fleet.key_value.faults.delay = 0.0
                await anyio.sleep(20.0)
                again = []
                for daemon in ("entry-2", "entry-3", "entry-1"):
                    again.append(await ask(fleet, daemon))
                    await anyio.sleep(1.0)
                return first, again, calls_seen(fleet)

        first, again, calls = run_virtual(scenario)
        self.assertEqual((first.code, first.outcome), ("store_unavailable", "not_run"))
        self.assertEqual({told.outcome for told in again}, {"done"})
        self.assertEqual(len(calls), 1)

    def test_key_whose_call_provably_did_not_run_may_be_sent_again(self):
        async def scenario():
            async with claims_fleet() as fleet:
                standins = [fleet.standins[f"entry-desk-{i}"] for i in (1, 2)]
                for standin in standins:
                    standin.refuse = True
                first = await ask(fleet, "entry-1")
                await anyio.sleep(1.0)
                for standin in standins:
                    standin.refuse = False
                return first, await ask(fleet, "entry-2"), calls_seen(fleet)

        first, second, calls = run_virtual(scenario)
        self.assertEqual(first.outcome, "not_run")
        self.assertEqual(second.outcome, "done")
        self.assertEqual(len(calls), 1)

    def test_failure_after_running_is_kept(self):
        async def scenario():
            async with claims_fleet() as fleet:
                for number in (1, 2):
                    fleet.standins[f"entry-desk-{number}"].status = 500
                first = await ask(fleet, "entry-1")
                await anyio.sleep(1.0)
                return first, await ask(fleet, "entry-2"), calls_seen(fleet)

        first, second, calls = run_virtual(scenario)
        self.assertEqual((first.outcome, second.outcome), ("failed", "failed"))
        self.assertEqual(second.code, "claim_exists")
        self.assertEqual(len(calls), 1)

    def test_store_that_returns_after_the_call_gets_the_result_recorded(self):
        async def scenario():
            async with claims_fleet() as fleet:
                for standin in fleet.standins.values():
                    standin.seconds = 1.0
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask, fleet, "entry-1")
                    await anyio.sleep(0.5)
                    fleet.key_value.faults.down = True
                await anyio.sleep(20.0)
                fleet.key_value.faults.down = False
                await anyio.sleep(10.0)
                return await ask(fleet, "entry-2"), calls_seen(fleet)

        told, calls = run_virtual(scenario)
        self.assertEqual(told.outcome, "done")
        self.assertEqual(len(calls), 1)

    def test_request_without_key_costs_no_claim(self):
        async def scenario():
            async with claims_fleet() as fleet, fleet.caller("entry-1") as client:
                await client.post(PATH, json={"input": "fee"})
                return fleet.key_value.writes

        self.assertEqual(run_virtual(scenario), 0)


if __name__ == "__main__":
    unittest.main()
