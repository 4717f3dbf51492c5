"""Answers that come, and break off, while the request is still being written."""

import itertools
import unittest

import anyio

from currantdyke.catalog import Endpoint
from currantdyke.forward.attempt import OutgoingRequest, attempt
from currantdyke.forward.connections import EndpointConnections
from currantdyke.gateway.tests.builders import KEY, STREAM_HEADERS, events
from currantdyke.gateway.tests.early_builders import EarlyEmulator, Ending
from currantdyke.gateway.tests.limit_builders import start_gateways
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    stream_route,
)
from currantdyke.testing.throttle import Cut

# More than the buffers of the sockets on both sides take.
BODY = b"x" * 3_000_000
LONG_BODY = 4 * BODY
SECONDS = (0.0, 0.02, 0.3)
REQUESTS = 6
UNFRAMED = b""
CHUNKED = b"transfer-encoding: chunked\r\n"
EVENTS = b"content-type: text/event-stream\r\n"


def deployment_document():
    """Return a configuration that takes bodies of this size."""
    routes = [
        plain_route(timeout_ms=5_000),
        stream_route(timeout_ms=9_000, stream_resume=False),
    ]
    document = configuration(1, routes)
    document["limits"] |= {"max_body_bytes": 4_194_304, "header_timeout_ms": 3_000}
    return document


class CallerError(Exception):
    """The caller of a request accepts no answer."""


def long_request():
    """Return a request of which the endpoint reads the rest after its answer."""
    headers = [
        (b"host", b"one.example"),
        (b"content-length", b"%d" % len(LONG_BODY)),
    ]
    return OutgoingRequest(
        method=b"POST",
        target=b"/plain/",
        headers=headers,
        body=LONG_BODY,
        attempt_id="",
        once=True,
    )


async def upload(path, *, tunnel=False, **answer):
    """Send long requests; return the answers.

    Parameters
    ----------
    tunnel : bool
        Whether the gateway reaches the endpoint through another one only.
    """
    service = "engine" if path == "/stream/" else "plain"
    headers = STREAM_HEADERS if path == "/stream/" else KEY
    found = []
    async with run_deployment(deployment_document()) as deployment:
        await deployment.endpoint(EarlyEmulator, "early", service, **answer)
        if tunnel:
            deployment.may_cut = True
            await start_gateways(deployment, 2)
            deployment.cut_off(deployment.gateways[:-1], Cut.RESET)
        else:
            await deployment.gateway()

        async def send():
            caller = deployment.caller()
            found.append(await caller.request("POST", path, body=BODY, headers=headers))

        async with anyio.create_task_group() as tasks:
            for _ in range(REQUESTS):
                tasks.start_soon(send)
    return found


class TestEarlyAnswers(unittest.TestCase):
    def check_not_whole(self, answers):
        whole = [answer.status == 200 and answer.complete for answer in answers]
        self.assertEqual(whole, [False] * REQUESTS)

    # From other operators: a part of an answer was taken for all of it, since only the
    # writing of the request saw the reset.
    @run_on_sockets
    async def test_part_of_an_answer_is_not_taken_for_all_of_it(self):
        cases = itertools.product(
            (Ending.RESET, Ending.END_AND_RESET), (False, True), SECONDS
        )
        for ending, tunnel, seconds in cases:
            for path, head, part in (
                ("/plain/", UNFRAMED, b"x" * 20_000),
                ("/plain/", CHUNKED, b"4e20\r\n" + b"x" * 20_000),
                ("/stream/", EVENTS, events(1, 3)),
            ):
                with self.subTest(ending=ending, tunnel=tunnel, s=seconds, head=head):
                    answers = await upload(
                        path,
                        tunnel=tunnel,
                        head=head,
                        part=part,
                        ending=ending,
                        seconds=seconds,
                    )
                    self.check_not_whole(answers)

    # Guards against sound answers to requests of which the endpoint reads the rest.
    @run_on_sockets
    async def test_early_answer_that_ends_in_order_is_passed_on(self):
        for seconds in SECONDS:
            answers = await upload(
                "/plain/", part=b"whole", ending=Ending.END, seconds=seconds
            )
            with self.subTest(seconds=seconds):
                for answer in answers:
                    self.assertEqual((answer.status, answer.body), (200, b"whole"))
                    self.assertTrue(answer.complete)


class TestKeptConnections(unittest.TestCase):
    # Guards against the rest of a request in the place of the next one (UNASKED): an
    # error behind a whole answer must not keep the connection on which it is written.
    @run_on_sockets
    async def test_connection_with_a_request_half_written_is_not_kept(self):
        early = EarlyEmulator(
            instance="early",
            service="plain",
            head=b"content-length: 4\r\n",
            part=b"done",
            ending=Ending.KEEP,
            seconds=1.0,
        )
        connections = EndpointConnections()
        async with anyio.create_task_group() as tasks:
            await tasks.start(early.run)
            endpoint = Endpoint(
                instance="early",
                service="plain",
                address=early.address,
                availability_zone="zone-a",
            )
            with self.assertRaises(CallerError):
                async with attempt(
                    connections, endpoint, long_request(), on_send=lambda: None
                ) as response:
                    while await response.read() is not None:
                        pass
                    raise CallerError
            tasks.cancel_scope.cancel()
        self.assertEqual(connections.idle, {})


if __name__ == "__main__":
    unittest.main()
