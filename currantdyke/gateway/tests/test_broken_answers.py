import unittest

import anyio

from currantdyke.emulator import EngineEmulator, StageEmulator
from currantdyke.gateway.tests.builders import (
    KEY,
    STREAM_HEADERS,
    FirstArrival,
    answer_unframed,
    events,
    plain_configuration,
    send_endlessly,
    signed_head,
    start_engines,
    start_plain,
    stop_in_heads,
    stream_configuration,
    stream_unframed,
)
from currantdyke.testing.gateways import (
    configuration,
    run_deployment,
    run_on_sockets,
    stream_route,
    wait_until,
)

TIMEOUT_MS = 1_500
# A final answer is due at the time-out of the route.
ANSWER_SECONDS = 2.0
# What an endpoint can send before its connection is closed: 64 KiB of a head or 1 MiB
# of a body, and the buffers of the sockets on both sides.
MAX_SENT_BYTES = 16 * 1_048_576
PIECE_BYTES = 65_536


async def stream(deployment):
    return await deployment.caller().request("POST", "/stream/", headers=STREAM_HEADERS)


async def post(deployment):
    return await ask(deployment, "POST")


async def gather(send, deployment, count):
    """Return the answers to many requests at once."""
    answers = []

    async def record():
        answers.append(await send(deployment))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(record)
    return answers


async def ask(deployment, method="GET"):
    return await deployment.caller().request(method, "/plain/", headers=KEY)


def outcome(deployment):
    """Return how the last request in the log ended."""
    lines = [line for entry in deployment.lines.values() for line in entry]
    return [line["outcome"] for line in lines if line["event"] == "request_ended"][-1]


FRAMINGS = (
    (b"content-length: 5",),
    (b"transfer-encoding: chunked",),
    (b"content-type: text/event-stream",),
)
# More than the bytes of any of these heads.
HEAD_BYTES = 160


class TestAnswersThatStopInTheirHead(unittest.TestCase):
    # From other operators: a runner stopped in the middle of its answer's head, and
    # callers got a 200 with an empty or short body, framed as whole.
    @run_on_sockets
    async def test_no_caller_gets_a_success(self):
        for lines in FRAMINGS:
            for resets in (False, True):
                handler = stop_in_heads(lines, resets=resets)
                document = plain_configuration(type="non_idempotent")
                async with run_deployment(document) as deployment:
                    (endpoint,) = await start_plain(deployment, handler)
                    await deployment.gateway()
                    found = await gather(post, deployment, HEAD_BYTES)
                with self.subTest(lines=lines, resets=resets):
                    self.assertEqual({answer.status for answer in found}, {502})
                    self.assertTrue(all(answer.complete for answer in found))
                    self.assertEqual(len(endpoint.arrivals), HEAD_BYTES)

    # The same for a stream, before its first event and where it goes on elsewhere.
    @run_on_sockets
    async def test_stream_is_whole_or_is_not_begun(self):
        lines = FRAMINGS[-1]
        handler = stop_in_heads(lines, resets=False)
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, handler)
            await deployment.gateway()
            alone = await gather(stream, deployment, HEAD_BYTES)
            await deployment.endpoint(EngineEmulator, "sound", "engine")
            await anyio.sleep(1.0)
            beside = [await stream(deployment) for _ in range(20)]
        self.assertLessEqual({answer.status for answer in alone}, {502, 503})
        self.assertTrue(all(answer.complete for answer in alone))
        for answer in beside:
            if answer.status == 200:
                self.assertEqual((answer.body, answer.complete), (events(1, 5), True))
        self.assertIn(200, {answer.status for answer in beside})


class TestAnswersWithoutLength(unittest.TestCase):
    @run_on_sockets
    async def test_answer_that_ends_with_its_connection_is_complete(self):
        for size in (0, 10, 3_000_000):
            body = b"x" * size
            async with run_deployment(plain_configuration()) as deployment:
                await start_plain(deployment, answer_unframed(body, whole=True))
                await deployment.gateway()
                answer = await ask(deployment)
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(answer.body, body)

    # Guards against a part of an answer that is taken for all of it.
    @run_on_sockets
    async def test_answer_that_is_reset_is_asked_for_elsewhere(self):
        arrival = FirstArrival(answer_unframed(b"half", whole=False), None)
        async with run_deployment(plain_configuration()) as deployment:
            await start_plain(deployment, arrival, arrival)
            await deployment.gateway()
            answer = await ask(deployment)
        self.assertEqual((answer.status, answer.body), (200, b"GET /plain/ "))

    @run_on_sockets
    async def test_answer_that_is_reset_everywhere_gives_502(self):
        handler = answer_unframed(b"half", whole=False)
        async with run_deployment(plain_configuration()) as deployment:
            await start_plain(deployment, handler, handler)
            await deployment.gateway()
            answer = await ask(deployment)
        self.assertEqual(answer.status, 502)
        self.assertFalse(answer.signed)

    # Guards against a long answer that breaks off and is logged as answered.
    @run_on_sockets
    async def test_long_answer_that_is_reset_is_incomplete_and_logged_so(self):
        handler = answer_unframed(b"x" * 3_000_000, whole=False)
        async with run_deployment(plain_configuration()) as deployment:
            await start_plain(deployment, handler)
            await deployment.gateway()
            answer = await ask(deployment)
            await wait_until(lambda: outcome(deployment))
        self.assertFalse(answer.complete)
        self.assertIn("broken off", outcome(deployment))

    @run_on_sockets
    async def test_stream_that_ends_with_its_connection_is_complete(self):
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, stream_unframed(5, whole=True))
            await deployment.gateway()
            answer = await stream(deployment)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body, events(1, 5))

    # Guards against a stream that ends early and looks complete.
    @run_on_sockets
    async def test_stream_that_breaks_off_is_resumed_elsewhere(self):
        for whole, partial in ((False, b""), (False, b"id: 4\n"), (True, b"id: 4\n")):
            first = stream_unframed(3, whole=whole, partial=partial)
            arrival = FirstArrival(first, None)
            async with run_deployment(stream_configuration()) as deployment:
                await start_engines(deployment, arrival, arrival)
                await deployment.gateway()
                answer = await stream(deployment)
            self.assertTrue(answer.complete)
            self.assertEqual(answer.body, events(1, 5))

    # Guards against a stream that ends early and looks complete.
    @run_on_sockets
    async def test_stream_that_ends_within_an_event_does_not_look_complete(self):
        route = stream_configuration(stream_resume=False)
        async with run_deployment(route) as deployment:
            await start_engines(
                deployment, stream_unframed(3, whole=True, partial=b"id: 4\ndata: 4\n")
            )
            await deployment.gateway()
            answer = await stream(deployment)
        self.assertFalse(answer.complete)
        self.assertEqual(answer.body, events(1, 3))


class CountedBytes:
    """Bytes without an end, and how many of them endpoints have sent."""

    def __init__(self, start, piece):
        self.start = start
        self.piece = piece * (PIECE_BYTES // len(piece))
        self.sent = 0

    async def __call__(self, request, reply):
        """Handle a request."""

        async def send_raw(data):
            await stream.send(data)
            self.sent += len(data)
            await anyio.sleep(0.001)

        stream, reply.send_raw = reply.connection.stream, send_raw
        return await send_endlessly(self.start, self.piece)(request, reply)


def failure_head(request):
    return signed_head(request, b"content-length: 9000000000", status=b"500 no")


def refusal_head(request):
    return (
        b"HTTP/1.1 503 full\r\nx-not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n"
    )


def chunked_head(request):
    return signed_head(request, b"transfer-encoding: chunked")


# Where bytes without an end are sent, by name: the first bytes, and those repeated.
ENDLESS = {
    "status line": (lambda request: b"HTTP/1.1 200 ", b"x"),
    "header": (lambda request: b"HTTP/1.1 200 OK\r\nx-y: ", b"x"),
    "headers": (lambda request: b"HTTP/1.1 200 OK\r\n", b"x-y: z\r\n"),
    "no HTTP": (lambda request: b"", b"\x00\x01"),
    "interim answers": (lambda request: b"", b"HTTP/1.1 102 x\r\n\r\n"),
    "chunk size": (chunked_head, b"0"),
    "chunk extension": (lambda request: chunked_head(request) + b"4;", b"x"),
    "trailers": (lambda request: chunked_head(request) + b"0\r\n", b"x: y\r\n"),
    "body of a failure": (failure_head, b"x"),
    "body of a refusal": (refusal_head, b"1\r\nx\r\n"),
}


class TestBytesWithoutEnd(unittest.TestCase):
    def check_refused(self, answer, endless):
        self.assertIn(answer.status, (502, 503, 504))
        self.assertTrue(answer.complete)
        self.assertLess(answer.seconds, ANSWER_SECONDS)
        self.assertLess(endless.sent, MAX_SENT_BYTES)

    # Guards against memory and time without bound for bytes that are no answer.
    @run_on_sockets
    async def test_plain_request_gets_a_refusal_in_time(self):
        for kind in ("idempotent", "non_idempotent"):
            for name, parts in ENDLESS.items():
                endless = CountedBytes(*parts)
                route = plain_configuration(type=kind, timeout_ms=TIMEOUT_MS)
                async with run_deployment(route) as deployment:
                    await start_plain(deployment, endless)
                    await deployment.gateway()
                    answer = await ask(deployment, "POST")
                with self.subTest(kind=kind, name=name):
                    self.check_refused(answer, endless)

    # Guards against memory and time without bound for bytes that are no answer.
    @run_on_sockets
    async def test_stream_gets_a_refusal_in_time(self):
        for resumable in (True, False):
            for name, parts in (
                ENDLESS | {"event": (signed_head, b"data: x\n")}
            ).items():
                endless = CountedBytes(*parts)
                route = stream_configuration(
                    stream_resume=resumable, timeout_ms=TIMEOUT_MS
                )
                async with run_deployment(route) as deployment:
                    await start_engines(deployment, endless)
                    await deployment.gateway()
                    answer = await stream(deployment)
                with self.subTest(resumable=resumable, name=name):
                    self.check_refused(answer, endless)

    # Guards against a sound endpoint that is not asked while bytes come without end.
    @run_on_sockets
    async def test_another_endpoint_answers_in_time(self):
        for name, parts in ENDLESS.items():
            arrival = FirstArrival(CountedBytes(*parts), None)
            route = plain_configuration(timeout_ms=TIMEOUT_MS)
            async with run_deployment(route) as deployment:
                await start_plain(deployment, arrival, arrival)
                await deployment.gateway()
                answer = await ask(deployment, "POST")
            with self.subTest(name=name):
                self.assertEqual(answer.status, 200)

    # Guards against a long body of a success that never ends.
    @run_on_sockets
    async def test_body_without_end_is_cut_at_the_time_out(self):
        endless = CountedBytes(signed_head, b"x")
        async with run_deployment(
            plain_configuration(timeout_ms=TIMEOUT_MS)
        ) as deployment:
            await start_plain(deployment, endless)
            await deployment.gateway()
            answer = await ask(deployment)
            self.assertFalse(answer.complete)
            self.assertIn("broken off", outcome(deployment))
        self.assertLess(answer.seconds, ANSWER_SECONDS)


class TestStatusesThatAreNone(unittest.TestCase):
    # From other operators: an answer with the status 000 reached the caller. HTTP has
    # statuses from 100 to 599; with others, what was received is no answer.
    @run_on_sockets
    async def test_no_caller_gets_them(self):
        for status in (b"000", b"099", b"600", b"700", b"999"):

            async def handle(request, reply, status=status):
                lines = (b"content-length: 4", b"content-type: text/event-stream")
                await reply.send_raw(signed_head(request, *lines, status=status))
                await reply.send_raw(b"body")
                return True

            for send, document, start in (
                (ask, plain_configuration(), start_plain),
                (post, plain_configuration(type="non_idempotent"), start_plain),
                (stream, stream_configuration(), start_engines),
            ):
                async with run_deployment(document) as deployment:
                    await start(deployment, handle)
                    await deployment.gateway()
                    answer = await send(deployment)
                with self.subTest(status=status, send=send.__name__):
                    self.assertEqual((answer.status, answer.signed), (502, False))

    # Guards against a sound endpoint that is not asked.
    @run_on_sockets
    async def test_another_endpoint_is_asked(self):
        async def handle(request, reply):
            lines = (b"content-length: 0",)
            await reply.send_raw(signed_head(request, *lines, status=b"700 x"))
            return True

        arrival = FirstArrival(handle, None)
        async with run_deployment(plain_configuration()) as deployment:
            await start_plain(deployment, arrival, arrival)
            await deployment.gateway()
            answer = await ask(deployment)
        self.assertEqual(answer.status, 200)


class TestOddAnswers(unittest.TestCase):
    # Guards against a connection closed without an answer because of what an endpoint
    # sent.
    @run_on_sockets
    async def test_event_id_that_no_header_can_hold_breaks_the_stream_off(self):
        async def handle(request, reply):
            head = signed_head(request, b"content-type: text/event-stream")
            await reply.send_raw(head + b"id: \x00\ndata: 1\n\n")
            await anyio.sleep(0.05)
            await reply.reset()

        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, handle, handle)
            await deployment.gateway()
            answer = await stream(deployment)
            self.assertFalse(answer.complete)
            self.assertIn("broken off", outcome(deployment))

    # Guards against a connection closed without an answer because of what an endpoint
    # sent.
    @run_on_sockets
    async def test_result_handle_that_no_header_can_hold_gives_a_refusal(self):
        async def handle(request, reply):
            if request.path.endswith("stage-free"):
                return False
            body = b'{"entries":[{"handle":"\\u4e2d\\n"}]}'
            await reply.send_response(200, {}, body)
            return True

        route = stream_route(
            stages=[{"service": "rank", "after": [], "size_bytes": 1_000}]
        )
        headers = STREAM_HEADERS | {"x-chunk-count": "1", "x-chunk-key": "k"}
        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(StageEmulator, "s-1", "rank", handle_first=handle)
            await start_engines(deployment, None)
            await deployment.gateway()
            caller = deployment.caller()
            answer = await caller.request("POST", "/stream/", headers=headers)
        self.assertEqual(answer.status, 503)


if __name__ == "__main__":
    unittest.main()
