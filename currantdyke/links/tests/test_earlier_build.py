"""Messages between daemons of this build and of the previous one."""

import json
import pathlib
import unittest
import unittest.mock

import attrs
import capnp

from currantdyke.endpointlimits.messages import LimitReport, TokenGrant, TokenRequest
from currantdyke.links import CrashReport, Frame, GroupCondemned, KeysCleared, Peers
from currantdyke.links.codec import PROTOCOL, decode_frame, encode_frame
from currantdyke.links.tests.builders import build_entry, build_peers
from currantdyke.platform.records import decode_record
from currantdyke.scheduler.messages import Placement, PlacementRequest
from currantdyke.streamversions.messages import (
    StreamVersions,
    VersionAnswer,
    VersionRequest,
)
from currantdyke.testing.virtual import run_virtual

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

    # Guards against an earlier build that closes its links to daemons of this one.
    def test_new_messages_go_to_daemons_that_know_them(self):
        entries = [
            build_entry(2),
            attrs.evolve(build_entry(3), protocol=PROTOCOL),
        ]
        report = LimitReport(instance="e", born=1, rate=2.0)

        async def broadcast():
            build_peers(1, known=entries).broadcast(report, protocol=PROTOCOL)

        with unittest.mock.patch.object(Peers, "send") as send:
            run_virtual(broadcast)
        send.assert_called_once_with(entries[1].ip, report)
        earlier = {"ip": "10.0.0.1", "incarnation": "a"}
        decoded = decode_record("daemons/d", json.dumps(earlier).encode())
        self.assertEqual(decoded.ok.protocol, 0)

    def test_earlier_build_reads_placements_with_a_version_and_a_grant(self):
        for content in (
            PlacementRequest(attempt_id="a", service="s", version="v2"),
            Placement(instance="i", rate_limit=1.0),
        ):
            data = encode_frame(Frame(number=1, content=content))
            which = str(EARLIER.Frame.from_bytes_packed(data).which())
            self.assertIn(which, ("place", "placed"))
            self.assertEqual(decode_frame(data).ok.content, content)


class TestFrames(unittest.TestCase):
    def test_new_messages_are_read_as_they_were_sent(self):
        for content in (
            LimitReport(instance="e", born=1, rate=None, sent_age=0.5, age=0.25),
            LimitReport(instance="e", born=1, rate=0.0),
            TokenRequest(
                instance="e", service="s", born=1, rate=0.5, age=2.0, forwarded=True
            ),
            TokenGrant(wait=0.0),
            TokenGrant(wait=0.0, limited=False, age=1.5),
            StreamVersions(versions=("v1", ""), streams=((2**64 - 1, 0), (1, 1))),
            StreamVersions(versions=("v1",), streams=((1, 0),), service="s"),
            VersionRequest(digest=7, service="s"),
            VersionAnswer(known=True, version="", several=True),
            VersionAnswer(known=True),
        ):
            data = encode_frame(Frame(number=1, content=content))
            self.assertEqual(decode_frame(data).ok.content, content)

    # Guards against an owner that takes the rate of a cold endpoint for a named one.
    def test_short_rest_of_a_cold_period_is_not_none(self):
        request = TokenRequest(
            instance="e", service="s", born=1, rate=2, age=0, cold_remaining=0.000_1
        )
        data = encode_frame(Frame(number=1, content=request))
        self.assertGreater(decode_frame(data).ok.content.cold_remaining, 0.0)

    # A daemon that may not send yet must not read that it may.
    def test_short_wait_is_no_grant(self):
        data = encode_frame(Frame(number=1, content=TokenGrant(wait=0.000_1)))
        self.assertGreater(decode_frame(data).ok.content.wait, 0.0)


if __name__ == "__main__":
    unittest.main()
