import unittest

import anyio

from currantdyke.membership.probing import suspicion_seconds
from currantdyke.peers import MemberStatus
from currantdyke.testing import run_virtual
from currantdyke.testing.members import member_fleet

FIRST_PROBE_SECONDS = 4.0
CONFIRMING_SECONDS = 3.2
DETECTION_SECONDS = FIRST_PROBE_SECONDS + suspicion_seconds(12) + CONFIRMING_SECONDS


def took_for_dead(fleet, name):
    return {observer for _, observer, died in fleet.deaths if died == name}


class TestMembership(unittest.TestCase):
    def test_all_join_by_seeds_and_know_zones_and_regions(self):
        async def scenario():
            async with member_fleet(12, regions=2, zones=2) as fleet:
                took = await fleet.until(fleet.agree, 20.0)
                seen = fleet.nodes["entry-5"].membership.find_daemon("entry-10")
                return took, seen

        took, seen = run_virtual(scenario)
        self.assertLess(took, 10.0)
        self.assertEqual(seen.region, "region-0")
        self.assertEqual(seen.url, "http://entry-10:8080")

    def test_killed_daemon_is_dead_to_all_soon_and_no_other_is(self):
        async def scenario():
            async with member_fleet(12) as fleet:
                await fleet.until(fleet.agree, 20.0)
                fleet.kill("entry-4")
                took = await fleet.until(
                    lambda: took_for_dead(fleet, "entry-4") == fleet.nodes.keys(), 60.0
                )
                return took, fleet.false_deaths()

        took, false = run_virtual(scenario)
        self.assertLess(took, DETECTION_SECONDS)
        self.assertEqual(false, [])

    def test_paused_daemon_that_wakes_is_back_and_accuses_nobody(self):
        async def scenario():
            async with member_fleet(12) as fleet:
                await fleet.until(fleet.agree, 20.0)
                paused = fleet.nodes["entry-4"].transport
                paused.pause()
                await anyio.sleep(30.0)
                paused.wake()
                back = await fleet.until(fleet.agree, 30.0)
                await anyio.sleep(20.0)
                others = {d[2] for d in fleet.deaths} - {"entry-4"}
                return back, others, fleet.agree()

        back, others, agree = run_virtual(scenario)
        self.assertLess(back, 10.0)
        self.assertEqual(others, set())
        self.assertTrue(agree)

    def test_no_daemon_is_lost_through_loss_and_duplicates(self):
        async def scenario():
            async with member_fleet(12) as fleet:
                await fleet.until(fleet.agree, 20.0)
                fleet.network.loss = 0.2
                fleet.network.duplicates = 0.1
                await anyio.sleep(60.0)
                return fleet.deaths

        self.assertEqual(run_virtual(scenario), [])

    def test_slow_peer_is_kept(self):
        async def scenario():
            async with member_fleet(12) as fleet:
                await fleet.until(fleet.agree, 20.0)
                fleet.nodes["entry-4"].transport.delay = 0.6
                await anyio.sleep(30.0)
                return fleet.deaths

        self.assertEqual(run_virtual(scenario), [])

    def test_parted_region_keeps_its_members_and_heals(self):
        async def scenario():
            async with member_fleet(12, regions=3) as fleet:
                await fleet.until(fleet.agree, 20.0)
                fleet.network.part(
                    lambda a: "cut" if fleet.region_of_address(a) == "region-1" else ""
                )
                await anyio.sleep(120.0)
                parted = fleet.views()["entry-1"]
                fleet.network.heal()
                healed = await fleet.until(fleet.agree, 60.0)
                deaths = len(fleet.deaths)
                await anyio.sleep(30.0)
                return parted, healed, len(fleet.deaths) - deaths, fleet.agree()

        parted, healed, later_deaths, agree = run_virtual(scenario)
        self.assertEqual(parted, {"entry-1", "entry-4", "entry-7", "entry-10"})
        self.assertLess(healed, 20.0)
        self.assertEqual(later_deaths, 0)
        self.assertTrue(agree)

    def test_rolling_restart_of_all_ends_in_agreement(self):
        async def scenario():
            async with member_fleet(12) as fleet:
                await fleet.until(fleet.agree, 20.0)
                before = {n: fleet.nodes[n].membership.me for n in fleet.nodes}
                for number in range(12):
                    name = f"entry-{number}"
                    await fleet.nodes[name].membership.leave()
                    fleet.kill(name)
                    await fleet.start(number)
                    await anyio.sleep(2.0)
                took = await fleet.until(fleet.agree, 30.0)
                known = fleet.nodes["entry-3"].membership
                renewed = [
                    known.find_daemon(n).incarnation != before[n].incarnation
                    for n in before
                ]
                return took, renewed, fleet.false_deaths()

        took, renewed, false = run_virtual(scenario)
        self.assertLess(took, 10.0)
        self.assertTrue(all(renewed))
        self.assertEqual(false, [])

    def test_leaving_daemon_is_known_as_such_at_once_and_can_still_be_found(self):
        async def scenario():
            async with member_fleet(12) as fleet:
                await fleet.until(fleet.agree, 20.0)
                leaver = fleet.nodes["entry-4"].membership
                await leaver.leave()

                def known():
                    return all(
                        node.membership.find_daemon("entry-4").status
                        is MemberStatus.LEFT
                        for node in fleet.nodes.values()
                    )

                took = await fleet.until(known, 10.0)
                return took, fleet.nodes["entry-1"].membership.live_members()

        took, live = run_virtual(scenario)
        self.assertLess(took, 2.0)
        self.assertNotIn("entry-4", {member.name for member in live})

    def test_stranger_is_dropped_counted_and_never_a_member(self):
        async def scenario():
            async with member_fleet(3) as fleet:
                await fleet.start(3, keys=("another key",))
                await anyio.sleep(20.0)
                dropped = [
                    node.metrics.peer_dropped.labels("stranger")._value.get()
                    for node in fleet.nodes.values()
                ]
                return fleet.views(), dropped

        views, dropped = run_virtual(scenario)
        self.assertEqual(views["entry-3"], {"entry-3"})
        self.assertNotIn("entry-3", views["entry-0"])
        self.assertGreater(sum(dropped), 0)

    def test_fact_reaches_all_in_time_through_loss_and_lapses(self):
        async def scenario():
            async with member_fleet(12) as fleet:
                await fleet.until(fleet.agree, 20.0)
                fleet.network.loss = 0.2
                stated = fleet.nodes["entry-4"].membership
                stated.state_fact("leaving/encoder-1", "1", seconds=20.0)

                def holders():
                    return [
                        node.membership.facts.get("leaving/encoder-1") is not None
                        for node in fleet.nodes.values()
                    ]

                took = await fleet.until(lambda: all(holders()), 20.0)
                await anyio.sleep(21.0)
                return took, any(holders())

        took, held_still = run_virtual(scenario)
        self.assertLess(took, 3.0)
        self.assertFalse(held_still)


if __name__ == "__main__":
    unittest.main()
