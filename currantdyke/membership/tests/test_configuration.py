import unittest

import anyio

from currantdyke.testing import run_virtual
from currantdyke.testing.members import member_fleet

IN_FORCE_SECONDS = 11.0


class TestVersionsByPeers(unittest.TestCase):
    def test_version_is_everywhere_in_time_with_loss_and_a_third_dead(self):
        async def scenario():
            async with member_fleet(30, regions=3) as fleet:
                await fleet.until(fleet.agree, 30.0)
                fleet.network.loss = 0.2
                for number in range(0, 30, 3):
                    fleet.kill(f"entry-{number}")
                fleet.nodes["entry-1"].feed.put(1)
                return await fleet.until(
                    lambda: all(n.feed.version == 1 for n in fleet.nodes.values()), 30.0
                )

        self.assertLess(run_virtual(scenario), IN_FORCE_SECONDS)

    def test_fresh_daemon_gets_its_first_version_from_peers(self):
        async def scenario():
            async with member_fleet(5) as fleet:
                await fleet.until(fleet.agree, 20.0)
                fleet.nodes["entry-1"].feed.put(7)
                await anyio.sleep(10.0)
                await fleet.start(5)
                fresh = fleet.nodes["entry-5"].feed
                return await fleet.until(lambda: fresh.version == 7, 20.0)

        self.assertLess(run_virtual(scenario), 3.0)

    def test_version_passes_a_healed_partition_and_never_goes_back(self):
        async def scenario():
            async with member_fleet(9, regions=3) as fleet:
                await fleet.until(fleet.agree, 20.0)
                fleet.network.part(
                    lambda a: "cut" if fleet.region_of_address(a) == "region-1" else ""
                )
                fleet.nodes["entry-1"].feed.put(1)
                fleet.nodes["entry-0"].feed.put(2)
                await anyio.sleep(60.0)
                parted = fleet.nodes["entry-4"].feed.version
                fleet.network.heal()
                took = await fleet.until(
                    lambda: all(n.feed.version == 2 for n in fleet.nodes.values()), 30.0
                )
                return parted, took

        parted, took = run_virtual(scenario)
        self.assertEqual(parted, 1)
        self.assertLess(took, IN_FORCE_SECONDS)

    def test_peer_that_sends_nothing_usable_is_not_asked_for_ever(self):
        async def scenario():
            async with member_fleet(3) as fleet:
                await fleet.until(fleet.agree, 20.0)
                liar = fleet.nodes["entry-1"].feed
                liar.update_since = lambda version, max_bytes, chunk: b""
                liar.put(1)
                await anyio.sleep(10.0)
                asker = fleet.nodes["entry-2"].membership.puller
                return asker.failed, asker.feed.version

        failed, version = run_virtual(scenario)
        self.assertEqual(version, 0)
        self.assertLess(failed, 40)


if __name__ == "__main__":
    unittest.main()
