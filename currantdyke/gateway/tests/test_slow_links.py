import unittest
from unittest import mock

import anyio
import msgspec

from currantdyke.directory import follow, ranking, relay_ips
from currantdyke.emulator import PlainEmulator
from currantdyke.testing.gateways import (
    bulk_routes,
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    wait_until,
)

# The users' upper bound on the time until a configuration is in force.
IN_FORCE_SECONDS = 2.0
# A refusal that is certain is sent without waiting, within the route's target latency.
TARGET_LATENCY_SECONDS = 0.3
# Long enough for the age of a current directory to vary by several reads.
OBSERVED_SECONDS = 1.5
KEY = {"authorization": "Token k1"}
NEW_KEY = {"authorization": "Token k2"}
OLD_DOCUMENT = configuration(1, [plain_route()])
ADDED_ROUTE = plain_route(name="r-added", prefix="/added/")
NEW_DOCUMENT = configuration(
    2,
    [plain_route(), ADDED_ROUTE],
    tenants=[{"name": "cider", "api_keys": ["k1", "k2"], "priority": 1}],
)
BULK_ROUTES = bulk_routes(2_000)
LINK_BYTES = len(msgspec.json.encode(configuration(2, BULK_ROUTES)))
# The store sends values in base64.
STORE_BYTES = LINK_BYTES * 4 / 3
SMALL_LIMITS = {
    "max_header_bytes": 8_192,
    "max_body_bytes": 1_000,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 15_000,
}
LIMITED_DOCUMENT = configuration(1, [plain_route()], limits=SMALL_LIMITS)
LONG_BODY = b"x" * 2_000
# Longer than SMALL_LIMITS, and than the limit without a configuration, allow.
LONG_HEAD = b"GET /plain/ HTTP/1.1\r\nhost: one.example\r\nx: " + b"y" * 20_000
BODY_OVER_DEFAULT = b"x" * 4_200_000


def version_of(gateway):
    routes = gateway.directory.routes
    return 0 if routes is None else routes.catalog.version


async def start_relay_and_slow_gateway(deployment, bytes_per_second):
    """Start two gateways and a slow one; return the relay and the slow one."""
    fast = [await deployment.gateway() for _ in range(2)]
    slow = await deployment.gateway(bytes_per_second=bytes_per_second, cores=0.36)
    for gateway in (*fast, slow):
        await wait_until(lambda g=gateway: len(g.directory.daemons) == 3)
    known = slow.directory.daemons.values()
    relays = [g for g in fast if not relay_ips(g.own_entry, known)]
    return relays[0], slow


async def publish_versions(deployment, first, count, interval):
    """Write large configurations that differ little; return when each was written."""
    published = {}
    for version in range(first, first + count):
        deployment.store.put("op/config", configuration(version, BULK_ROUTES))
        published[version] = anyio.current_time()
        await anyio.sleep(interval)
    return published


async def record_versions(gateway, in_force):
    """Record when each version comes into force, until cancelled."""
    while True:
        in_force.setdefault(version_of(gateway), anyio.current_time())
        await anyio.sleep(0.02)


async def lose_store(deployment, gateway):
    """Make the store refuse all calls, and wait until the directory is outdated."""
    deployment.store.fault = "busy"
    await wait_until(lambda: gateway.follower.lost_since is not None)
    await anyio.sleep(IN_FORCE_SECONDS + 0.2)


@mock.patch.object(follow, "MAX_READERS", 1)
@mock.patch.object(ranking, "MAX_READERS", 1)
@mock.patch.object(ranking, "RELAY_COUNT", 1)
class TestSlowLinkToRelay(unittest.TestCase):
    # A limit on the whole transfer ended it, discarded its bytes and blamed the relay.
    @run_on_sockets
    async def test_relay_passes_on_a_configuration_that_takes_long_to_transfer(self):
        bytes_per_second = 250_000
        bound = LINK_BYTES / bytes_per_second + IN_FORCE_SECONDS
        async with run_deployment(OLD_DOCUMENT) as deployment:
            relay, slow = await start_relay_and_slow_gateway(
                deployment, bytes_per_second
            )
            deployment.store.put("op/config", configuration(2, BULK_ROUTES))
            with anyio.move_on_after(bound):
                await wait_until(lambda: version_of(slow) == 2)
            version = version_of(slow)
            suspected = [
                line["peer"]
                for line in deployment.lines[slow.settings.name]
                if line["event"] == "peer_suspected"
            ]
        self.assertEqual((version, relay.settings.ip in suspected), (2, False))

    # Each read was given up before it was complete, while newer versions came.
    @run_on_sockets
    async def test_gateway_that_was_refused_catches_up_with_a_series_of_versions(self):
        bytes_per_second = 560_000
        bound = STORE_BYTES / bytes_per_second + IN_FORCE_SECONDS
        interval = 1.2
        in_force: dict[int, float] = {}
        async with run_deployment(OLD_DOCUMENT) as deployment:
            _, slow = await start_relay_and_slow_gateway(deployment, bytes_per_second)
            deployment.tasks.start_soon(record_versions, slow, in_force)
            deployment.store.affected_hosts = {slow.settings.ip}
            deployment.store.fault = "busy"
            published = await publish_versions(deployment, 2, 2, interval)
            deployment.store.fault = ""
            served_at = anyio.current_time()
            published |= await publish_versions(deployment, 4, 2, interval)
            with anyio.move_on_after(bound):
                await wait_until(lambda: max(in_force) == max(published))
        for version, written_at in published.items():
            times = [time for known, time in in_force.items() if known >= version]
            late = min(times, default=float("inf")) - max(written_at, served_at)
            with self.subTest(version=version):
                self.assertLessEqual(late, bound)


class TestSlowLinkToStore(unittest.TestCase):
    bytes_per_second = 200_000
    bound = STORE_BYTES / bytes_per_second + IN_FORCE_SECONDS

    # A limit on the whole answer of a watch ended it and discarded its bytes.
    @run_on_sockets
    async def test_gateway_watches_a_configuration_that_takes_long_to_transfer(self):
        async with run_deployment(OLD_DOCUMENT) as deployment:
            slow = await deployment.gateway(bytes_per_second=self.bytes_per_second)
            deployment.store.put("op/config", configuration(2, BULK_ROUTES))
            with anyio.move_on_after(self.bound):
                await wait_until(lambda: version_of(slow) == 2)
            version = version_of(slow)
        self.assertEqual(version, 2)

    # A limit on the whole answer to a list kept the daemon from becoming ready.
    @run_on_sockets
    async def test_gateway_starts_with_a_configuration_that_takes_long_to_transfer(
        self,
    ):
        async with run_deployment(configuration(1, BULK_ROUTES)) as deployment:
            slow = deployment.start_gateway(bytes_per_second=self.bytes_per_second)
            with anyio.move_on_after(self.bound):
                await wait_until(lambda: slow.directory.complete)
            complete = slow.directory.complete
        self.assertTrue(complete)

    # What a long transfer brings is as old as its request, not as its last byte.
    @run_on_sockets
    async def test_gateway_gives_no_404_for_a_route_added_while_it_reads(self):
        async with run_deployment(OLD_DOCUMENT) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            slow = await deployment.gateway(bytes_per_second=self.bytes_per_second)
            deployment.store.put("op/config", configuration(2, BULK_ROUTES))
            # The gateway has requested version 2, and receives it for two seconds more.
            await anyio.sleep(0.3)
            document = configuration(3, [*BULK_ROUTES, ADDED_ROUTE])
            deployment.store.put("op/config", document)
            await anyio.sleep(IN_FORCE_SECONDS)
            statuses = await self.statuses_until_version(deployment, slow, 3)
        self.assertLessEqual(statuses, {200, 503})

    # An answer that the history is gone brings no changes, so it makes nothing current.
    @run_on_sockets
    async def test_outdated_gateway_gives_no_404_while_it_lists_the_store_again(self):
        async with run_deployment(OLD_DOCUMENT) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            slow = await deployment.gateway(bytes_per_second=self.bytes_per_second)
            await lose_store(deployment, slow)
            document = configuration(2, [*BULK_ROUTES, ADDED_ROUTE])
            deployment.store.put("op/config", document)
            deployment.store.compact()
            deployment.store.fault = ""
            statuses = await self.statuses_until_version(deployment, slow, 2)
        self.assertLessEqual(statuses, {200, 503})

    async def statuses_until_version(self, deployment, gateway, version):
        """Request the added route until a version is in force or the bound passes."""
        statuses = set()
        with anyio.move_on_after(self.bound):
            while version_of(gateway) < version:
                caller = deployment.caller()
                answer = await caller.request("GET", "/added/", headers=KEY)
                statuses.add(answer.status)
                await caller.close()
        return statuses


class TestRefusalsByKnowledge(unittest.TestCase):
    async def answer_of_outdated_gateway(self, target, headers):
        """Return the answer after a configuration was added that the gateway lacks."""
        async with run_deployment(OLD_DOCUMENT) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            await lose_store(deployment, gateway)
            deployment.store.put("op/config", NEW_DOCUMENT)
            return await deployment.caller().request("GET", target, headers=headers)

    # A daemon out of touch said finally that a route that had been added is unknown.
    @run_on_sockets
    async def test_outdated_gateway_answers_503_for_a_route_that_was_added(self):
        answer = await self.answer_of_outdated_gateway("/added/", KEY)
        self.assertEqual(answer.status, 503)
        self.assertTrue(answer.has_retry_after)

    # A daemon out of touch said finally that a key that had been added is unknown.
    @run_on_sockets
    async def test_outdated_gateway_answers_503_for_a_key_that_was_added(self):
        answer = await self.answer_of_outdated_gateway("/plain/", NEW_KEY)
        self.assertEqual(answer.status, 503)
        self.assertTrue(answer.has_retry_after)

    # An outage of the store must not end the service for what was known before.
    @run_on_sockets
    async def test_outdated_gateway_serves_a_route_and_a_key_that_it_knows(self):
        answer = await self.answer_of_outdated_gateway("/plain/", KEY)
        self.assertEqual(answer.status, 200)

    # Callers of routes and keys that do not exist must not be told to ask again.
    @run_on_sockets
    async def test_current_gateway_answers_404_and_401_at_once(self):
        async with run_deployment(OLD_DOCUMENT) as deployment:
            await deployment.gateway()
            caller = deployment.caller()
            end = anyio.current_time() + OBSERVED_SECONDS
            while anyio.current_time() < end:
                for target, headers, status in (
                    ("/added/", KEY, 404),
                    ("/plain/", NEW_KEY, 401),
                ):
                    answer = await caller.request("GET", target, headers=headers)
                    self.assertEqual(answer.status, status)
                    self.assertLess(answer.seconds, TARGET_LATENCY_SECONDS)
                await anyio.sleep(0.02)


class TestSizeLimitsByKnowledge(unittest.TestCase):
    async def refusals(self, deployment, body):
        """Return the answers to a request with a long body and one with a long head."""
        too_large = await deployment.caller().request(
            "POST", "/plain/", body=body, headers=KEY
        )
        return too_large, await deployment.caller().raw(LONG_HEAD)

    def assert_asked_to_retry(self, too_large, headers_too_large):
        with self.subTest("long body"):
            self.assertEqual(too_large.status, 503)
            self.assertTrue(too_large.has_retry_after)
        with self.subTest("long head"):
            head = headers_too_large.partition(b"\r\n\r\n")[0].lower()
            self.assertTrue(head.startswith(b"http/1.1 503 "), head)
            self.assertIn(b"\r\nretry-after:", head)

    # A daemon that knew no configuration refused finally by its default limits.
    @run_on_sockets
    async def test_gateway_without_configuration_answers_503_over_default_limits(self):
        async with run_deployment(OLD_DOCUMENT) as deployment:
            deployment.store.fault = "busy"
            gateway = deployment.start_gateway()
            await wait_until(lambda: gateway.follower.lost_since is not None)
            answers = await self.refusals(deployment, BODY_OVER_DEFAULT)
        self.assert_asked_to_retry(*answers)

    # A daemon out of touch refused finally by limits that had been raised.
    @run_on_sockets
    async def test_outdated_gateway_answers_503_over_the_limits_that_it_knows(self):
        async with run_deployment(LIMITED_DOCUMENT) as deployment:
            gateway = await deployment.gateway()
            await lose_store(deployment, gateway)
            deployment.store.put("op/config", NEW_DOCUMENT)
            answers = await self.refusals(deployment, LONG_BODY)
        self.assert_asked_to_retry(*answers)

    # Callers over the limits in force must not be told to ask again.
    @run_on_sockets
    async def test_current_gateway_answers_413_and_431(self):
        async with run_deployment(LIMITED_DOCUMENT) as deployment:
            await deployment.gateway()
            too_large, head = await self.refusals(deployment, LONG_BODY)
        self.assertEqual(too_large.status, 413)
        self.assertTrue(head.startswith(b"HTTP/1.1 431 "), head[:80])


if __name__ == "__main__":
    unittest.main()
