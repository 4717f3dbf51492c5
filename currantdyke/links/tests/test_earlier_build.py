"""Messages about crashes between daemons of this build and of the previous one."""

import pathlib
import unittest

import capnp

from currantdyke.links import CrashReport, Frame, GroupCondemned, KeysCleared
from currantdyke.links.codec import decode_frame, encode_frame

EARLIER = capnp.load(str(pathlib.Path(__file__).with_name("earlier.capnp")))


def read_as_earlier_build(content):
    frame = EARLIER.Frame.from_bytes_packed(
        encode_frame(Frame(number=0, content=content))
    )
    return str(frame.which()), frame.crashed.fingerprint, frame.crashed.endpoint


class TestEarlierBuild(unittest.TestCase):
    def test_earlier_build_reads_the_request_of_a_crash(self):
        report = CrashReport(
            fingerprint="request:f", endpoint="i", born=5, keys=("part:a", "request:f")
        )
        self.assertEqual(read_as_earlier_build(report), ("crashed", "request:f", "i"))

    # Guards against a link that an earlier build closes since it can't decode a frame.
    def test_earlier_build_ignores_the_new_messages(self):
        for content in (
            KeysCleared(keys=("part:a",), age=1.0),
            GroupCondemned(keys=("part:a",), seconds=60.0, crashes=3),
        ):
            self.assertEqual(read_as_earlier_build(content), ("crashed", "", ""))

    def test_crash_reports_of_the_earlier_build_are_read(self):
        frame = EARLIER.Frame.new_message(number=0)
        crashed = frame.init("crashed")
        crashed.fingerprint, crashed.endpoint = "f", "i"
        decoded = decode_frame(frame.to_bytes_packed()).ok
        self.assertEqual(decoded.content, CrashReport(fingerprint="f", endpoint="i"))


if __name__ == "__main__":
    unittest.main()
