import functools
import unittest

import anyio
import httpx

from currantdyke.bundle.tests.builders import accept, build_signed_bundle
from currantdyke.daemon import serve
from currantdyke.documents import check_document
from currantdyke.settings import DaemonSettings
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_settings

KEY = "a-key-between-daemons"


def knows(daemon, names):
    return {m.name for m in daemon.membership.live_members()} == set(names)


class TestPeersOfADaemon(unittest.TestCase):
    def test_daemons_find_each_other_and_show_it_to_operators(self):
        async def scenario():
            async with fleet_in_memory(daemons=3, peers=True) as fleet:
                await anyio.sleep(5.0)
                found = fleet.daemons["entry-1"].find_daemon("entry-3")
                async with fleet.network.client() as client:
                    shown = await client.get("http://entry-2:8081/members")
                return found, shown.json()

        found, shown = run_virtual(scenario)
        self.assertEqual(found.url, "http://entry-3:8080")
        statuses = {m["name"]: m["status"] for m in shown["members"]}
        self.assertEqual(statuses, {f"entry-{n}": "alive" for n in (1, 2, 3)})

    def test_daemon_without_keys_runs_alone(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                return fleet.daemons["entry-1"].find_daemon("entry-2")

        self.assertIsNone(run_virtual(scenario))

    def test_one_daemon_a_region_watches_for_all_that_know_each_other(self):
        async def scenario():
            async with fleet_in_memory(daemons=6, peers=True) as fleet:
                await anyio.sleep(10.0)
                return [d.follower.is_watcher() for d in fleet.daemons.values()]

        self.assertEqual(sum(run_virtual(scenario)), 2)

    def test_fresh_daemon_gets_its_first_version_from_peers_with_the_store_down(self):
        async def scenario():
            async with fleet_in_memory(daemons=0, peers=True) as fleet:
                await accept(fleet.store(), build_signed_bundle())
                for number in (1, 2, 3):
                    await fleet.start_daemon(f"entry-{number}")
                await anyio.sleep(10.0)
                fleet.key_value.faults.down = True
                fresh = await fleet.start_daemon("entry-4")
                early = fresh.is_ready()
                await anyio.sleep(10.0)
                return early, fresh.is_ready(), fresh.in_force.version

        early, ready, version = run_virtual(scenario)
        self.assertFalse(early)
        self.assertTrue(ready)
        self.assertEqual(version, 1)

    def test_two_daemons_on_real_sockets_meet_and_part(self):
        async def scenario():
            daemons, stops = [], []

            async def start(tasks, name, seeds):
                started, stop = anyio.Event(), anyio.Event()

                def note(ports):
                    daemons.append(ports.daemon)
                    started.set()

                settings = build_settings(
                    name=name,
                    callers_port=0,
                    operators_port=0,
                    store_url="http://127.0.0.1:9",
                    peer_port=0,
                    peer_keys=(KEY,),
                    peer_seeds=seeds,
                )
                run = functools.partial(serve, settings, stop, started=note)
                tasks.start_soon(run)
                await started.wait()
                stops.append(stop)

            with anyio.fail_after(20):
                async with anyio.create_task_group() as tasks:
                    await start(tasks, "entry-1", ())
                    seed = daemons[0].membership.me.address
                    await start(tasks, "entry-2", (seed,))
                    while not all(knows(d, ("entry-1", "entry-2")) for d in daemons):
                        await anyio.sleep(0.05)
                    async with httpx.AsyncClient() as client:
                        url = daemons[0].find_daemon("entry-2").url
                        relayed = await client.get(f"{url}/v1/requests/nothing")
                    stops[1].set()
                    while not knows(daemons[0], ("entry-1",)):
                        await anyio.sleep(0.05)
                    stops[0].set()
            return relayed.status_code

        self.assertGreaterEqual(anyio.run(scenario), 400)


class TestPeerSettings(unittest.TestCase):
    def problems(self, **changes):
        text = "name: entry-1\navailability_zone: jos-a\nstore_url: 'http://s:1'\n"
        text += "".join(f"{key}: {value}\n" for key, value in changes.items())
        checked = check_document(text, DaemonSettings)
        return [str(p) for p in checked.error] if checked.is_error() else []

    def test_seeds_without_keys_and_bad_addresses_are_named_with_a_remedy(self):
        cases = (
            ({"peer_seeds": "['10.0.0.1:7946']"}, "give at least one key"),
            ({"peer_seeds": "['nowhere']", "peer_keys": f"['{KEY}']"}, "host:port"),
            ({"peer_keys": "['short']"}, "use a long random one"),
            ({"peer_port": "70000"}, "use a value from 0 to 65535"),
        )
        for changes, remedy in cases:
            with self.subTest(remedy):
                self.assertTrue(any(remedy in p for p in self.problems(**changes)))
        good = {"peer_seeds": "['10.0.0.1:7946']", "peer_keys": f"['{KEY}']"}
        self.assertEqual(self.problems(**good), [])


if __name__ == "__main__":
    unittest.main()
