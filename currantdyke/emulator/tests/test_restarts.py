import contextlib
import unittest

import anyio

from currantdyke.emulator import (
    Caller,
    EngineEmulator,
    PlainEmulator,
    Restarts,
    StoreEmulator,
    run_with_restarts,
)
from currantdyke.emulator.tests.builders import prompt_headers
from currantdyke.http1 import ConnectionLostError
from currantdyke.testing.gateways import run_on_sockets, wait_until

BAD_PART = "bad"
DOWN_SECONDS = 0.3


@contextlib.asynccontextmanager
async def crashing_endpoint(kind=PlainEmulator, **settings):
    endpoint = kind(instance="i-1", service="s", crash_part=BAD_PART, work_seconds=0.05)
    store = StoreEmulator()
    restarts = Restarts(**({"down_seconds": DOWN_SECONDS} | settings))
    async with anyio.create_task_group() as tasks:
        await tasks.start(run_with_restarts, endpoint, store, restarts)
        yield endpoint, store
        tasks.cancel_scope.cancel()


async def is_served(endpoint, *parts):
    """Return whether a request is answered; wait for its end in either case."""
    caller = Caller(address=endpoint.address)
    try:
        headers = prompt_headers(*parts)
        answer = await caller.request("POST", "/x", headers=headers)
        return answer.complete
    except (ConnectionLostError, OSError):
        return False
    finally:
        await caller.close()


class TestCrashes(unittest.TestCase):
    @run_on_sockets
    async def test_part_crashes_unless_it_is_the_last_one(self):
        for kind in (PlainEmulator, EngineEmulator):
            async with crashing_endpoint(kind) as (endpoint, _):
                for parts in (("a", "b", "c"), ("a", BAD_PART), ()):
                    self.assertTrue(await is_served(endpoint, *parts))
                self.assertEqual(endpoint.crashed_on, [])
                self.assertFalse(await is_served(endpoint, "a", BAD_PART, "c"))
                self.assertEqual(len(endpoint.crashed_on), 1)

    @run_on_sockets
    async def test_crash_resets_all_connections_and_stops_all_runs(self):
        async with crashing_endpoint() as (endpoint, _):
            idle = Caller(address=endpoint.address)
            await idle.connect()
            await wait_until(lambda: len(endpoint.streams) == 1)
            served = []

            async def request():
                served.append(await is_served(endpoint, "a"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(is_served, endpoint, BAD_PART, "c")
                await wait_until(lambda: len(endpoint.runs) == 1)
                tasks.start_soon(request)
            self.assertEqual(served, [False])
            self.assertEqual(len(endpoint.stopped), 2)
            with self.assertRaises(anyio.BrokenResourceError):
                await (await idle.connect()).stream.receive()
            await idle.close()

    @run_on_sockets
    async def test_address_refuses_connections_until_the_restart(self):
        async with crashing_endpoint() as (endpoint, store):
            address, born = endpoint.address, endpoint.born
            await is_served(endpoint, BAD_PART, "c")
            with self.assertRaises(OSError):
                await anyio.connect_tcp(endpoint.host, endpoint.port)
            self.assertEqual(store.document("servers/i-1")["born"], born)
            await wait_until(lambda: endpoint.incarnation == 2)
            await wait_until(lambda: store.document("servers/i-1")["born"] > born)
            self.assertEqual(endpoint.address, address)
            self.assertTrue(await is_served(endpoint, "a"))

    @run_on_sockets
    async def test_fast_restart_is_announced_each_time(self):
        async with crashing_endpoint(down_seconds=0.05) as (endpoint, store):
            for crashes in (1, 2, 3):
                born = store.document("servers/i-1")["born"]
                await is_served(endpoint, BAD_PART, "c")
                self.assertEqual(len(endpoint.crashed_on), crashes)
                await wait_until(
                    lambda old=born: store.document("servers/i-1")["born"] > old
                )
                self.assertTrue(await is_served(endpoint, "a"))

    @run_on_sockets
    async def test_entry_of_an_old_id_expires(self):
        restarts = {"new_instance": True, "expiry_seconds": 0.6}
        async with crashing_endpoint(**restarts) as (endpoint, store):
            await is_served(endpoint, BAD_PART, "c")
            await wait_until(lambda: "servers/i-1-2" in store.items)
            self.assertIn("servers/i-1", store.items)
            await wait_until(lambda: "servers/i-1" not in store.items)
            await anyio.sleep(0.1)
            self.assertEqual(list(store.items), ["servers/i-1-2"])


if __name__ == "__main__":
    unittest.main()
