import unittest

import anyio
import attrs

from currantdyke.store import Conflict, Unavailable, Unsettled
from currantdyke.store.tests.builders import store_in_memory, swap
from currantdyke.testing import run_virtual


class TestSettledSwap(unittest.TestCase):
    def test_write_that_stood_behind_a_lost_answer_is_written_once(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.lose_answers = 1
                return await swap(store, 0, b"mine"), standin.writes

        answer, writes = run_virtual(scenario)
        self.assertEqual(answer.ok.value, b"mine")
        self.assertEqual(writes, 1)

    def test_lost_write_is_sent_again_and_stands(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.lose_writes = 3
                return await swap(store, 0, b"mine"), standin.entries["k"].value

        answer, value = run_virtual(scenario)
        self.assertEqual(answer.ok.value, value)

    def test_late_write_is_fenced_by_the_second_copy(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.late_writes = 1
                standin.faults.late_by = 3.0
                first = await swap(store, 0, b"mine")
                second = await swap(store, first.ok.revision, b"next")
                await anyio.sleep(4.0)
                return first, second, (await store.get("k", duty="claims")).ok

        first, second, entry = run_virtual(scenario)
        self.assertTrue(first.is_ok() and second.is_ok())
        self.assertEqual(entry.value, b"next")

    def test_late_write_that_arrives_while_settling_counts_once(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.late_writes = 2
                standin.faults.late_by = 0.03
                return await swap(store, 0, b"mine"), standin.writes

        answer, writes = run_virtual(scenario)
        self.assertEqual(answer.ok.value, b"mine")
        self.assertEqual(writes, 1)

    def test_another_writer_after_a_lost_write_is_a_conflict(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.lose_writes = 1
                store = attrs.evolve(store, count=put_between(standin, b"theirs"))
                return await swap(store, 0, b"mine")

        error = run_virtual(scenario).error
        self.assertIsInstance(error, Conflict)
        self.assertEqual(error.current.value, b"theirs")

    def test_another_writer_who_kept_the_evidence_does_not_hide_the_write(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.lose_answers = 1
                store = attrs.evolve(store, count=put_between(standin, b"mine+theirs"))
                return await swap(store, 0, b"mine")

        self.assertEqual(run_virtual(scenario).ok.value, b"mine+theirs")

    def test_key_that_is_gone_with_its_evidence_is_unsettled(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.put("k", b"before")
                standin.faults.lose_answers = 1
                store = attrs.evolve(store, count=lambda *_: standin.entries.clear())
                return await swap(store, 1, b"mine")

        self.assertIsInstance(run_virtual(scenario).error, Unsettled)

    def test_store_that_stays_down_after_an_unknown_write_is_unsettled_in_time(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.lose_answers = 1

                def count(*labels):
                    standin.faults.down = True

                store = attrs.evolve(store, count=count)
                answer = await swap(store, 0, b"mine", seconds=3.0)
                return answer, anyio.current_time()

        answer, now = run_virtual(scenario)
        self.assertIsInstance(answer.error, Unsettled)
        self.assertEqual(now, 3.0)

    def test_store_that_is_down_from_the_start_is_unavailable_at_once(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.down = True
                return await swap(store, 0, b"mine"), anyio.current_time()

        answer, now = run_virtual(scenario)
        self.assertIsInstance(answer.error, Unavailable)
        self.assertEqual(now, 0.0)

    def test_slow_store_is_unsettled_never_not_written(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.delay = 60.0
                return await swap(store, 0, b"mine", seconds=7.0)

        self.assertIsInstance(run_virtual(scenario).error, Unsettled)


def put_between(standin, value):
    def count(duty, call, result):
        if call == "compare_and_swap" and result == "unknown":
            standin.put("k", value)

    return count


if __name__ == "__main__":
    unittest.main()
