import pathlib
import tempfile
import unittest

import anyio

from currantdyke.cli.serve import reread_peer_keys
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.fleet import PEER_KEYS

OLD, NEW = PEER_KEYS[0], "another-key-between-daemons"
HEAD = "name: entry-1\navailability_zone: jos-a\nstore_url: 'http://s:1'\n"


class TestPeerKeys(unittest.TestCase):
    def test_keys_are_replaced_while_running_and_nobody_is_lost(self):
        async def scenario(file):
            async with fleet_in_memory(daemons=3, peers=True) as fleet:
                await anyio.sleep(5.0)
                for keys in ([OLD, NEW], [NEW, OLD], [NEW]):
                    file.write_text(f"{HEAD}peer_keys: {keys}\n")
                    for daemon in fleet.daemons.values():
                        self.assertTrue(reread_peer_keys(daemon, str(file)))
                        await anyio.sleep(2.0)
                await anyio.sleep(30.0)
                members = [
                    len(daemon.membership.live_members())
                    for daemon in fleet.daemons.values()
                ]
                dropped = [
                    daemon.metrics.peer_dropped.labels("stranger")._value.get()
                    for daemon in fleet.daemons.values()
                ]
                return members, dropped

        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "settings.yaml")
            members, dropped = run_virtual(scenario, file)
        self.assertEqual(members, [3, 3, 3])
        self.assertEqual(dropped, [0, 0, 0])

    def test_file_that_is_not_valid_changes_nothing(self):
        async def scenario(file):
            async with fleet_in_memory(peers=True) as fleet:
                daemon = fleet.daemons["entry-1"]
                before = daemon.membership.link.seal.keys
                taken = []
                for text in ("peer_keys: [", f"{HEAD}peer_keys: [short]\n", HEAD):
                    file.write_text(text)
                    with self.assertLogs("absl"):
                        taken.append(reread_peer_keys(daemon, str(file)))
                return taken, daemon.membership.link.seal.keys == before

        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, "settings.yaml")
            taken, same = run_virtual(scenario, file)
        self.assertEqual(taken, [False, False, False])
        self.assertTrue(same)


if __name__ == "__main__":
    unittest.main()
