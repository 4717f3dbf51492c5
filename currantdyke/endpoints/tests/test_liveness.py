import unittest

import anyio
import attrs

from currantdyke.endpoints import EndpointLiveness, EndpointTable
from currantdyke.peers.tests.builders import build_fact
from currantdyke.platformlist import VmEntry
from currantdyke.stagecalls import EndpointWord
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_bundle

NAME = "encoder-1"
MOST_SECONDS = 3.0


class Daemon:
    """One daemon's view, without a network."""

    def __init__(self):
        self.table = EndpointTable()
        self.table.follow(build_bundle({"encoder": ["http://encoder-1:1"]}))
        self.time = 0.0
        self.shared = []
        self.liveness = EndpointLiveness(table=self.table, now=lambda: self.time)
        self.liveness.share = lambda key, value: self.shared.append((key, value))

    @property
    def endpoint(self):
        return self.table.of_service("encoder")[0]

    def hear(self, **word):
        self.liveness.hear_word(self.endpoint, EndpointWord(**word))

    def read_list(self, **entry):
        self.liveness.take_list([VmEntry(name=NAME, **entry)])

    def hear_peer(self, key, value="", seconds=60.0):
        fact = build_fact(key=key, value=value, remaining_seconds=seconds)
        take = self.liveness.take_fact
        (take if key.startswith("leaving/") else self.liveness.take_renewal)(fact)


class TestSticky(unittest.TestCase):
    def test_late_live_of_the_list_does_not_undo_the_own_word(self):
        for incarnation in ("", "a"):
            daemon = Daemon()
            daemon.hear(leaving=True, incarnation=incarnation)
            daemon.read_list(incarnation="a")
            daemon.read_list(incarnation="")
            self.assertTrue(daemon.endpoint.leaving)

    def test_new_bundle_keeps_the_mark(self):
        daemon = Daemon()
        daemon.hear(leaving=True)
        daemon.table.follow(build_bundle({"reranker": ["http://reranker-1:1"]}))
        daemon.table.follow(build_bundle({"encoder": ["http://encoder-1:1"]}))
        daemon.liveness.follow()
        self.assertTrue(daemon.endpoint.leaving)

    def test_new_life_at_the_same_address_is_a_new_endpoint(self):
        daemon = Daemon()
        daemon.hear(incarnation="a", leaving=True)
        before = daemon.endpoint
        before.failures_in_row = 7
        daemon.time = 200.0
        daemon.read_list(incarnation="b")
        self.assertFalse(daemon.endpoint.leaving)
        self.assertIsNot(daemon.endpoint, before)
        self.assertEqual(daemon.endpoint.failures_in_row, 0)

    def test_words_about_the_old_life_do_not_touch_the_new(self):
        daemon = Daemon()
        daemon.hear(incarnation="a")
        daemon.hear(incarnation="b")
        daemon.read_list(incarnation="a", leaving=True)
        daemon.read_list(incarnation="a")
        daemon.hear_peer("leaving/encoder-1/a")
        self.assertFalse(daemon.endpoint.leaving)

    def test_list_that_lags_behind_the_own_word_does_not_bring_back_the_old(self):
        daemon = Daemon()
        daemon.hear(incarnation="b")
        daemon.read_list(incarnation="a")
        daemon.hear(incarnation="b", leaving=True)
        daemon.read_list(incarnation="a")
        self.assertTrue(daemon.endpoint.leaving)

    def test_fresh_daemon_takes_old_end_and_new_life_in_either_order(self):
        facts = [("leaving/encoder-1/a", ""), ("renewed/encoder-1", "b")]
        for order in (facts, facts[::-1]):
            daemon = Daemon()
            for key, value in order:
                daemon.hear_peer(key, value)
            self.assertFalse(daemon.endpoint.leaving)

    def test_each_mark_is_shared_once_and_never_for_a_peer(self):
        daemon = Daemon()
        for _ in range(3):
            daemon.hear(leaving=True, incarnation="a")
            daemon.read_list(leaving=True, incarnation="a")
        self.assertEqual(daemon.shared, [("leaving/encoder-1/a", "own word")])
        other = Daemon()
        other.hear_peer("leaving/encoder-1/a")
        self.assertTrue(other.endpoint.leaving)
        self.assertEqual(other.shared, [])

    def test_mark_without_incarnation_lapses_at_last(self):
        daemon = Daemon()
        daemon.hear(leaving=True)
        daemon.time = 3_601.0
        daemon.liveness.forget_old()
        self.assertFalse(daemon.endpoint.leaving)


async def load(fleet, daemon, seconds):
    async with fleet.caller(daemon) as client:
        end = anyio.current_time() + seconds
        while anyio.current_time() < end:
            await client.post("/v1/services/entry-desk", json={"input": 1})
            await anyio.sleep(1.5)


@attrs.define(kw_only=True)
class Seen:
    """What the stand-in saw after the word."""

    late: int = 0
    before: int = 0
    knowing: list[bool] = attrs.field(factory=list)


async def leave_under_load(say, loss=0.0):
    seen = Seen()
    async with fleet_in_memory(daemons=12, endpoints=3, peers=True) as fleet:
        await anyio.sleep(5.0)
        fleet.peers.loss = loss
        standin = fleet.standins["entry-desk-1"]
        async with anyio.create_task_group() as tasks:
            for name in fleet.daemons:
                tasks.start_soon(load, fleet, name, 14.0)
            await anyio.sleep(3.0)
            seen.before = len(standin.calls)
            say(fleet, standin)
            await anyio.sleep(MOST_SECONDS)
            after = len(standin.calls)
            await anyio.sleep(8.0)
            seen.late = len(standin.calls) - after
        seen.knowing = [
            d.liveness.is_leaving("entry-desk-1") for d in fleet.daemons.values()
        ]
    return seen


def own_word(fleet, standin):
    standin.leaving = True


def list_word(fleet, standin):
    fleet.platform_list.put("entry-desk-1", "leaving", "a")


class TestNoNewWorkToTheLeaving(unittest.TestCase):
    def check(self, seen):
        self.assertGreater(seen.before, 0)
        self.assertEqual(seen.late, 0)
        self.assertTrue(all(seen.knowing))

    def test_own_word_counts_at_all_daemons_in_time(self):
        self.check(run_virtual(leave_under_load, own_word))

    def test_own_word_counts_in_time_with_lost_peer_messages(self):
        self.check(run_virtual(leave_under_load, own_word, loss=0.2))

    def test_word_of_the_list_counts_at_all_daemons_in_time(self):
        self.check(run_virtual(leave_under_load, list_word))

    def test_list_that_is_down_stops_nothing(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.platform_list.down = True
                await anyio.sleep(5.0)
                async with fleet.caller("entry-1") as client:
                    answer = await client.post(
                        "/v1/services/entry-desk", json={"input": 1}
                    )
                return answer.status_code, fleet.platform_list.calls

        status, reads = run_virtual(scenario)
        self.assertEqual(status, 200)
        self.assertGreater(reads, 0)


if __name__ == "__main__":
    unittest.main()
