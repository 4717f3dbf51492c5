import unittest

import attrs

from currantdyke.bundle.change import Record, decode, encode
from currantdyke.bundle.tests.builders import (
    build_chain,
    build_feed,
    build_record,
    build_signer,
    with_share,
)
from currantdyke.bundle.update import encode_records

MAX_BYTES = 60_000
CHAIN = build_chain(6)


def catch_up(taker, giver, max_bytes=MAX_BYTES, limit=100):
    """Ask until nothing newer comes; return the number of answers."""
    for count in range(limit):
        update = giver.update_since(taker.version, max_bytes, taker.next_chunk)
        if not update:
            return count
        taker.offer(update)
    raise AssertionError("never caught up")


class TestUpdates(unittest.TestCase):
    def test_update_brings_the_version_in_force_to_a_peer(self):
        giver, taker, heard = build_feed(CHAIN), build_feed(), []
        taker.subscribe(heard.append)
        catch_up(taker, giver)
        self.assertEqual(taker.version, 6)
        self.assertEqual(taker.in_force.bundle, giver.in_force.bundle)
        self.assertEqual(heard, [6])

    def test_peer_that_lags_by_one_gets_the_change_alone(self):
        giver, taker = build_feed(CHAIN), build_feed(CHAIN[:6])
        update = giver.update_since(5, MAX_BYTES)
        self.assertLess(len(update), 2_000)
        self.assertTrue(taker.offer(update))
        self.assertEqual(taker.held.content.root, giver.held.content.root)

    def test_nothing_newer_is_an_empty_update(self):
        self.assertEqual(build_feed(CHAIN).update_since(6, MAX_BYTES), b"")
        self.assertEqual(build_feed(CHAIN[:4]).update_since(6, MAX_BYTES), b"")

    def test_snapshot_comes_in_chunks_that_fit(self):
        chain = build_chain(2, workspaces=400)
        giver, taker = build_feed(chain), build_feed()
        self.assertGreater(catch_up(taker, giver, max_bytes=3_000), 4)
        self.assertEqual(taker.in_force.bundle, giver.in_force.bundle)
        for chunk in range(10):
            self.assertLessEqual(len(giver.update_since(0, 3_000, chunk)), 3_000)

    def test_snapshot_is_finished_though_the_giver_moves_on(self):
        chain = build_chain(3, workspaces=400)
        giver, taker = build_feed(chain[:3]), build_feed()
        for chunk in range(3):
            taker.offer(giver.update_since(0, 3_000, chunk))
        giver.take_records([chain[3].raw])
        catch_up(taker, giver, max_bytes=3_000)
        self.assertEqual(taker.version, 3)

    def test_chunks_without_an_index_come_in_time_too(self):
        chain = build_chain(1, workspaces=100)
        giver, taker = build_feed(chain), build_feed()
        for _ in range(200):
            taker.offer(giver.update_since(taker.version, 2_000))
        self.assertEqual(taker.version, 1)


class TestRefusals(unittest.TestCase):
    def test_stale_update_changes_nothing(self):
        old = build_feed(CHAIN[:4]).update_since(2, MAX_BYTES)
        taker = build_feed(CHAIN)
        self.assertFalse(taker.offer(old))
        self.assertEqual((taker.version, taker.refused), (6, 0))

    def test_any_damaged_byte_changes_nothing(self):
        update = build_feed(CHAIN).update_since(5, MAX_BYTES)
        for position in range(0, len(update), 7):
            taker = build_feed(CHAIN[:6])
            flipped = bytes([update[position] ^ 1])
            taker.offer(update[:position] + flipped + update[position + 1 :])
            if taker.version == 6:
                self.assertEqual(taker.held.raw, CHAIN[6].raw)
            else:
                self.assertEqual(taker.held.raw, CHAIN[5].raw)
        self.assertFalse(build_feed(CHAIN[:6]).offer(update[:-30]))

    def test_damaged_snapshot_changes_nothing(self):
        update = build_feed(CHAIN).update_since(0, MAX_BYTES)
        taker = build_feed()
        self.assertFalse(taker.offer(update[:-20] + b"x" * 20))
        self.assertEqual(taker.version, 0)

    def test_accepted_change_replayed_as_a_newer_version_is_refused(self):
        replayed = decode(CHAIN[3].raw, Record)
        forged = attrs.evolve(replayed, version=7, previous=CHAIN[6].record_hash)
        taker = build_feed(CHAIN)
        self.assertFalse(taker.offer(encode_records([encode(forged)])))
        self.assertEqual((taker.version, taker.refused), (6, 1))

    def test_version_signed_with_another_key_is_refused(self):
        raw = build_record(CHAIN[5], with_share(CHAIN[5].bundle, 9.0))
        record = decode(raw, Record)
        stranger = build_signer("bola", seed=99)
        forged = attrs.evolve(
            record, signed_off=stranger.sign(encode(record.change))
        ).signed_by(stranger)
        taker = build_feed(CHAIN[:6])
        self.assertFalse(taker.offer(encode_records([encode(forged)])))
        self.assertEqual(taker.version, 5)

    def test_change_signed_twice_by_one_operator_is_refused(self):
        raw = build_record(CHAIN[5], with_share(CHAIN[5].bundle, 9.0), "bola", "bola")
        taker = build_feed(CHAIN[:6])
        self.assertFalse(taker.offer(encode_records([raw])))

    def test_record_whose_content_hash_is_wrong_is_refused(self):
        raw = build_record(CHAIN[5], with_share(CHAIN[5].bundle, 9.0))
        record = attrs.evolve(decode(raw, Record), root="0" * 64)
        forged = encode(record.signed_by(build_signer("bola")))
        taker = build_feed(CHAIN[:6])
        self.assertFalse(taker.offer(encode_records([forged])))
        self.assertEqual(taker.version, 5)


if __name__ == "__main__":
    unittest.main()
