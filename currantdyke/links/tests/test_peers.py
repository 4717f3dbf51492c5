import os
import unittest

import anyio
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import Directory
from currantdyke.links import ChangesAsked, LinkLostError, Peers, Unknown
from currantdyke.platform.records import DaemonEntry

PORT = 17_741
LATE_SECONDS = 0.3
ASKED = ChangesAsked(revision=1)


def build_entry(number, incarnation="first"):
    return DaemonEntry(
        name=f"entry-{number}",
        ip=f"127.77.{os.getpid() % 250}.{number}",
        availability_zone="a",
        incarnation=incarnation,
    )


async def answer(link, content):
    return Unknown()


def build_peers(number, known=()):
    log = DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY))
    directory = Directory(log=log)
    directory.daemons = {entry.name: entry for entry in known}
    return Peers(
        own=build_entry(number),
        port=PORT,
        seed_ips=(),
        directory=directory,
        log=log,
        answer=answer,
        notice=lambda link, content: None,
        on_link_lost=lambda link: None,
    )


class TestDaemonsThatStart(unittest.TestCase):
    def test_daemon_that_is_not_up_yet_is_waited_for(self):
        async def scenario():
            late = build_entry(2)
            asking = build_peers(1, known=[late])

            async def start_late():
                await anyio.sleep(LATE_SECONDS)
                await build_peers(2).run()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(asking.run)
                tasks.start_soon(start_late)
                with self.assertRaises(LinkLostError):
                    await asking.ask(late.ip, ASKED)
                found = await asking.ask(late.ip, ASKED, patience=3 * LATE_SECONDS)
                tasks.cancel_scope.cancel()
            return found, asking.others()

        found, others = anyio.run(scenario)
        self.assertEqual(found, Unknown())
        self.assertEqual([entry.name for entry in others], ["entry-2"])

    def test_patience_has_an_end(self):
        async def scenario():
            asking = build_peers(3)
            started = anyio.current_time()
            with self.assertRaises(LinkLostError):
                await asking.ask(build_entry(4).ip, ASKED, patience=LATE_SECONDS)
            return anyio.current_time() - started

        seconds = anyio.run(scenario)
        self.assertGreaterEqual(seconds, LATE_SECONDS)
        self.assertLess(seconds, 3 * LATE_SECONDS)


class TestSuspicion(unittest.TestCase):
    def test_daemon_that_started_anew_is_no_longer_suspected(self):
        async def scenario():
            lost = build_entry(6)
            asking = build_peers(5, known=[lost])
            seen = [len(asking.others())]
            with self.assertRaises(LinkLostError):
                await asking.ask(lost.ip, ASKED)
            seen.append(len(asking.others()))
            asking.directory.daemons[lost.name] = attrs.evolve(lost, incarnation="next")
            seen.append(len(asking.others()))
            return seen

        self.assertEqual(anyio.run(scenario), [1, 0, 1])

    def test_daemon_that_stays_silent_is_avoided_for_longer_each_time(self):
        async def scenario():
            lost = build_entry(8)
            asking = build_peers(7, known=[lost])
            found = []
            for _ in range(3):
                with self.assertRaises(LinkLostError):
                    await asking.ask(lost.ip, ASKED)
                suspicion = asking.suspects[lost.ip]
                found.append(suspicion.until - anyio.current_time())
                suspicion.until = anyio.current_time()
            return found

        first, second, third = anyio.run(scenario)
        self.assertLess(1.5 * first, second)
        self.assertLess(1.5 * second, third)


if __name__ == "__main__":
    unittest.main()
