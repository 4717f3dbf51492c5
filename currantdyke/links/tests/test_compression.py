import json
import pathlib
import random
import unittest
import zlib

import attrs
import capnp

from currantdyke.core import Position
from currantdyke.directory import ChangeSet
from currantdyke.directory.newest import NewestConfiguration
from currantdyke.links import ChangesRequest, Frame
from currantdyke.links.codec import (
    MAX_FRAME_BYTES,
    SCHEMA,
    decode_frame,
    encode_frame,
)
from currantdyke.links.compression import compress
from currantdyke.links.link import PING_INTERVAL_SECONDS
from currantdyke.links.tests.builders import build_changes, run_linked
from currantdyke.platform.store import Change
from currantdyke.testing.gateways import configuration, plain_route
from currantdyke.testing.virtual import run_virtual

OLDER_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name("link_uncompressed.capnp"))
)
# 5 Mbit/s.
SLOW_BYTES_PER_SECOND = 625_000
REQUEST = ChangesRequest(revision=1, accepts_compressed=True)


def build_configuration(routes):
    """Return a change of the configuration to one with many routes."""
    source = random.Random(1)

    def name():
        return source.randbytes(5).hex()

    document = configuration(
        2,
        [
            plain_route(name=name(), host=f"{name()}.example", prefix=f"/{name()}/")
            for _ in range(routes)
        ],
    )
    change = Change(key="c", value=json.dumps(document).encode(), revision=2)
    return ChangeSet(changes=(change,), revision=2)


def encode_compressed(value, size):
    """Return a frame with a value that claims to have a size when decompressed."""
    builder = SCHEMA.Frame.new_message(number=1)
    (item,) = builder.init("changes").init("items", 1)
    item.value, item.uncompressedBytes = value, size
    return builder.to_bytes_packed()


class TestCompressedValues(unittest.TestCase):
    def test_configuration_of_many_routes_delays_no_ping_on_a_slow_link(self):
        """Guards against a configuration that fills the link of a slow VM."""
        frame = Frame(number=1, content=build_configuration(1_800))
        data = encode_frame(frame, compressed=True)
        self.assertLess(len(data) / SLOW_BYTES_PER_SECOND, PING_INTERVAL_SECONDS)
        self.assertEqual(decode_frame(data).ok, frame)

    def test_value_is_compressed_once_for_all_peers(self):
        """Guards against a relay that compresses the same value for each daemon."""
        value = build_configuration(100).changes[0].value
        self.assertIs(compress(value), compress(value))

    def test_small_and_incompressible_values_are_sent_as_they_are(self):
        change = Change(key="a", value=bytes(1_000), revision=2)
        small = ChangeSet(changes=(change,), revision=2)
        for changes in (small, build_changes(value_bytes=100_000)):
            frame = Frame(number=1, content=changes)
            self.assertEqual(encode_frame(frame, compressed=True), encode_frame(frame))


class TestBrokenCompressedValues(unittest.TestCase):
    # Guards against a broken frame that exhausts the memory of a small VM.

    def test_value_that_is_larger_than_it_claims_is_rejected(self):
        data = encode_compressed(zlib.compress(bytes(100_000_000)), 2_000)
        self.assertIn("wrong size", decode_frame(data).error)

    def test_value_that_claims_more_than_a_frame_may_hold_is_rejected(self):
        size = MAX_FRAME_BYTES + 1
        data = encode_compressed(zlib.compress(bytes(size)), size)
        self.assertIn(str(size), decode_frame(data).error)

    def test_truncated_or_garbled_value_is_rejected(self):
        value = zlib.compress(bytes(2_000))
        for broken in (value[:-1], value[:-1] + b"?", b"", b"no zlib data"):
            self.assertTrue(decode_frame(encode_compressed(broken, 2_000)).is_error())


class TestDaemonsOfTwoBuilds(unittest.TestCase):
    # Guards against a fleet of two builds in which one cannot read the other's frames.

    def test_older_daemon_reads_a_request_that_accepts_compressed_values(self):
        data = encode_frame(Frame(number=7, content=REQUEST))
        reader = OLDER_SCHEMA.Frame.from_bytes_packed(data)
        self.assertEqual((reader.number, str(reader.which())), (7, "changesAfter"))
        self.assertEqual(reader.changesAfter, 1)

    def test_request_of_an_older_daemon_accepts_no_compressed_values(self):
        builder = OLDER_SCHEMA.Frame.new_message(number=7)
        builder.changesAfter = 1
        content = decode_frame(builder.to_bytes_packed()).ok.content
        self.assertEqual(content, ChangesRequest(revision=1))

    def test_older_daemon_reads_uncompressed_changes(self):
        changes = build_configuration(100)
        data = encode_frame(Frame(number=7, content=changes))
        (item,) = OLDER_SCHEMA.Frame.from_bytes_packed(data).changes.items
        self.assertEqual(bytes(item.value), changes.changes[0].value)

    def test_changes_of_an_older_daemon_are_read(self):
        builder = OLDER_SCHEMA.Frame.new_message(number=7)
        (item,) = builder.init("changes").init("items", 1)
        item.key, item.value = "c", bytes(5_000)
        content = decode_frame(builder.to_bytes_packed()).ok.content
        self.assertEqual(content.changes[0].value, bytes(5_000))

    # Guards against an older daemon that gets no changes from this build.
    def test_older_daemon_reads_changes_with_the_newest_configuration(self):
        newest = NewestConfiguration(position=Position(2, 9), version=8)
        changes = attrs.evolve(build_changes(value_bytes=9), newest=newest)
        data = encode_frame(Frame(number=7, content=changes))
        read = OLDER_SCHEMA.Frame.from_bytes_packed(data).changes
        self.assertEqual(read.revision, changes.revision)
        self.assertEqual(read.items[0].value, changes.changes[0].value)

    def test_changes_are_compressed_only_for_a_peer_that_accepts_it(self):
        changes = build_configuration(100)
        sent = []

        async def answer(link, content):
            return changes

        async def scenario(asking, answering):
            send = answering.stream.send

            async def record(data):
                sent[-1] += len(data)
                await send(data)

            answering.stream.send = record
            for accepts in (False, True):
                sent.append(0)
                request = attrs.evolve(REQUEST, accepts_compressed=accepts)
                self.assertEqual(await asking.request(request), changes)

        run_virtual(run_linked, answer, scenario)
        whole, compressed = sent
        self.assertGreater(whole, len(changes.changes[0].value))
        self.assertLess(compressed, len(changes.changes[0].value) / 2)


if __name__ == "__main__":
    unittest.main()
