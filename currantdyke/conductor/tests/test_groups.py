import unittest

from hypothesis import given
from hypothesis import strategies as st

from currantdyke.conductor.groups import owner_order

CORES = st.dictionaries(st.text(max_size=5), st.sampled_from([0.361, 0.717, 2.151]))


class TestOwnerOrder(unittest.TestCase):
    def test_owner_is_one_of_the_ablest_daemons(self):
        cores = {f"small-{n}": 0.361 for n in range(102)}
        cores |= {f"large-{n}": 2.151 for n in range(8)}
        for group in ("llm", "desk", "rank"):
            order = owner_order(group, cores)
            self.assertTrue(all(name.startswith("large") for name in order[:8]))
            self.assertEqual(sorted(order), sorted(cores))

    @given(CORES, st.data())
    def test_daemon_that_leaves_moves_no_other_before_its_peers(self, cores, data):
        if not cores:
            self.assertEqual(owner_order("llm", cores), [])
            return
        gone = data.draw(st.sampled_from(sorted(cores)))
        rest = {name: found for name, found in cores.items() if name != gone}
        able = [n for n in rest if rest[n] == max(rest.values())]
        before = [n for n in owner_order("llm", cores) if n in able]
        after = [n for n in owner_order("llm", rest) if n in able]
        self.assertEqual(before, after)
        self.assertEqual(set(after), set(owner_order("llm", rest)[: len(able)]))


if __name__ == "__main__":
    unittest.main()
