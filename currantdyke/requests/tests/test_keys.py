import contextlib
import unittest
from unittest import mock

import anyio

from currantdyke.core import Outcome
from currantdyke.requests import KeyTable, keys
from currantdyke.requests.tests.builders import (
    NON_IDEMPOTENT,
    PATH,
    received_calls,
    submit,
)
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_exchange


@contextlib.asynccontextmanager
async def non_idempotent_fleet(**behaviour):
    async with fleet_in_memory(endpoints=2, bundle=NON_IDEMPOTENT) as fleet:
        for number in (1, 2):
            for name, value in behaviour.items():
                setattr(fleet.standins[f"entry-desk-{number}"], name, value)
        yield fleet


class TestEndToEnd(unittest.TestCase):
    def test_resend_receives_the_recorded_answer(self):
        async def scenario():
            async with non_idempotent_fleet() as fleet:
                return [await submit(fleet) for _ in range(4)], received_calls(fleet)

        results, calls = run_virtual(scenario)
        self.assertEqual({t.outcome for t in results}, {"done"})
        self.assertEqual(len({str(t.output) for t in results}), 1)
        self.assertEqual(len(calls), 1)

    def test_same_key_with_another_body_is_refused(self):
        async def scenario():
            async with non_idempotent_fleet() as fleet:
                await submit(fleet, body="15 naira")
                return await submit(fleet, body="50 naira"), received_calls(fleet)

        result, calls = run_virtual(scenario)
        self.assertEqual((result.code, result.outcome), ("key_mismatch", "not_run"))
        self.assertEqual([body for body, _ in calls], ["15 naira"])

    def test_resend_during_the_run_receives_the_same_result(self):
        async def scenario():
            async with non_idempotent_fleet(seconds=2.0) as fleet:
                results = []

                async def send():
                    results.append(await submit(fleet))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.5)
                    tasks.start_soon(send)
                return results, received_calls(fleet)

        results, calls = run_virtual(scenario)
        self.assertEqual([t.outcome for t in results], ["done", "done"])
        self.assertEqual(results[0].output, results[1].output)
        self.assertEqual(len(calls), 1)

    def test_waiting_resend_past_its_deadline_has_outcome_unknown(self):
        async def scenario():
            async with (
                non_idempotent_fleet(seconds=5.0) as fleet,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(submit, fleet)
                await anyio.sleep(0.5)
                return await submit(fleet, deadline=1.0)

        result = run_virtual(scenario)
        self.assertEqual((result.code, result.outcome), ("key_in_use", "unknown"))

    def test_key_is_released_if_its_call_provably_did_not_run(self):
        async def scenario():
            async with non_idempotent_fleet(refuse=True) as fleet:
                first = await submit(fleet)
                for number in (1, 2):
                    fleet.standins[f"entry-desk-{number}"].refuse = False
                await anyio.sleep(1.0)
                return first, await submit(fleet), received_calls(fleet)

        first, second, calls = run_virtual(scenario)
        self.assertEqual(first.outcome, "not_run")
        self.assertEqual(second.outcome, "done")
        self.assertEqual(len(calls), 1)

    def test_failure_of_a_call_that_ran_is_recorded(self):
        async def scenario():
            async with non_idempotent_fleet(status=500) as fleet:
                return await submit(fleet), await submit(fleet), received_calls(fleet)

        first, second, calls = run_virtual(scenario)
        self.assertEqual((first.outcome, second.outcome), ("failed", "failed"))
        self.assertEqual(second.code, "key_in_use")
        self.assertEqual(len(calls), 1)

    def test_request_without_key_is_not_recorded(self):
        async def scenario():
            async with (
                non_idempotent_fleet() as fleet,
                fleet.caller("entry-1") as client,
            ):
                await client.post(PATH, json={"input": "fee"})
                return fleet.daemons["entry-1"].keys.records

        self.assertEqual(run_virtual(scenario), {})


class Clock:
    """A clock set by the test."""

    def __init__(self):
        self.seconds = 0.0


def build_table(**options):
    clock = Clock()
    return clock, KeyTable(now=lambda: clock.seconds, **options)


async def run_with_key(table, key, output=None):
    """Pass a request with a key through the table; return the request."""
    exchange = build_exchange(idempotency_key=key, request_id=f"entry-1.ab.{key}.cd")
    if await table.begin(exchange):
        exchange.settle(output=output, now=0.0)
        table.finish(exchange, Outcome.DONE)
    return exchange


class TestBounds(unittest.TestCase):
    def test_key_expires_after_a_day(self):
        async def scenario():
            clock, table = build_table()
            first = await run_with_key(table, "1", "paid")
            clock.seconds = keys.KEY_RETENTION_SECONDS - 1.0
            again = await run_with_key(table, "1", "paid twice")
            clock.seconds = keys.KEY_RETENTION_SECONDS + 1.0
            late = await run_with_key(table, "1", "paid anew")
            return first.output, again.output, late.output

        self.assertEqual(run_virtual(scenario), ("paid", "paid", "paid anew"))

    def test_full_table_refuses_a_new_key_and_keeps_the_recorded_ones(self):
        async def scenario():
            _, table = build_table(max_keys=2)
            found = [await run_with_key(table, str(n), n) for n in (1, 2, 3, 1)]
            return [(e.outcome, e.output, e.failure) for e in found]

        one, two, three, again = run_virtual(scenario)
        self.assertEqual((one[1], two[1], again[1]), (1, 2, 1))
        self.assertEqual(three[0], Outcome.NOT_RUN)
        self.assertEqual(three[2].kind.code, "overloaded")
        self.assertGreater(three[2].retry_after, 0.0)

    def test_request_with_an_evicted_answer_is_reported_as_done(self):
        async def scenario():
            _, table = build_table()
            with mock.patch.object(keys, "MAX_TOTAL_ANSWER_BYTES", 20):
                for number in range(3):
                    await run_with_key(table, str(number), "x" * 8)
            return await run_with_key(table, "0"), table.total_answer_bytes

        exchange, held = run_virtual(scenario)
        self.assertEqual(exchange.outcome, Outcome.DONE)
        self.assertEqual(exchange.failure.kind.code, "key_in_use")
        self.assertLessEqual(held, 20)


if __name__ == "__main__":
    unittest.main()
