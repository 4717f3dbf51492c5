import unittest

from currantdyke.bundle import BundleInForce
from currantdyke.bundle.feed import ConfigurationFeed
from currantdyke.testing.builders import build_bundle

MAX_BYTES = 1_000_000


def holder(version=0):
    in_force = BundleInForce()
    if version:
        in_force.accept(version, build_bundle({"encoder": ["http://encoder-1:1"]}))
    return ConfigurationFeed(in_force=in_force)


class TestFeed(unittest.TestCase):
    def test_update_brings_the_version_in_force_to_a_peer(self):
        giver, taker = holder(3), holder()
        heard = []
        taker.subscribe(heard.append)
        self.assertTrue(taker.offer(giver.update_since(taker.version, MAX_BYTES)))
        self.assertEqual(taker.version, 3)
        self.assertEqual(taker.in_force.bundle, giver.in_force.bundle)
        self.assertEqual(heard, [3])

    def test_nothing_newer_is_an_empty_update(self):
        self.assertEqual(holder(3).update_since(3, MAX_BYTES), b"")

    def test_stale_or_damaged_update_changes_nothing(self):
        old = holder(2).update_since(0, MAX_BYTES)
        taker = holder(3)
        self.assertFalse(taker.offer(old))
        self.assertFalse(taker.offer(old[:-9]))
        self.assertEqual(taker.version, 3)


if __name__ == "__main__":
    unittest.main()
