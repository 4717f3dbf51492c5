import unittest

from hypothesis import given
from hypothesis import strategies as st

from currantdyke.directory.ranking import (
    MAX_READERS,
    RELAY_COUNT,
    rank_daemons,
    relay_ips,
)
from currantdyke.platform.records import DaemonEntry

CORES = st.dictionaries(st.text(max_size=5), st.sampled_from([0.361, 0.717, 2.151]))


class TestRankDaemons(unittest.TestCase):
    def test_daemons_on_the_fastest_vms_rank_first(self):
        cores = {f"small-{n}": 0.361 for n in range(102)}
        cores |= {f"large-{n}": 2.151 for n in range(8)}
        for group in ("llm", "desk", "rank"):
            order = rank_daemons(group, cores)
            self.assertTrue(all(name.startswith("large") for name in order[:8]))
            self.assertEqual(sorted(order), sorted(cores))

    @given(CORES, st.data())
    def test_leaving_daemon_does_not_change_the_order_of_the_others(self, cores, data):
        if not cores:
            self.assertEqual(rank_daemons("llm", cores), [])
            return
        gone = data.draw(st.sampled_from(sorted(cores)))
        rest = {name: found for name, found in cores.items() if name != gone}
        able = [n for n in rest if rest[n] == max(rest.values())]
        before = [n for n in rank_daemons("llm", cores) if n in able]
        after = [n for n in rank_daemons("llm", rest) if n in able]
        self.assertEqual(before, after)
        self.assertEqual(set(after), set(rank_daemons("llm", rest)[: len(able)]))


def build_daemons(count):
    return [
        DaemonEntry(
            name=f"entry-{n}",
            ip=f"10.0.0.{n}",
            availability_zone="a",
            incarnation="x",
            cores=2.0 if n < 4 else 0.4,
        )
        for n in range(count)
    ]


class TestRelays(unittest.TestCase):
    def test_every_daemon_of_a_small_fleet_reads_the_store(self):
        daemons = build_daemons(MAX_READERS)
        self.assertTrue(all(not relay_ips(own, daemons) for own in daemons))

    def test_daemons_of_a_large_fleet_ask_a_few_relays(self):
        daemons = build_daemons(110)
        asked = [relay_ips(own, daemons) for own in daemons]
        readers = {d.ip for d, ips in zip(daemons, asked, strict=True) if not ips}
        self.assertEqual(len(readers), RELAY_COUNT)
        self.assertTrue(all(ips == readers for ips in asked if ips))
        self.assertTrue({d.ip for d in daemons[:4]} <= readers)

    def test_unregistered_daemon_asks_the_same_relays(self):
        *daemons, fresh = build_daemons(111)
        asked = [relay_ips(own, daemons) for own in daemons]
        self.assertIn(relay_ips(fresh, daemons), asked)


if __name__ == "__main__":
    unittest.main()
