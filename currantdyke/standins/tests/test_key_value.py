import unittest

import anyio

from currantdyke.store import Conflict, Unavailable, Unknown
from currantdyke.store.tests.builders import store_in_memory
from currantdyke.testing import run_virtual


class TestKeyValueStandIn(unittest.TestCase):
    def test_writes_over_the_rate_are_refused_and_change_nothing(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.writes_per_second = 10
                answers = [
                    await store.compare_and_swap(f"k{i}", 0, b"", duty="claims")
                    for i in range(25)
                ]
                await anyio.sleep(1.0)
                later = await store.compare_and_swap("k24", 0, b"", duty="claims")
                return answers, later, standin.writes

        answers, later, writes = run_virtual(scenario)
        self.assertEqual(sum(answer.is_ok() for answer in answers), 10)
        self.assertIsInstance(answers[-1].error, Unavailable)
        self.assertTrue(later.is_ok())
        self.assertEqual(writes, 11)

    def test_waiting_watch_counts_as_one_read(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.reads_per_second = 5
                async with anyio.create_task_group() as tasks:
                    for _ in range(3):
                        tasks.start_soon(take, store, [])
                    await anyio.sleep(2.0)
                    answers = [await store.get("k", duty="poll") for _ in range(5)]
                    tasks.cancel_scope.cancel()
                return sum(answer.is_ok() for answer in answers)

        self.assertEqual(run_virtual(scenario), 2)

    def test_watch_can_skip_an_event(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.skip_events = 1
                for value in (b"1", b"2", b"3"):
                    standin.put("k", value)
                seen = []
                with anyio.move_on_after(1.0):
                    await take(store, seen)
                return seen

        self.assertEqual(run_virtual(scenario), [b"2", b"3"])

    def test_watch_can_break_and_ends_for_its_reader(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.break_watches = True
                standin.put("k", b"1")
                seen = []
                await take(store, seen)
                return seen

        self.assertEqual(run_virtual(scenario), [])

    def test_leases_can_lapse_early_or_late(self):
        async def scenario(stretch):
            async with store_in_memory() as (standin, store):
                standin.faults.lease_stretch = stretch
                lease = (await store.grant_lease(10, duty="orders")).ok
                swap = store.compare_and_swap
                await swap("k", 0, b"", duty="orders", lease=lease)
                await anyio.sleep(7.0)
                early = (await store.get("k", duty="orders")).ok is None
                await anyio.sleep(7.0)
                return early, (await store.get("k", duty="orders")).ok is None

        self.assertEqual(run_virtual(scenario, 0.5), (True, True))
        self.assertEqual(run_virtual(scenario, 1.0), (False, True))
        self.assertEqual(run_virtual(scenario, 2.0), (False, False))

    def test_late_write_takes_effect_only_if_its_compare_still_holds(self):
        async def scenario(overtaken):
            async with store_in_memory() as (standin, store):
                standin.faults.late_writes = 1
                standin.faults.late_by = 3.0
                swap = store.compare_and_swap
                answer = await swap("k", 0, b"late", duty="claims")
                if overtaken:
                    await swap("k", 0, b"other", duty="claims")
                await anyio.sleep(3.0)
                return answer, (await store.get("k", duty="claims")).ok.value

        for overtaken, value in ((False, b"late"), (True, b"other")):
            answer, found = run_virtual(scenario, overtaken)
            self.assertIsInstance(answer.error, Unknown)
            self.assertEqual(found, value)

    def test_slow_store_ends_a_call_as_unknown(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                standin.faults.delay = 60.0
                swap = await store.compare_and_swap("k", 0, b"", duty="claims")
                return swap, await store.get("k", duty="claims")

        swap, get = run_virtual(scenario)
        self.assertIsInstance(swap.error, Unknown)
        self.assertIsInstance(get.error, Unavailable)

    def test_delete_is_fenced_by_the_revision(self):
        async def scenario():
            async with store_in_memory() as (standin, store):
                first = standin.put("k", b"1")
                standin.put("k", b"2")
                old = await store.delete("k", first.revision, duty="claims")
                new = await store.delete("k", first.revision + 1, duty="claims")
                return old, new, standin.entries

        old, new, entries = run_virtual(scenario)
        self.assertIsInstance(old.error, Conflict)
        self.assertTrue(new.is_ok())
        self.assertEqual(entries, {})


async def take(store, seen):
    async for entry in store.watch("k", 1, duty="bundle"):
        seen.append(entry.value)


if __name__ == "__main__":
    unittest.main()
