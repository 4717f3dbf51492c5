import unittest

import anyio

from currantdyke.directory import rank_daemons
from currantdyke.emulator import (
    Caller,
    EngineEmulator,
    PlainEmulator,
    StageEmulator,
)
from currantdyke.gateway.daemon import ROTATION_SECONDS, GatewayDaemon
from currantdyke.testing.gateways import (
    configuration,
    over_sockets,
    plain_route,
    run_deployment,
    stream_route,
    until,
)

KEY = {"authorization": "Token k1"}
STAGE = [{"service": "rank", "after": [], "size_bytes": 1_000}]
STREAM = KEY | {
    "x-token-usage": "100,50",
    "x-prefix-hash": "ab:60,cd:40",
    "x-chunk-count": "2",
    "x-chunk-key": "k",
}


class TestConfiguration(unittest.TestCase):
    @over_sockets
    async def test_new_version_is_in_force_within_a_second_and_never_goes_back(self):
        async with run_deployment(configuration(5, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "other")
            gateway = await deployment.gateway()
            moved = plain_route(service="other")
            deployment.store.put("op/config", configuration(8, [moved]))
            await until(
                lambda: gateway.directory.routes.catalog.version == 8, seconds=1
            )
            answer = await deployment.caller().ask("GET", "/plain/", headers=KEY)
            deployment.store.put("op/config", configuration(7, [plain_route()]))
            await anyio.sleep(0.8)
            after = await deployment.caller().ask("GET", "/plain/", headers=KEY)
        self.assertEqual(answer.headers["x-server-signature"], "signed.i-2")
        self.assertEqual(after.headers["x-server-signature"], "signed.i-2")

    @over_sockets
    async def test_history_that_is_gone_is_listed_anew(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            deployment.store.trouble = "busy"
            await until(lambda: gateway.follower.lost_since is not None)
            deployment.store.put("servers/i-1", endpoint.entry(state="draining"))
            deployment.store.put("op/config", configuration(2, [plain_route()]))
            deployment.store.forget_history()
            deployment.store.trouble = ""
            await until(lambda: gateway.directory.routes.catalog.version == 2)
            self.assertIsNone(gateway.directory.endpoints.usable("i-1"))

    @over_sockets
    async def test_daemon_that_the_store_turns_away_follows_a_peer(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            first = await deployment.gateway()
            second = await deployment.gateway()
            await until(lambda: len(first.directory.daemons) == 2)
            # Both daemons reach the store from the same address here.
            second.store.port = 1
            await second.store.close()
            await until(lambda: second.follower.lost_since is not None)
            revoked = [{"name": "cider", "api_keys": ["k9"]}]
            document = configuration(2, [plain_route()], tenants=revoked)
            deployment.store.put("op/config", document)
            await until(lambda: second.directory.routes.catalog.version == 2, seconds=3)
            answer = await deployment.caller(1).ask("GET", "/plain/", headers=KEY)
        self.assertEqual(answer.status, 401)

    @over_sockets
    async def test_daemon_without_a_configuration_says_that_it_is_not_ready(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            gateway = await deployment.gateway()
            gateway.directory.routes = None
            answer = await deployment.caller().ask("GET", "/plain/", headers=KEY)
            self.assertEqual(gateway.readiness().status, 503)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)

    @over_sockets
    async def test_entries_of_another_writer_name_no_endpoint(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            strange = (
                b"\xff\xfe",
                b"[]",
                b'{"service":"plain"}',
                endpoint.entry() | {"state": "asleep"},
                endpoint.entry() | {"address": 7},
                endpoint.entry() | {"address": "nowhere"},
                endpoint.entry() | {"slots": "many"},
            )
            for number, document in enumerate(strange):
                deployment.store.put(f"servers/x-{number}", document)
            gateway = await deployment.gateway()
            self.assertEqual(list(gateway.directory.endpoints.known), ["i-1"])


class TestLeaving(unittest.TestCase):
    @over_sockets
    async def test_endpoint_that_leaves_gets_no_new_work(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            leaving = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "plain")
            gateway = await deployment.gateway()
            deployment.store.put("servers/i-1", leaving.entry(state="draining"))
            await until(
                lambda: gateway.directory.endpoints.usable("i-1") is None, seconds=1
            )
            before = len(leaving.arrivals)
            for _ in range(10):
                await deployment.caller().ask("GET", "/plain/", headers=KEY)
        self.assertEqual(len(leaving.arrivals), before)

    @over_sockets
    async def test_address_that_another_endpoint_took_runs_nothing(self):
        route = plain_route(type="non_idempotent", max_attempts=1)
        async with run_deployment(configuration(1, [route])) as deployment:
            taken = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            taken.instance = "i-7"
            answer = await deployment.caller().ask("POST", "/plain/", headers=KEY)
            self.assertIsNotNone(gateway.directory.endpoints.usable("i-1"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(taken.runs, [])

    @over_sockets
    async def test_entries_that_lapsed_in_an_outage_are_used_until_they_may_be_back(
        self,
    ):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            back = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "plain")
            gateway = await deployment.gateway()
            endpoints = gateway.directory.endpoints
            deployment.store.trouble = "busy"
            await until(lambda: gateway.follower.lost_since is not None)
            deployment.store.remove("servers/i-1")
            deployment.store.remove("servers/i-2")
            deployment.store.trouble = ""
            await until(lambda: len(endpoints.lapsed) == 2)
            answer = await deployment.caller().ask("GET", "/plain/", headers=KEY)
            deployment.store.put("servers/i-1", back.entry())
            await until(lambda: endpoints.usable("i-2") is None, seconds=4)
            self.assertIsNotNone(endpoints.usable("i-1"))
        self.assertEqual(answer.status, 200)


class TestStopping(unittest.TestCase):
    @over_sockets
    async def test_request_that_is_arriving_when_all_else_is_done_is_answered(self):
        request = (
            b"GET /plain/ HTTP/1.1\r\nhost: one.example\r\nx-attempt-id: a\r\n"
            b"x-deadline-ms: 2000\r\nauthorization: Token k1\r\n\r\n"
        )
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            connection = await deployment.caller().connect()
            gateway.stop_asked.set()
            await anyio.sleep(ROTATION_SECONDS - 0.3)
            await connection.stream.send(request[:40])
            await anyio.sleep(0.6)
            await connection.stream.send(request[40:])
            with anyio.fail_after(2):
                answer = await connection.stream.receive()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer[:60])

    @over_sockets
    async def test_requests_in_progress_and_on_open_connections_are_answered(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=0.5
            )
            gateway = await deployment.gateway()
            slow, kept = deployment.caller(), deployment.caller()
            await kept.connect()
            await slow.send("GET", "/plain/slow", headers=KEY)
            await until(lambda: endpoint.runs)
            gateway.stop_asked.set()
            await until(lambda: gateway.entrance.leaving)
            self.assertEqual(gateway.readiness().status, 503)
            late = await kept.ask("GET", "/plain/late", headers=KEY)
            first = await slow.answer()
        for answer in (late, first):
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.whole)
        self.assertEqual(late.headers["connection"], "close")


async def owner_first(deployment, count: int) -> list[GatewayDaemon]:
    """Start gateways that know each other; return them from the owner on."""
    started = [await deployment.gateway() for _ in range(count)]
    for gateway in started:
        await until(lambda g=gateway: len(g.directory.daemons) == count)
    by_name = {gateway.settings.name: gateway for gateway in started}
    cores = {name: gateway.settings.cores for name, gateway in by_name.items()}
    return [by_name[name] for name in rank_daemons("engine", cores)]


class TestOwner(unittest.TestCase):
    @over_sockets
    async def test_owner_schedules_for_all_and_its_successor_takes_over(self):
        route = stream_route(stages=STAGE)
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank", work_seconds=0.3)
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            owner, _, entry = await owner_first(deployment, 3)
            caller = Caller(address=entry.settings.caller_address)
            await caller.send("POST", "/stream/", headers=STREAM)
            await until(lambda: owner.conductor.chains)
            # The owner freezes: it reads and answers nothing any more.
            owner.peers.answer = None
            for link in list(owner.of_links):
                link.outgoing = Frozen()
            answer = await caller.answer()
            lines = deployment.lines[entry.settings.name]
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertIn("owner_lost", [line["event"] for line in lines])

    @over_sockets
    async def test_owner_whose_entry_lapsed_stays_the_owner_while_it_answers(self):
        route = stream_route(stages=STAGE)
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank")
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            owner, entry = await owner_first(deployment, 2)
            owner.registration.store.port = 1
            await owner.registration.store.close()
            deployment.store.remove(f"daemons/{owner.settings.name}")
            await until(lambda: owner.settings.name in entry.directory.departed)
            caller = Caller(address=entry.settings.caller_address)
            answer = await caller.ask("POST", "/stream/", headers=STREAM)
            placed = [line["event"] for line in deployment.lines[owner.settings.name]]
        self.assertEqual(answer.status, 200)
        self.assertIn("placed", placed)

    @over_sockets
    async def test_daemon_that_stops_schedules_nothing_new_for_others(self):
        route = stream_route(stages=STAGE)
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank")
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            owner, entry = await owner_first(deployment, 2)
            owner.stop_asked.set()
            await until(lambda: owner.settings.name not in entry.directory.daemons)
            caller = Caller(address=entry.settings.caller_address)
            answer = await caller.ask("POST", "/stream/", headers=STREAM)
            placed = [line["event"] for line in deployment.lines[entry.settings.name]]
        self.assertEqual(answer.status, 200)
        self.assertIn("placed", placed)


class Frozen(list):
    """Takes frames and keeps none."""

    def append(self, data: bytes) -> None:
        """Drop a frame."""


if __name__ == "__main__":
    unittest.main()
