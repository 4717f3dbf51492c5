import unittest
from unittest import mock

import anyio

from currantdyke.directory import follow, ranking, relay_ips
from currantdyke.emulator import PlainEmulator
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    wait_until,
)

DAEMONS = 3
OUTAGE_SECONDS = 3.0
# The users' upper bound on the time until a configuration is in force.
IN_FORCE_SECONDS = 2.0


async def start_with_one_relay(deployment):
    """Start gateways of which one reads the store; return it and the others."""
    started = [await deployment.gateway() for _ in range(DAEMONS)]
    for gateway in started:
        await wait_until(lambda g=gateway: len(g.directory.daemons) == DAEMONS)
    known = started[0].directory.daemons.values()
    relays = [g for g in started if not relay_ips(g.own_entry, known)]
    others = [g for g in started if g not in relays]
    return relays[0], others


def in_force(gateways, version):
    return all(g.directory.routes.catalog.version == version for g in gateways)


@mock.patch.object(follow, "MAX_READERS", 1)
@mock.patch.object(ranking, "MAX_READERS", 1)
@mock.patch.object(ranking, "RELAY_COUNT", 1)
class TestRelays(unittest.TestCase):
    @run_on_sockets
    async def test_only_the_relay_reads_the_store_and_all_daemons_get_changes(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            relay, others = await start_with_one_relay(deployment)
            await anyio.sleep(1.0)
            before = [g.store.calls for g in (relay, *others)]
            deployment.store.put("op/config", configuration(2, [plain_route()]))
            await wait_until(
                lambda: in_force([relay, *others], 2), seconds=IN_FORCE_SECONDS
            )
            await anyio.sleep(1.0)
            store_calls = [
                g.store.calls - calls
                for g, calls in zip((relay, *others), before, strict=True)
            ]
        self.assertGreater(store_calls[0], 0)
        self.assertEqual(store_calls[1:], [0] * (DAEMONS - 1))

    @run_on_sockets
    async def test_daemons_read_the_store_while_their_relay_can_not(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            relay, others = await start_with_one_relay(deployment)
            relay.store.port = 1
            await relay.store.close()
            await wait_until(lambda: relay.follower.lost_since is not None)
            deployment.store.put("op/config", configuration(2, [plain_route()]))
            await wait_until(lambda: in_force(others, 2), seconds=IN_FORCE_SECONDS)
            await wait_until(lambda: in_force([relay], 2), seconds=IN_FORCE_SECONDS)
            self.assertTrue(all(g.follower.lost_since is None for g in others))

    @run_on_sockets
    async def test_daemons_call_a_lost_store_at_most_once_a_second(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            relay, others = await start_with_one_relay(deployment)
            deployment.store.fault = "busy"
            fleet = [relay, *others]
            await wait_until(lambda: all(g.follower.lost_since for g in fleet))
            before = [g.store.calls for g in fleet]
            await anyio.sleep(OUTAGE_SECONDS)
            store_calls = [
                g.store.calls - b for g, b in zip(fleet, before, strict=True)
            ]
            deployment.store.fault = ""
            await wait_until(
                lambda: all(g.follower.lost_since is None for g in fleet),
                seconds=IN_FORCE_SECONDS,
            )
        self.assertLessEqual(max(store_calls), OUTAGE_SECONDS)

    @run_on_sockets
    async def test_draining_endpoint_is_excluded_after_the_relay_has_ended(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            leaving = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "plain")
            relay, others = await start_with_one_relay(deployment)
            relay.tasks.cancel_scope.cancel()
            deployment.store.put("servers/i-1", leaving.entry(state="draining"))
            for gateway in others:
                table = gateway.directory.endpoints
                await wait_until(
                    lambda t=table: t.usable("i-1") is None, seconds=IN_FORCE_SECONDS
                )


if __name__ == "__main__":
    unittest.main()
