import unittest

import anyio

from currantdyke.bundle.follow import choose_watchers
from currantdyke.bundle.roll import roll
from currantdyke.bundle.tests.builders import (
    accept,
    build_keys,
    build_signed_bundle,
    build_signer,
    signed_off_change,
    with_share,
)
from currantdyke.testing import fleet_in_memory, run_virtual

DAEMONS = 12
LIMIT_SECONDS = 11.0
JOIN_SECONDS = 8.0
LOOK_SECONDS = 0.05
FIRST = build_signed_bundle()


async def joined(fleet):
    """Accept two versions, and wait until all daemons hold them."""
    await accept(fleet.store(), FIRST)
    await accept(fleet.store(), with_share(FIRST, 2.0))
    await anyio.sleep(JOIN_SECONDS)
    for daemon in fleet.daemons.values():
        assert daemon.in_force.version == 2


async def roll_third(fleet):
    """Bring a third version to the head."""
    change_id = await signed_off_change(fleet.store(), with_share(FIRST, 3.0))
    signer = build_signer("adaeze")
    head = await roll(fleet.store(), change_id, signer, bootstrap=build_keys())
    return head.ok.version


async def seconds_to_the_last(fleet, version):
    """Return when every live daemon holds a version, and note any reversion."""
    started = anyio.current_time()
    while True:
        live = [fleet.daemons[name] for name in fleet.scopes]
        if all(daemon.in_force.version >= version for daemon in live):
            return anyio.current_time() - started
        assert anyio.current_time() - started < 60, "never in force everywhere"
        await anyio.sleep(LOOK_SECONDS)


def fleet_region(fleet, address):
    name = address.partition(":")[0]
    return fleet.daemons[name].settings.region


def watchers(fleet):
    return choose_watchers(((name, "region") for name in fleet.scopes), "region")


class TestFleet(unittest.TestCase):
    def run_fleet(self, scenario, seed=1):
        async def run():
            async with fleet_in_memory(daemons=DAEMONS, peers=True, seed=seed) as fleet:
                await joined(fleet)
                return await scenario(fleet)

        return run_virtual(run)

    def test_change_is_in_force_everywhere_and_few_daemons_read_the_store(self):
        async def scenario(fleet):
            change_id = await signed_off_change(fleet.store(), with_share(FIRST, 3.0))
            await roll(fleet.store(), change_id, build_signer("adaeze"))
            calls = fleet.key_value.calls
            seconds = await seconds_to_the_last(fleet, 3)
            watching = [d for d in fleet.daemons.values() if d.follower.is_watcher()]
            return seconds, fleet.key_value.calls - calls, len(watching)

        seconds, calls, watching = self.run_fleet(scenario)
        self.assertLess(seconds, 3.0)
        self.assertEqual(watching, 2)
        self.assertLessEqual(calls, DAEMONS)

    def test_lost_messages_do_not_keep_it_from_any_daemon(self):
        async def scenario(fleet):
            fleet.peers.loss = 0.2
            version = await roll_third(fleet)
            return await seconds_to_the_last(fleet, version)

        for seed in (1, 2):
            self.assertLess(self.run_fleet(scenario, seed), LIMIT_SECONDS)

    def test_a_third_of_the_daemons_fails_with_those_that_watch(self):
        async def scenario(fleet):
            failing = watchers(fleet)
            failing += [name for name in fleet.scopes if name not in failing][:2]
            for name in failing:
                fleet.kill_daemon(name)
            version = await roll_third(fleet)
            return await seconds_to_the_last(fleet, version)

        seconds = self.run_fleet(scenario)
        self.assertLess(seconds, LIMIT_SECONDS)

    def test_region_cut_off_from_the_others_is_served_by_its_own_watchers(self):
        async def run():
            async with fleet_in_memory(daemons=0, peers=True) as fleet:
                for number in range(DAEMONS):
                    region = f"region-{number % 2}"
                    await fleet.start_daemon(f"entry-{number + 1}", region=region)
                await joined(fleet)
                fleet.peers.part(lambda address: fleet_region(fleet, address))
                version = await roll_third(fleet)
                return await seconds_to_the_last(fleet, version)

        self.assertLess(run_virtual(run), LIMIT_SECONDS)

    def test_store_is_down_as_soon_as_one_daemon_knows(self):
        async def scenario(fleet):
            version = await roll_third(fleet)
            while all(d.in_force.version < version for d in fleet.daemons.values()):
                await anyio.sleep(0.001)
            fleet.key_value.faults.down = True
            seconds = await seconds_to_the_last(fleet, version)
            fleet.kill_daemon("entry-3")
            fresh = await fleet.start_daemon("entry-3")
            before = fresh.is_ready()
            await anyio.sleep(JOIN_SECONDS)
            return seconds, before, fresh.is_ready(), fresh.in_force.version

        seconds, before, after, version = self.run_fleet(scenario)
        self.assertLess(seconds, LIMIT_SECONDS)
        self.assertEqual((before, after, version), (False, True, 3))


if __name__ == "__main__":
    unittest.main()
