import unittest

from currantdyke.bundle.bench_spread import FAULTS
from currantdyke.bundle.spread_model import SpreadModel
from currantdyke.bundle.spread_ways import Epidemic


class TestSpreadModel(unittest.TestCase):
    def test_dead_daemons_neither_read_nor_send_nor_hold(self):
        faults = FAULTS["watchers fail"]
        model = SpreadModel(size=60, way=Epidemic, faults=faults, seed=1)
        model.run()
        dead = [node for node in model.nodes if not node.alive]
        self.assertEqual(len(dead), 10)
        self.assertEqual({node.sent for node in dead}, {0})
        self.assertEqual({node.feed.version for node in dead}, {1})


if __name__ == "__main__":
    unittest.main()
