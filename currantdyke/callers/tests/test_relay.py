import contextlib
import unittest

import anyio

from currantdyke.callers.relay import HOP_HEADER, RunningAt
from currantdyke.callers.tests.callers import (
    STREAM,
    rejoin,
    submit_async,
    texts_of,
)
from currantdyke.core import Outcome
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_bundle


@contextlib.asynccontextmanager
async def fleet_of_two(**generator):
    async with fleet_in_memory(daemons=2) as fleet:
        for name, value in generator.items():
            setattr(fleet.standins["generator-1"], name, value)
        for daemon in fleet.daemons.values():
            daemon.relay.find_daemon = lambda name: place(fleet, name)
        yield fleet


def place(fleet, name):
    if name not in fleet.daemons:
        return None
    incarnation = fleet.daemons[name].identity.incarnation
    return RunningAt(url=f"http://{name}:8080", incarnation=incarnation)


async def call(fleet, method, request_id, daemon="entry-2", **headers):
    async with fleet.caller(daemon) as client:
        path = f"/v1/requests/{request_id}"
        return await client.request(method, path, headers=headers)


class TestRelay(unittest.TestCase):
    def test_other_daemon_gives_the_same_stream_from_any_event_on(self):
        async def scenario():
            async with fleet_of_two(token_seconds=0.2) as fleet:
                request_id = await submit_async(fleet)
                relayed = await rejoin(fleet, request_id, daemon="entry-2")
                own = await rejoin(fleet, request_id)
                tail = await rejoin(fleet, request_id, daemon="entry-2", first=7)
                await anyio.sleep(0.01)
                return relayed, own, tail, fleet.daemons["entry-2"].relay.open

        relayed, own, tail, still_open = run_virtual(scenario)
        self.assertEqual(len(texts_of(own)), 16)
        self.assertEqual(relayed, own)
        self.assertEqual(tail, own[7:])
        self.assertEqual(still_open, 0)

    def test_members_find_each_other_for_relays(self):
        async def scenario():
            async with fleet_in_memory(daemons=2, peers=True) as fleet:
                await anyio.sleep(3)
                request_id = await submit_async(fleet)
                return await rejoin(fleet, request_id, daemon="entry-2")

        self.assertEqual(len(texts_of(run_virtual(scenario))), 16)

    def test_other_daemon_waits_long_for_a_whole_answer(self):
        async def scenario():
            async with fleet_of_two(seconds=5.5) as fleet:
                request_id = await submit_async(fleet)
                early = await call(fleet, "GET", request_id, prefer="wait=1")
                whole = await call(fleet, "GET", request_id)
                return early, whole, request_id

        early, whole, request_id = run_virtual(scenario)
        self.assertEqual(early.status_code, 202)
        self.assertEqual(whole.json()["outcome"], "done")
        self.assertEqual(whole.headers["x-request-id"], request_id)

    def test_cancel_at_another_daemon_reaches_the_endpoint(self):
        async def scenario():
            async with fleet_of_two(token_seconds=1.0) as fleet:
                request_id = await submit_async(fleet)
                await anyio.sleep(1.5)
                cancelled = await call(fleet, "DELETE", request_id)
                await anyio.sleep(0.01)
                return cancelled.json(), fleet.standins["generator-1"].abandoned

        cancelled, abandoned = run_virtual(scenario)
        self.assertEqual(cancelled["error"]["code"], "cancelled")
        self.assertEqual(len(abandoned), 1)

    def test_daemon_that_is_gone_is_told_as_unknown_with_a_remedy(self):
        async def scenario():
            async with fleet_of_two() as fleet:
                request_id = await submit_async(fleet)
                fleet.kill_daemon("entry-1")
                by_connection = await call(fleet, "GET", request_id)
                streamed = await call(fleet, "GET", request_id, **STREAM)
                fleet.daemons.pop("entry-1")
                by_membership = await call(fleet, "DELETE", request_id)
                await fleet.start_daemon("entry-1")
                fleet.put_in_force(build_bundle(fleet.urls), version=2)
                by_incarnation = await call(fleet, "GET", request_id)
                itself = await call(fleet, "GET", request_id, daemon="entry-1")
                return by_connection, streamed, by_membership, by_incarnation, itself

        for response in run_virtual(scenario):
            body = response.json()
            self.assertEqual(response.status_code, 410, body)
            self.assertEqual(body["error"]["code"], "request_lost")
            self.assertEqual(body["outcome"], Outcome.UNKNOWN.value)
            self.assertIn("send the request again", body["error"]["message"])

    def test_stream_that_breaks_at_the_other_daemon_ends_in_a_typed_event(self):
        async def scenario():
            async with fleet_of_two(token_seconds=0.2) as fleet:
                request_id = await submit_async(fleet)
                fleet.network.link("entry-1:8080").cut_after_bytes = 700
                return await rejoin(fleet, request_id, daemon="entry-2")

        events = run_virtual(scenario)
        self.assertEqual(events[-1][1], "error")
        self.assertEqual(events[-1][2]["error"]["code"], "request_lost")
        numbers = [number for number, _, _ in events[:-1]]
        self.assertEqual(numbers, list(range(len(numbers))))
        self.assertGreater(len(numbers), 2)

    def test_caller_that_hangs_up_ends_the_relay_but_not_the_request(self):
        async def scenario():
            async with fleet_of_two(token_seconds=0.2) as fleet:
                request_id = await submit_async(fleet)
                await rejoin(fleet, request_id, daemon="entry-2", most=3)
                await anyio.sleep(0.1)
                exchange = fleet.daemons["entry-1"].requests.by_id[request_id]
                left = fleet.daemons["entry-2"].relay.open, exchange.readers
                return left, await rejoin(fleet, request_id, daemon="entry-2")

        left, events = run_virtual(scenario)
        self.assertEqual(left, (0, 0))
        self.assertEqual(len(texts_of(events)), 16)

    def test_relays_never_go_round(self):
        async def scenario():
            async with fleet_of_two() as fleet:
                looked_up = []

                def find_daemon(name):
                    looked_up.append(name)
                    return RunningAt(url="http://entry-1:8080")

                for daemon in fleet.daemons.values():
                    daemon.relay.find_daemon = find_daemon
                response = await call(fleet, "GET", "entry-9.ab.1.cd")
                return response.json(), looked_up

        body, looked_up = run_virtual(scenario)
        self.assertEqual(body["error"]["code"], "request_lost")
        self.assertEqual(looked_up, ["entry-9"])

    def test_relayed_request_is_not_relayed_again(self):
        async def scenario():
            async with fleet_of_two() as fleet:
                request_id = await submit_async(fleet)
                headers = {HOP_HEADER: "entry-3"}
                relayed = await call(fleet, "GET", request_id, **headers)
                direct = await call(fleet, "GET", request_id)
                return relayed.status_code, direct.status_code

        self.assertEqual(run_virtual(scenario), (410, 200))


if __name__ == "__main__":
    unittest.main()
