import unittest

import anyio

from currantdyke.standins import KeyValueStandIn
from currantdyke.store import EtcdStore, Unavailable, Unknown
from currantdyke.testing import MemoryNetwork, run_virtual


async def with_store(scenario, patience):
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        key_value = KeyValueStandIn()
        url = network.attach("store:1", key_value.app())
        store = EtcdStore(client=network.client(), url=url, patience_seconds=patience)
        result = await scenario(store, key_value, tasks)
        tasks.cancel_scope.cancel()
        return result


async def up_after(key_value, seconds):
    key_value.faults.down = True
    await anyio.sleep(seconds)
    key_value.faults.down = False


class TestPatience(unittest.TestCase):
    def test_patient_calls_outlast_a_short_outage(self):
        async def scenario(store, key_value, tasks):
            tasks.start_soon(up_after, key_value, 3.0)
            await anyio.sleep(0.1)
            swapped = await store.compare_and_swap("k", 0, b"v", duty="bundle")
            found = await store.get("k", duty="bundle")
            return swapped, found

        swapped, found = run_virtual(with_store, scenario, 10.0)
        self.assertTrue(swapped.is_ok())
        self.assertEqual(found.ok.value, b"v")

    def test_patience_ends(self):
        async def scenario(store, key_value, tasks):
            key_value.faults.down = True
            answer = await store.get("k", duty="bundle")
            return answer, anyio.current_time()

        answer, now = run_virtual(with_store, scenario, 5.0)
        self.assertIsInstance(answer.error, Unavailable)
        self.assertLess(now, 8.0)

    def test_write_that_may_stand_is_not_sent_again(self):
        async def scenario(store, key_value, tasks):
            key_value.faults.lose_answers = 1
            answer = await store.compare_and_swap("k", 0, b"v", duty="bundle")
            return answer, key_value.writes

        answer, writes = run_virtual(with_store, scenario, 10.0)
        self.assertIsInstance(answer.error, Unknown)
        self.assertEqual(writes, 1)


if __name__ == "__main__":
    unittest.main()
