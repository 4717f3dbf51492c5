"""Streams in many small parts, of which no event ends."""

import unittest

import anyio

from currantdyke.gateway.tests.builders import (
    KEY,
    STREAM_HEADERS,
    send_chunks,
    start_engines,
    start_plain,
    stream_configuration,
)
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    stream_route,
    wait_until,
)

BYTES_PER_SECOND = 200_000
STREAMS = 8
SECONDS = 3.0
# The time-out of the lookups, at which a final answer is due.
LOOKUP_TIMEOUT_SECONDS = 1.0
# Callers of streams with this target wait for eight seconds.
STREAM_TARGET_MS = 2_000
CALLER_SECONDS = 8.0
# Callers of the other streams wait for two seconds between events.
MAX_GAP_SECONDS = 2.0
TRICKLE_BYTES_PER_SECOND = 100
CHUNKS = {
    "a line without an end": b"x" * 64,
    "a field without an end": b"data: " + b"x" * 58,
    "lines of an event without an end": b"data: 123456789\n",
    "tiny chunks of a field": b"data:xx:",
    "comments": b": 12345\n",
}


async def look_up(deployment, seconds):
    """Send lookups for a time; return how many were not answered in time."""
    late = 0
    ends = anyio.current_time() + seconds
    while anyio.current_time() < ends:
        answer = None
        with anyio.move_on_after(LOOKUP_TIMEOUT_SECONDS):
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
        late += answer is None or answer.status != 200
        await anyio.sleep(0.02)
    return late


async def run_beside(chunk):
    """Run lookups beside streams of chunks; return the late ones, and the streams."""
    routes = [
        plain_route(timeout_ms=int(1_000 * LOOKUP_TIMEOUT_SECONDS)),
        stream_route(
            stream_resume=False, target_latency_ms=STREAM_TARGET_MS, timeout_ms=20_000
        ),
    ]
    streams = []
    async with run_deployment(configuration(1, routes)) as deployment:
        await start_plain(deployment, None)
        await start_engines(deployment, send_chunks(chunk, BYTES_PER_SECOND))
        await deployment.gateway()

        async def stream():
            answer = await deployment.caller().request(
                "POST", "/stream/", headers=STREAM_HEADERS
            )
            streams.append(answer)

        with anyio.move_on_after(CALLER_SECONDS):
            async with anyio.create_task_group() as tasks:
                for _ in range(STREAMS):
                    tasks.start_soon(stream)
                late = await look_up(deployment, SECONDS)
    return late, streams


async def stream_from_trickling_engine(deployment, seconds):
    """Send a stream to an engine that sends a byte now and then.

    Return the gateway and the answer, or None if it takes longer than the caller waits.
    """
    await start_engines(deployment, send_chunks(b"data: x", TRICKLE_BYTES_PER_SECOND))
    gateway = await deployment.gateway()
    caller = deployment.caller()
    answer = None
    with anyio.move_on_after(seconds):
        answer = await caller.request("POST", "/stream/", headers=STREAM_HEADERS)
    await caller.close()
    return gateway, answer


class TestTricklingEvents(unittest.TestCase):
    # Guards against a stream that stays open for as long as bytes of an event come.
    @run_on_sockets
    async def test_event_that_takes_longer_than_callers_wait_ends_the_stream(self):
        document = stream_configuration(stream_resume=False)
        async with run_deployment(document) as deployment:
            _, answer = await stream_from_trickling_engine(
                deployment, MAX_GAP_SECONDS + 1.0
            )
        self.assertIsNotNone(answer)
        self.assertEqual(answer.status, 502)
        self.assertGreater(answer.seconds, MAX_GAP_SECONDS)

    # Guards against an engine that gets the next stream though its bytes are no events.
    @run_on_sockets
    async def test_engine_is_avoided_after_a_caller_has_left(self):
        document = stream_configuration(stream_resume=False)
        async with run_deployment(document) as deployment:
            gateway, answer = await stream_from_trickling_engine(deployment, 1.0)
            engines = gateway.scheduler.engines.engines

            def is_avoided():
                return engines["engine-0"].avoid_until > anyio.current_time()

            await wait_until(is_avoided, seconds=1.0)
        self.assertIsNone(answer)


class TestSmallParts(unittest.TestCase):
    # Guards against a gateway that stands still for an event in many small parts
    # (review case 6), and against callers that wait for such an event in vain.
    @run_on_sockets
    async def test_other_requests_are_served_and_the_streams_are_ended(self):
        for name, chunk in CHUNKS.items():
            late, streams = await run_beside(chunk)
            with self.subTest(chunks=name):
                self.assertEqual(late, 0)
                self.assertEqual(len(streams), STREAMS)
                self.assertEqual({answer.status for answer in streams}, {502})


if __name__ == "__main__":
    unittest.main()
