import unittest

import anyio

from currantdyke.directory import rank_daemons
from currantdyke.directory.follow import LAPSE_HEARTBEATS, MIN_READ_INTERVAL_SECONDS
from currantdyke.emulator import (
    Caller,
    EngineEmulator,
    PlainEmulator,
    StageEmulator,
)
from currantdyke.gateway.daemon import ROTATION_REMOVAL_SECONDS, GatewayDaemon
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    stream_route,
    wait_until,
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
    @run_on_sockets
    async def test_new_configuration_applies_in_a_second_and_an_older_is_ignored(self):
        async with run_deployment(configuration(5, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "other")
            gateway = await deployment.gateway()
            changed_route = plain_route(service="other")
            deployment.store.put("op/config", configuration(8, [changed_route]))
            await wait_until(
                lambda: gateway.directory.routes.catalog.version == 8, seconds=1
            )
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
            deployment.store.put("op/config", configuration(7, [plain_route()]))
            await anyio.sleep(0.8)
            after = await deployment.caller().request("GET", "/plain/", headers=KEY)
        self.assertEqual(answer.headers["x-server-signature"], "signed.i-2")
        self.assertEqual(after.headers["x-server-signature"], "signed.i-2")

    @run_on_sockets
    async def test_store_is_listed_again_when_its_watch_history_is_gone(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            deployment.store.fault = "busy"
            await wait_until(lambda: gateway.follower.lost_since is not None)
            deployment.store.put("servers/i-1", endpoint.entry(state="draining"))
            deployment.store.put("op/config", configuration(2, [plain_route()]))
            deployment.store.compact()
            deployment.store.fault = ""
            await wait_until(lambda: gateway.directory.routes.catalog.version == 2)
            self.assertIsNone(gateway.directory.endpoints.usable("i-1"))

    @run_on_sockets
    async def test_daemon_without_store_connection_follows_a_peer(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            first = await deployment.gateway()
            second = await deployment.gateway()
            await wait_until(lambda: len(first.directory.daemons) == 2)
            # The store emulator can only refuse by host, which both daemons share here;
            # an unused port cuts off one of them.
            second.store.port = 1
            await second.store.close()
            await wait_until(lambda: second.follower.lost_since is not None)
            revoked = [{"name": "cider", "api_keys": ["k9"]}]
            document = configuration(2, [plain_route()], tenants=revoked)
            deployment.store.put("op/config", document)
            await wait_until(
                lambda: second.directory.routes.catalog.version == 2, seconds=3
            )
            answer = await deployment.caller(1).request("GET", "/plain/", headers=KEY)
        self.assertEqual(answer.status, 401)

    @run_on_sockets
    async def test_daemon_without_configuration_is_not_ready_and_answers_503(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            gateway = await deployment.gateway()
            gateway.directory.routes = None
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
            self.assertEqual(gateway.readiness().status, 503)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)

    @run_on_sockets
    async def test_malformed_endpoint_entries_are_ignored(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            malformed = (
                b"\xff\xfe",
                b"[]",
                b'{"service":"plain"}',
                endpoint.entry() | {"state": "asleep"},
                endpoint.entry() | {"address": 7},
                endpoint.entry() | {"address": "nowhere"},
                endpoint.entry() | {"slots": "many"},
            )
            for number, document in enumerate(malformed):
                deployment.store.put(f"servers/x-{number}", document)
            gateway = await deployment.gateway()
            self.assertEqual(list(gateway.directory.endpoints.known), ["i-1"])


class TestEndpointWithdrawal(unittest.TestCase):
    @run_on_sockets
    async def test_draining_endpoint_gets_no_new_requests(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            leaving = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "plain")
            gateway = await deployment.gateway()
            deployment.store.put("servers/i-1", leaving.entry(state="draining"))
            await wait_until(
                lambda: gateway.directory.endpoints.usable("i-1") is None, seconds=1
            )
            before = len(leaving.arrivals)
            for _ in range(10):
                await deployment.caller().request("GET", "/plain/", headers=KEY)
        self.assertEqual(len(leaving.arrivals), before)

    @run_on_sockets
    async def test_request_is_not_run_by_another_endpoint_at_the_address(self):
        route = plain_route(type="non_idempotent", max_attempts=1)
        async with run_deployment(configuration(1, [route])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            endpoint.instance = "i-7"
            answer = await deployment.caller().request("POST", "/plain/", headers=KEY)
            self.assertIsNotNone(gateway.directory.endpoints.usable("i-1"))
        self.assertEqual(answer.status, 503)
        self.assertEqual(endpoint.runs, [])

    @run_on_sockets
    async def test_endpoints_lapsed_in_an_outage_are_used_until_the_grace_ends(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            returning = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "plain")
            gateway = await deployment.gateway()
            endpoints = gateway.directory.endpoints
            deployment.store.fault = "busy"
            lapse = LAPSE_HEARTBEATS * gateway.settings.heartbeat
            await wait_until(lambda: gateway.directory.age > lapse)
            deployment.store.remove("servers/i-1")
            deployment.store.remove("servers/i-2")
            deployment.store.fault = ""
            await wait_until(lambda: len(endpoints.lapsed) == 2)
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
            deployment.store.put("servers/i-1", returning.entry())
            await wait_until(lambda: endpoints.usable("i-2") is None, seconds=4)
            self.assertIsNotNone(endpoints.usable("i-1"))
        self.assertEqual(answer.status, 200)

    # Guards against work for endpoints whose entries were removed from a store that
    # answers, but cuts the watches that wait (review case 14).
    @run_on_sockets
    async def test_removed_endpoint_gets_no_work_while_watches_are_cut(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "plain")
            for _ in range(3):
                await deployment.gateway()
            deployment.store.cut_watches_after = 0.1
            await anyio.sleep(2.0)
            deployment.store.remove("servers/i-1")
            await anyio.sleep(2 * MIN_READ_INTERVAL_SECONDS)
            followers = [gateway.follower for gateway in deployment.gateways]
            known = [f.directory.endpoints.usable("i-1") for f in followers]
        self.assertEqual(known, [None] * 3)
        self.assertEqual([f.lost_since for f in followers], [None] * 3)
        self.assertTrue(all(f.watches_cut for f in followers))


class TestShutdown(unittest.TestCase):
    @run_on_sockets
    async def test_request_that_is_still_being_received_is_answered(self):
        request = (
            b"GET /plain/ HTTP/1.1\r\nhost: one.example\r\nx-attempt-id: a\r\n"
            b"x-deadline-ms: 2000\r\nauthorization: Token k1\r\n\r\n"
        )
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            connection = await deployment.caller().connect()
            gateway.stop_requested.set()
            await anyio.sleep(ROTATION_REMOVAL_SECONDS - 0.3)
            await connection.stream.send(request[:40])
            await anyio.sleep(0.6)
            await connection.stream.send(request[40:])
            with anyio.fail_after(2):
                answer = await connection.stream.receive()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer[:60])

    @run_on_sockets
    async def test_requests_in_progress_and_on_open_connections_are_answered(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=0.5
            )
            gateway = await deployment.gateway()
            slow, idle = deployment.caller(), deployment.caller()
            await idle.connect()
            await slow.send("GET", "/plain/slow", headers=KEY)
            await wait_until(lambda: endpoint.runs)
            gateway.stop_requested.set()
            await wait_until(lambda: gateway.caller_server.draining)
            self.assertEqual(gateway.readiness().status, 503)
            idle_answer = await idle.request("GET", "/plain/late", headers=KEY)
            slow_answer = await slow.answer()
        for answer in (idle_answer, slow_answer):
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.complete)
        self.assertEqual(idle_answer.headers["connection"], "close")


async def start_in_owner_order(deployment, count: int) -> list[GatewayDaemon]:
    """Start gateways that know each other; return them with the owner first."""
    started = [await deployment.gateway() for _ in range(count)]
    for gateway in started:
        await wait_until(lambda g=gateway: len(g.directory.daemons) == count)
    by_name = {gateway.settings.name: gateway for gateway in started}
    cores = {name: gateway.settings.cores for name, gateway in by_name.items()}
    return [by_name[name] for name in rank_daemons("engine", cores)]


class TestOwner(unittest.TestCase):
    @run_on_sockets
    async def test_successor_schedules_requests_when_the_owner_freezes(self):
        route = stream_route(stages=STAGE)
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank", work_seconds=0.3)
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            owner, _, entry = await start_in_owner_order(deployment, 3)
            caller = Caller(address=entry.settings.caller_address)
            await caller.send("POST", "/stream/", headers=STREAM)
            await wait_until(lambda: owner.scheduler.chains)
            # Simulates a frozen owner: its links neither answer nor send anything.
            owner.peers.handle_request = None
            for link in list(owner.attempts_by_link):
                link.outgoing = DiscardingQueue()
            answer = await caller.answer()
            lines = deployment.lines[entry.settings.name]
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertIn("owner_lost", [line["event"] for line in lines])

    @run_on_sockets
    async def test_owner_without_store_entry_schedules_while_it_answers(self):
        route = stream_route(stages=STAGE)
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank")
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            owner, entry = await start_in_owner_order(deployment, 2)
            owner.registration.store.port = 1
            await owner.registration.store.close()
            deployment.store.remove(f"daemons/{owner.settings.name}")
            await wait_until(lambda: owner.settings.name in entry.directory.departed)
            caller = Caller(address=entry.settings.caller_address)
            answer = await caller.request("POST", "/stream/", headers=STREAM)
            placed = [line["event"] for line in deployment.lines[owner.settings.name]]
        self.assertEqual(answer.status, 200)
        self.assertIn("placed", placed)

    @run_on_sockets
    async def test_stopping_daemon_schedules_no_new_requests_of_others(self):
        route = stream_route(stages=STAGE)
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank")
            await deployment.endpoint(EngineEmulator, "e-1", "engine")
            owner, entry = await start_in_owner_order(deployment, 2)
            owner.stop_requested.set()
            await wait_until(lambda: owner.settings.name not in entry.directory.daemons)
            caller = Caller(address=entry.settings.caller_address)
            answer = await caller.request("POST", "/stream/", headers=STREAM)
            placed = [line["event"] for line in deployment.lines[entry.settings.name]]
        self.assertEqual(answer.status, 200)
        self.assertIn("placed", placed)


class DiscardingQueue(list):
    """A queue of frames that discards them."""

    def append(self, data: bytes) -> None:
        """Discard a frame."""


if __name__ == "__main__":
    unittest.main()
