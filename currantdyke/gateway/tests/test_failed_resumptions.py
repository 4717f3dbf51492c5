"""Streams that have begun, and engines that answer the resumption with an error."""

import unittest

import anyio

from currantdyke.gateway.tests.builders import (
    STREAM_HEADERS,
    FirstArrival,
    events,
    signed_head,
    start_engines,
    stream_configuration,
    stream_unframed,
)
from currantdyke.testing.gateways import run_deployment, run_on_sockets

# Reads as an event, so that only the head tells that it is none of the stream.
ERROR_TEXT = b"id: 4\ndata: no such model\n\n"
EVENTS = events(1, 3)
CHUNK = b"%x\r\n%s\r\n"
ERRORS = {
    "failure": (b"500 failed", ()),
    "bad gateway": (b"502 bad", ()),
    "time-out": (b"504 late", ()),
    "unmarked refusal": (b"503 full", ()),
    "refusal": (b"503 full", (b"x-not-executed: 1",)),
    "too many": (b"429 wait", (b"x-not-executed: 1",)),
    "results gone": (b"409 gone", (b"x-not-executed: 1",)),
    "invalid": (b"400 bad", (b"x-not-executed: 1",)),
    "unknown": (b"404 none", ()),
    "redirection": (b"307 there", ()),
    "success of another type": (b"200 OK", (b"content-type: application/json",)),
}


def answer_error(status, fields, *, framed):
    """Return a handler that answers with an error, with or without a length."""

    async def handle(request, reply):
        length = (b"content-length: %d" % len(ERROR_TEXT),) if framed else ()
        head = signed_head(request, *fields, *length, status=status)
        await reply.send_raw(head + ERROR_TEXT)
        await reply.close()

    return handle


def append_error(framing, text, *, in_parts):
    """Return a handler that writes an error, with its head, after some events."""

    async def handle(request, reply):
        head = signed_head(request, b"content-type: text/event-stream", framing)
        error = signed_head(request, b"content-length: 0", status=b"500 failed")
        if in_parts:
            await reply.send_raw(head + text)
            await anyio.sleep(0.05)
            await reply.send_raw(error)
        else:
            await reply.send_raw(head + text + error)
        await anyio.sleep(0.05)
        await reply.close()

    return handle


async def ask(first, other):
    """Return the answer to a stream that ``first`` begins, and who was asked."""
    arrival = FirstArrival(first, other)
    async with run_deployment(stream_configuration(max_attempts=2)) as deployment:
        await start_engines(deployment, arrival, arrival)
        await deployment.gateway()
        answer = await deployment.caller().request(
            "POST", "/stream/", headers=STREAM_HEADERS
        )
    return answer, arrival


class TestFailedResumptions(unittest.TestCase):
    # Guards against the text or the head of an error in the middle of a stream, and
    # against a stream that ends there as if it were complete.
    @run_on_sockets
    async def test_stream_breaks_off_after_its_last_event(self):
        for name, (status, fields) in ERRORS.items():
            for framed in (True, False):
                answer, arrival = await ask(
                    stream_unframed(3, whole=False),
                    answer_error(status, fields, framed=framed),
                )
                with self.subTest(name, framed=framed):
                    self.assertEqual(len(set(arrival.arrived)), 2)
                    self.assertEqual(answer.body, events(1, 3))
                    self.assertFalse(answer.complete)

    # Guards against the same where the error comes on the connection of the stream.
    @run_on_sockets
    async def test_stream_goes_on_elsewhere_after_an_error_within_it(self):
        for name, framing, text in (
            ("chunked", b"transfer-encoding: chunked", CHUNK % (len(EVENTS), EVENTS)),
            ("unframed", b"connection: close", EVENTS),
        ):
            for in_parts in (False, True):
                handle = append_error(framing, text, in_parts=in_parts)
                answer, _ = await ask(handle, None)
                with self.subTest(name, in_parts=in_parts):
                    self.assertEqual(answer.body, events(1, 5))
                    self.assertTrue(answer.complete)


if __name__ == "__main__":
    unittest.main()
