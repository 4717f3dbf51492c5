import unittest
from unittest import mock

import anyio

from currantdyke.directory import follow, ranking, relay_ips
from currantdyke.emulator import PlainEmulator
from currantdyke.testing.gateways import (
    configuration,
    over_sockets,
    plain_route,
    run_deployment,
    until,
)

COUNT = 3
LOST_SECONDS = 3.0
# The users' bound on the time until a configuration is in force.
IN_FORCE_SECONDS = 2.0


async def start(deployment):
    """Start gateways of which one reads the store; return it and the others."""
    started = [await deployment.gateway() for _ in range(COUNT)]
    for gateway in started:
        await until(lambda g=gateway: len(g.directory.daemons) == COUNT)
    known = started[0].directory.daemons.values()
    relays = [g for g in started if not relay_ips(g.own, known)]
    others = [g for g in started if g not in relays]
    return relays[0], others


def in_force(gateways, version):
    return all(g.directory.routes.catalog.version == version for g in gateways)


@mock.patch.object(follow, "MAX_READERS", 1)
@mock.patch.object(ranking, "MAX_READERS", 1)
@mock.patch.object(ranking, "RELAYS", 1)
class TestRelays(unittest.TestCase):
    @over_sockets
    async def test_one_daemon_reads_the_store_and_all_hear_of_changes(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            relay, others = await start(deployment)
            await anyio.sleep(1.0)
            before = [g.store.calls for g in (relay, *others)]
            deployment.store.put("op/config", configuration(2, [plain_route()]))
            await until(lambda: in_force([relay, *others], 2), seconds=IN_FORCE_SECONDS)
            await anyio.sleep(1.0)
            spent = [
                g.store.calls - calls
                for g, calls in zip((relay, *others), before, strict=True)
            ]
        self.assertGreater(spent[0], 0)
        self.assertEqual(spent[1:], [0] * (COUNT - 1))

    @over_sockets
    async def test_others_read_the_store_while_their_relay_can_not(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            relay, others = await start(deployment)
            relay.store.port = 1
            await relay.store.close()
            await until(lambda: relay.follower.lost_since is not None)
            deployment.store.put("op/config", configuration(2, [plain_route()]))
            await until(lambda: in_force(others, 2), seconds=IN_FORCE_SECONDS)
            await until(lambda: in_force([relay], 2), seconds=IN_FORCE_SECONDS)
            self.assertTrue(all(g.follower.lost_since is None for g in others))

    @over_sockets
    async def test_lost_store_is_not_stormed(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            relay, others = await start(deployment)
            deployment.store.trouble = "busy"
            fleet = [relay, *others]
            await until(lambda: all(g.follower.lost_since for g in fleet))
            before = [g.store.calls for g in fleet]
            await anyio.sleep(LOST_SECONDS)
            spent = [g.store.calls - b for g, b in zip(fleet, before, strict=True)]
            deployment.store.trouble = ""
            await until(
                lambda: all(g.follower.lost_since is None for g in fleet),
                seconds=IN_FORCE_SECONDS,
            )
        self.assertLessEqual(max(spent), LOST_SECONDS)

    @over_sockets
    async def test_endpoint_that_leaves_while_the_relay_is_gone_gets_no_new_work(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            leaving = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.endpoint(PlainEmulator, "i-2", "plain")
            relay, others = await start(deployment)
            relay.tasks.cancel_scope.cancel()
            deployment.store.put("servers/i-1", leaving.entry(state="draining"))
            for gateway in others:
                table = gateway.directory.endpoints
                await until(
                    lambda t=table: t.usable("i-1") is None, seconds=IN_FORCE_SECONDS
                )


if __name__ == "__main__":
    unittest.main()
