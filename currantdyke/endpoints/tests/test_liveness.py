import unittest

import anyio
import attrs

from currantdyke.endpoints import EndpointLiveness, EndpointTable
from currantdyke.stagecalls import EndpointState
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_bundle

MAX_PROPAGATION_SECONDS = 3.0


class Daemon:
    """Endpoint state of one daemon, without a network."""

    def __init__(self):
        self.table = EndpointTable()
        self.table.follow(build_bundle({"encoder": ["http://encoder-1:1"]}))
        self.time = 0.0
        self.announced = []
        self.liveness = EndpointLiveness(
            table=self.table, now=lambda: self.time, note=self.announced.append
        )

    @property
    def endpoint(self):
        return self.table.of_service("encoder")[0]

    def hear(self, **state):
        self.liveness.process_state(self.endpoint, EndpointState(**state))


class TestLeavingMark(unittest.TestCase):
    def test_later_response_without_leaving_keeps_the_mark(self):
        for incarnation in ("", "a"):
            daemon = Daemon()
            daemon.hear(leaving=True, incarnation=incarnation)
            daemon.hear(incarnation="a")
            daemon.hear()
            self.assertTrue(daemon.endpoint.leaving)

    def test_new_bundle_keeps_the_mark(self):
        daemon = Daemon()
        daemon.hear(leaving=True)
        daemon.table.follow(build_bundle({"reranker": ["http://reranker-1:1"]}))
        daemon.table.follow(build_bundle({"encoder": ["http://encoder-1:1"]}))
        daemon.liveness.follow()
        self.assertTrue(daemon.endpoint.leaving)

    def test_new_incarnation_at_the_same_address_is_a_new_endpoint(self):
        daemon = Daemon()
        daemon.hear(incarnation="a", leaving=True)
        before = daemon.endpoint
        before.failures_in_row = 7
        daemon.hear(incarnation="b")
        self.assertFalse(daemon.endpoint.leaving)
        self.assertIsNot(daemon.endpoint, before)
        self.assertEqual(daemon.endpoint.failures_in_row, 0)

    def test_late_responses_of_old_incarnation_do_not_mark_the_new_one(self):
        daemon = Daemon()
        daemon.hear(incarnation="a")
        daemon.hear(incarnation="b")
        daemon.hear(incarnation="a", leaving=True)
        daemon.hear(incarnation="a")
        self.assertFalse(daemon.endpoint.leaving)

    def test_each_mark_is_announced_once(self):
        daemon = Daemon()
        for _ in range(3):
            daemon.hear(leaving=True, incarnation="a")
        self.assertEqual(daemon.announced, ["encoder-1"])

    def test_mark_without_incarnation_is_dropped_after_an_hour(self):
        daemon = Daemon()
        daemon.hear(leaving=True)
        daemon.time = 3_601.0
        anyio.run(daemon.liveness.remove_expired)
        self.assertFalse(daemon.endpoint.leaving)


async def load(fleet, seconds):
    async with fleet.caller("entry-1") as client:
        end = anyio.current_time() + seconds
        while anyio.current_time() < end:
            await client.post("/v1/services/entry-desk", json={"input": 1})
            await anyio.sleep(0.2)


@attrs.define(kw_only=True)
class Observed:
    """Calls before the announcement, and calls later than allowed after it."""

    before: int = 0
    late: int = 0
    known: bool = False


async def leave_under_load():
    seen = Observed()
    async with fleet_in_memory(endpoints=3) as fleet:
        standin = fleet.standins["entry-desk-1"]
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(load, fleet, 14.0)
            await anyio.sleep(3.0)
            seen.before = len(standin.calls)
            standin.leaving = True
            await anyio.sleep(MAX_PROPAGATION_SECONDS)
            after = len(standin.calls)
            await anyio.sleep(8.0)
            seen.late = len(standin.calls) - after
        seen.known = fleet.daemons["entry-1"].liveness.is_leaving("entry-desk-1")
    return seen


class TestLeavingUnderLoad(unittest.TestCase):
    def test_leaving_endpoint_gets_no_new_calls(self):
        seen = run_virtual(leave_under_load)
        self.assertGreater(seen.before, 0)
        self.assertEqual(seen.late, 0)
        self.assertTrue(seen.known)


if __name__ == "__main__":
    unittest.main()
