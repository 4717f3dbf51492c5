import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from currantdyke.catalog import StageStep
from currantdyke.core import Position
from currantdyke.directory import ChangeSet
from currantdyke.largevalues.messages import ValueOffer
from currantdyke.links import (
    ChangesRequest,
    CrashReport,
    Frame,
    GroupCondemned,
    KeysCleared,
    LinkLostError,
    Unknown,
)
from currantdyke.links.codec import decode_frame, encode_frame
from currantdyke.links.link import MAX_QUEUED_FRAMES, LossReason
from currantdyke.links.tests.builders import build_changes, run_linked
from currantdyke.platform.requests import PromptPart
from currantdyke.platform.store import Change
from currantdyke.scheduler.messages import (
    Placement,
    PlacementRequest,
    Progress,
    ProgressKind,
    Refusal,
)
from currantdyke.testing.virtual import run_virtual

PLACEMENT_REQUEST = PlacementRequest(
    attempt_id="a",
    service="engine",
    steps=(
        StageStep(service="rank", result_bytes=5_000_000_000),
        StageStep(service="rank", after=(0,), result_bytes=1),
    ),
    pieces=(2, 40),
    stage_key="k",
    target=1.5,
    deadline=6.25,
    rank=2,
    prompt_tokens=17_000,
    output_tokens=300,
    parts=(PromptPart(part_id=b"ab", tokens=13_300),),
    availability_zone="z",
    excluded=("i-1",),
    sheddable=True,
    is_retry=True,
)
PLACEMENT = Placement(instance="i", handles=("10.0.0.1:1/x", "10.0.0.2:1/y"))
CONTENTS = (
    PLACEMENT_REQUEST,
    PLACEMENT,
    Placement(instance="i", handles=None),
    Placement(instance="i", handles=()),
    Refusal(code="overloaded", detail="d", retry_after=0.25),
    Progress(attempt_id="a", kind=ProgressKind.STARTED),
    Progress(
        attempt_id="a",
        kind=ProgressKind.ENGINE_LOST,
        instance="i",
        keeps_results=True,
    ),
    ChangesRequest(revision=7),
    ChangesRequest(revision=7, accepts_compressed=True),
    ChangesRequest(revision=7, era=3),
    ChangesRequest(revision=7, configuration_after=Position()),
    ChangesRequest(revision=7, era=3, configuration_after=Position(2, 9)),
    ChangeSet(revision=9, changes=(), has_heard=False),
    ChangeSet(
        revision=9,
        is_snapshot=True,
        grace_period=1.5,
        changes=(
            Change(key="a", value=b"\x00", revision=8),
            Change(key="b", value=None, revision=9),
        ),
    ),
    ChangeSet(
        revision=9,
        era=3,
        changes=(
            Change(key="a", value=b"\x00", revision=8, era=3),
            Change(key="b", value=None, revision=90, era=1),
        ),
        offers=(
            ValueOffer(
                key="c",
                revision=10,
                era=2,
                digest=b"d",
                size=9,
                base=b"",
                encoded_digest=b"e",
                encoded_size=5,
            ),
        ),
    ),
    CrashReport(fingerprint="f", endpoint="i"),
    CrashReport(
        fingerprint="request:f",
        endpoint="i",
        born=1_764_000_000_000,
        keys=("part:ab", "request:f"),
        age=0.125,
        sent_age=1.5,
    ),
    KeysCleared(keys=("part:ab",), age=0.5),
    GroupCondemned(keys=("part:ab",), seconds=59.5, crashes=3),
    Unknown(),
)


LIMIT_SECONDS = 0.6
NOTIFICATION = CrashReport(fingerprint="f", endpoint="i")


class TestFrames(unittest.TestCase):
    def test_every_content_survives_encoding_and_decoding(self):
        for content in CONTENTS:
            frame = Frame(number=3, content=content)
            self.assertEqual(decode_frame(encode_frame(frame)).ok, frame)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_without_an_exception(self, data):
        decode_frame(data)


class TestLinks(unittest.TestCase):
    def test_concurrent_requests_receive_their_own_responses(self):
        async def answer(link, content):
            await anyio.sleep(0.1 / content.revision)
            return ChangeSet(changes=(), revision=content.revision)

        async def scenario(asking, answering):
            responses = {}

            async def ask(number):
                responses[number] = await asking.request(
                    ChangesRequest(revision=number)
                )

            async with anyio.create_task_group() as tasks:
                for number in range(1, 8):
                    tasks.start_soon(ask, number)
            return responses

        responses = run_virtual(run_linked, answer, scenario)
        self.assertEqual(
            {n: a.revision for n, a in responses.items()}, {n: n for n in responses}
        )

    def test_link_to_silent_peer_is_lost_within_a_second(self):
        async def never_respond(link, content):
            answering_link.append(link)
            link.closed = True
            await anyio.sleep_forever()

        answering_link = []

        async def scenario(asking, answering):
            started = anyio.current_time()
            answering.outgoing = DiscardingList()
            with self.assertRaises(LinkLostError):
                await asking.request(ChangesRequest(revision=1))
            return anyio.current_time() - started

        self.assertLess(run_virtual(run_linked, never_respond, scenario), 1.0)

    # Issue 32: pings waited on the full link of this VM, not at the peer.
    def test_link_over_a_full_network_link_is_kept_longer(self):
        async def answer_after_a_silence(link, content):
            queue, link.outgoing = link.outgoing, DiscardingList()
            await anyio.sleep(1.0)
            link.outgoing = queue
            return Unknown()

        async def scenario(asking, answering):
            asking.is_congested = lambda: True
            with anyio.fail_after(2.0):
                return await asking.request(ChangesRequest(revision=1))

        content = run_virtual(run_linked, answer_after_a_silence, scenario)
        self.assertEqual(content, Unknown())

    def test_slow_response_of_a_live_peer_is_awaited(self):
        async def respond_slowly(link, content):
            await anyio.sleep(5)
            return Unknown()

        async def scenario(asking, answering):
            return await asking.request(ChangesRequest(revision=1))

        self.assertEqual(run_virtual(run_linked, respond_slowly, scenario), Unknown())

    def test_notification_is_delivered(self):
        received = []

        async def scenario(asking, answering):
            asking.notify(CrashReport(fingerprint="f", endpoint="i"))
            await anyio.sleep(0.1)

        async def answer(link, content):
            return Unknown()

        run_virtual(
            run_linked,
            answer,
            scenario,
            handle_notification=lambda link, content: received.append(content),
        )
        self.assertEqual(received, [CrashReport(fingerprint="f", endpoint="i")])


class TestTimeLimit(unittest.TestCase):
    # Guards against a response that is given up while it arrives, and thrown away.
    def test_limit_does_not_run_while_the_response_arrives(self):
        async def answer(link, content):
            return build_changes(value_bytes=500_000)

        async def scenario(asking, answering):
            response = await asking.request(
                ChangesRequest(revision=1), timeout=LIMIT_SECONDS
            )
            return response, anyio.current_time()

        response, seconds = run_virtual(
            run_linked, answer, scenario, bytes_per_second=100_000
        )
        self.assertEqual(response, build_changes(value_bytes=500_000))
        self.assertGreater(seconds, 4.0)

    def test_request_that_only_pings_follow_ends_at_the_limit(self):
        async def never_respond(link, content):
            await anyio.sleep_forever()

        async def scenario(asking, answering):
            started = anyio.current_time()
            with self.assertRaises(LinkLostError) as caught:
                await asking.request(ChangesRequest(revision=1), timeout=LIMIT_SECONDS)
            self.assertEqual(caught.exception.reason, LossReason.TIME_LIMIT)
            self.assertFalse(asking.closed)
            return anyio.current_time() - started

        seconds = run_virtual(run_linked, never_respond, scenario)
        self.assertAlmostEqual(seconds, LIMIT_SECONDS)

    def test_peer_that_falls_silent_within_a_frame_is_lost_within_a_second(self):
        async def answer(link, content):
            link.stream.bytes_per_second = 1
            return build_changes(value_bytes=500_000)

        async def scenario(asking, answering):
            started = anyio.current_time()
            with self.assertRaises(LinkLostError) as caught:
                await asking.request(ChangesRequest(revision=1), timeout=60.0)
            self.assertEqual(caught.exception.reason, LossReason.LINK_LOST)
            return anyio.current_time() - started

        self.assertLess(run_virtual(run_linked, answer, scenario), 1.0)


class TestLargeFrames(unittest.TestCase):
    def test_link_to_a_slow_peer_survives_a_large_frame(self):
        """Guards against a slow peer that is taken for failed while it receives."""

        async def answer(link, content):
            if isinstance(content, ChangesRequest):
                return build_changes(value_bytes=500_000)
            return PLACEMENT

        async def scenario(asking, answering):
            received = []

            async def request_changes():
                received.append(await asking.request(ChangesRequest(revision=1)))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(request_changes)
                await anyio.sleep(1.0)
                placement = await asking.request(PLACEMENT_REQUEST)
                self.assertLess(anyio.current_time(), 500_000 / 100_000 + 0.1)
            self.assertEqual(placement, PLACEMENT)
            self.assertEqual(received, [build_changes(value_bytes=500_000)])
            self.assertEqual((asking.closed, answering.closed), (False, False))

        run_virtual(run_linked, answer, scenario, bytes_per_second=100_000)


class TestQueueLimit(unittest.TestCase):
    def test_link_to_a_peer_that_does_not_read_ends_at_the_queue_limit(self):
        """Guards against a dead link that stays open, with the requests that use it."""

        async def answer(link, content):
            return Unknown()

        async def never_return(data):
            await anyio.sleep_forever()

        async def scenario(asking, answering):
            asking.stream.send = never_return
            asking.notify(NOTIFICATION)
            await anyio.sleep(1.0)
            for _ in range(2 * MAX_QUEUED_FRAMES):
                asking.notify(NOTIFICATION)
            await anyio.sleep(0.1)
            # The peer sees that the connection has ended.
            self.assertTrue(answering.closed)
            return len(asking.outgoing)

        queued = run_virtual(run_linked, answer, scenario)
        self.assertLessEqual(queued, MAX_QUEUED_FRAMES)

    def test_responses_are_not_queued_beyond_the_limit(self):
        """Guards against responses that fill the memory while the peer reads none."""

        async def answer(link, content):
            await anyio.sleep(0.1)
            return Unknown()

        async def never_return(data):
            await anyio.sleep_forever()

        async def scenario(asking, answering):
            answering.stream.send = never_return
            answering.notify(NOTIFICATION)
            await anyio.sleep(0.1)
            for revision in range(2 * MAX_QUEUED_FRAMES):
                asking.send_request(ChangesRequest(revision=revision))
                await anyio.sleep(0)
            await anyio.sleep(0.3)
            return len(answering.outgoing)

        queued = run_virtual(run_linked, answer, scenario)
        self.assertLessEqual(queued, MAX_QUEUED_FRAMES)


class DiscardingList(list):
    def append(self, data):
        return None


if __name__ == "__main__":
    unittest.main()
