import unittest

import anyio
import attrs

from currantdyke.core import Position
from currantdyke.links import ChangesRequest, LinkLostError, Unknown
from currantdyke.links.tests.builders import (
    build_changes,
    build_entry,
    build_peers,
    run_daemons,
)
from currantdyke.testing.gateways import run_on_sockets

START_DELAY_SECONDS = 0.3
REQUEST = ChangesRequest(revision=1)
CHANGES = build_changes(value_bytes=100)


async def answer(link, content):
    return CHANGES


class TestStartingDaemons(unittest.TestCase):
    def test_connection_to_a_starting_daemon_is_retried(self):
        async def scenario():
            late = build_entry(2)
            asking = build_peers(1, known=[late])

            async def start_late():
                await anyio.sleep(START_DELAY_SECONDS)
                await build_peers(2).run()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(asking.run)
                tasks.start_soon(start_late)
                with self.assertRaises(LinkLostError):
                    await asking.request(late.ip, REQUEST)
                found = await asking.request(
                    late.ip, REQUEST, retry_seconds=3 * START_DELAY_SECONDS
                )
                tasks.cancel_scope.cancel()
            return found, asking.others()

        found, others = anyio.run(scenario)
        self.assertEqual(found, Unknown())
        self.assertEqual([entry.name for entry in others], ["entry-2"])

    def test_connection_retries_end_after_the_time_limit(self):
        async def scenario():
            asking = build_peers(3)
            started = anyio.current_time()
            with self.assertRaises(LinkLostError):
                await asking.request(
                    build_entry(4).ip, REQUEST, retry_seconds=START_DELAY_SECONDS
                )
            return anyio.current_time() - started

        seconds = anyio.run(scenario)
        self.assertGreaterEqual(seconds, START_DELAY_SECONDS)
        self.assertLess(seconds, 3 * START_DELAY_SECONDS)


class TestLinksToAskOnce(unittest.TestCase):
    # Guards against daemons that keep a link to whoever they asked after their start.
    @run_on_sockets
    async def test_link_that_was_opened_to_ask_once_is_closed(self):
        entries = [build_entry(number) for number in (8, 9)]
        asking = build_peers(7, known=entries)
        others = [build_peers(number, handle_request=answer) for number in (8, 9)]
        async with run_daemons(asking, *others):
            found = await asking.ask_changes_once(Position(0, 1))
            self.assertEqual(found.changes, CHANGES.changes)
            self.assertEqual(asking.links, {})
            await asking.request(entries[1].ip, REQUEST)
            for _ in range(10):
                await asking.ask_changes_once(Position(0, 1))
                self.assertEqual(list(asking.links), [entries[1].ip])


class TestSuspicion(unittest.TestCase):
    def test_restarted_daemon_is_no_longer_suspected(self):
        async def scenario():
            lost = build_entry(6)
            asking = build_peers(5, known=[lost])
            seen = [len(asking.others())]
            with self.assertRaises(LinkLostError):
                await asking.request(lost.ip, REQUEST)
            seen.append(len(asking.others()))
            asking.directory.daemons[lost.name] = attrs.evolve(lost, incarnation="next")
            seen.append(len(asking.others()))
            return seen

        self.assertEqual(anyio.run(scenario), [1, 0, 1])

    def test_suspicion_lasts_longer_after_each_failure(self):
        async def scenario():
            lost = build_entry(8)
            asking = build_peers(7, known=[lost])
            found = []
            for _ in range(3):
                with self.assertRaises(LinkLostError):
                    await asking.request(lost.ip, REQUEST)
                suspicion = asking.suspects[lost.ip]
                found.append(suspicion.until - anyio.current_time())
                suspicion.until = anyio.current_time()
            return found

        first, second, third = anyio.run(scenario)
        self.assertLess(1.5 * first, second)
        self.assertLess(1.5 * second, third)


if __name__ == "__main__":
    unittest.main()
