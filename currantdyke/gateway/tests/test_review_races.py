"""Runs of one request beside each other: later tries, errors and resumed streams."""

import unittest
from unittest import mock

import anyio

from currantdyke.crashes import CrashDetector
from currantdyke.forward import plain
from currantdyke.forward import stream as streams
from currantdyke.gateway.caller import CallerConnection
from currantdyke.gateway.tests.builders import (
    KEY,
    STREAM_HEADERS,
    FirstArrival,
    announce_unreachable,
    event,
    events,
    pause_after,
    plain_configuration,
    start_engines,
    start_plain,
    stream_configuration,
    work,
)
from currantdyke.gateway.tests.race_builders import (
    choose_in_order,
    fail_with,
    hang_second_attempt,
    pause_and_break,
    refuse_after,
    replace_second_placement,
)
from currantdyke.scheduler.messages import Refusal
from currantdyke.testing.gateways import run_deployment, run_on_sockets, wait_until

# A sound endpoint may be silent for a second or so.
PAUSE_SECONDS = 1.8
FROZEN_SECONDS = 20.0
# An engine that another one replaced may still work for this long.
REPLACED_SECONDS = 0.4
# From the arrival of a request at an engine to its first event.
LATE_START_SECONDS = 0.8


async def ask(deployment):
    headers = KEY | {"x-deadline-ms": "4000"}
    return await deployment.caller().request("GET", "/plain/", headers=headers)


async def stream(deployment):
    return await deployment.caller().request("POST", "/stream/", headers=STREAM_HEADERS)


class TestLaterTries(unittest.TestCase):
    # Guards against a request that waits for a frozen endpoint until its deadline,
    # since the endpoint tried beside it could not be reached.
    @run_on_sockets
    async def test_third_endpoint_is_tried_if_the_second_is_unreachable(self):
        async with run_deployment(plain_configuration(max_attempts=3)) as deployment:
            await start_plain(deployment, work(FROZEN_SECONDS), None)
            announce_unreachable(deployment, "plain")
            await deployment.gateway()
            order = ["plain-0", "plain-gone", "plain-1"]
            with mock.patch.object(plain, "choose_endpoint", choose_in_order(order)):
                answer = await ask(deployment)
        self.assertEqual(answer.status, 200)

    # Control: the same without the endpoint that cannot be reached.
    @run_on_sockets
    async def test_second_endpoint_is_tried(self):
        async with run_deployment(plain_configuration(max_attempts=3)) as deployment:
            await start_plain(deployment, work(FROZEN_SECONDS), None)
            await deployment.gateway()
            order = ["plain-0", "plain-1"]
            with mock.patch.object(plain, "choose_endpoint", choose_in_order(order)):
                answer = await ask(deployment)
        self.assertEqual(answer.status, 200)

    # Guards against a request that waits for a frozen endpoint until its deadline,
    # since the last attempt that it had was refused late and did not run.
    @run_on_sockets
    async def test_third_endpoint_is_tried_if_the_second_refuses_late(self):
        async with run_deployment(plain_configuration(max_attempts=2)) as deployment:
            await start_plain(deployment, work(FROZEN_SECONDS), refuse_after(1.0), None)
            await deployment.gateway()
            order = ["plain-0", "plain-1", "plain-2"]
            with mock.patch.object(plain, "choose_endpoint", choose_in_order(order)):
                answer = await ask(deployment)
        self.assertEqual(answer.status, 200)

    # Guards against a stream that waits for a frozen engine until its deadline, since
    # one placement beside it was refused.
    @run_on_sockets
    async def test_stream_is_placed_again_after_a_refused_placement(self):
        refusal = Refusal(code="no_engine", detail="none", retry_after=0.1)
        for begun in (0, 2):
            arrival = FirstArrival(pause_after(begun, FROZEN_SECONDS), None)
            configuration = stream_configuration(max_attempts=3)
            async with run_deployment(configuration) as deployment:
                await start_engines(deployment, arrival, arrival)
                gateway = await deployment.gateway()
                with (
                    self.subTest(begun=begun),
                    replace_second_placement(gateway.scheduler_client, refusal),
                ):
                    answer = await stream(deployment)
                    self.assertEqual((answer.status, answer.complete), (200, True))


class TestErrors(unittest.TestCase):
    # Guards against a live stream that is cut by an internal error of a second run.
    @run_on_sockets
    async def test_error_of_a_second_run_does_not_end_the_first(self):
        for begun in (0, 2):
            arrival = FirstArrival(pause_after(begun, PAUSE_SECONDS), None)
            async with run_deployment(stream_configuration()) as deployment:
                await start_engines(deployment, arrival, arrival)
                gateway = await deployment.gateway()
                with (
                    self.subTest(begun=begun),
                    replace_second_placement(gateway.scheduler_client, ValueError()),
                ):
                    answer = await stream(deployment)
                    self.assertEqual((answer.status, answer.complete), (200, True))
                    self.assertEqual(answer.body, events(1, 5))


class TestFailures(unittest.TestCase):
    # Guards against a live run that is given up for a failure of another endpoint.
    @run_on_sockets
    async def test_failure_of_a_second_endpoint_does_not_end_the_first(self):
        arrival = FirstArrival(work(1.2), fail_with(409))
        async with run_deployment(plain_configuration()) as deployment:
            await start_plain(deployment, arrival, arrival)
            await deployment.gateway()
            answer = await ask(deployment)
        self.assertEqual((answer.status, len(arrival.arrived)), (200, 2))

    # Guards against the same for a stream before its first event.
    @run_on_sockets
    async def test_failure_of_a_second_engine_does_not_end_the_first(self):
        arrival = FirstArrival(pause_after(0, 1.2), fail_with(422))
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, arrival, arrival)
            await deployment.gateway()
            answer = await stream(deployment)
        self.assertEqual((answer.status, len(arrival.arrived)), (200, 2))

    # Guards against a failure that is lost, since the run that it waits for is frozen.
    @run_on_sockets
    async def test_failure_is_relayed_before_the_deadline_beside_a_frozen_endpoint(
        self,
    ):
        arrival = FirstArrival(work(FROZEN_SECONDS), fail_with(422))
        async with run_deployment(plain_configuration(max_attempts=3)) as deployment:
            await start_plain(deployment, arrival, arrival, arrival)
            await deployment.gateway()
            answer = await ask(deployment)
        self.assertEqual((answer.status, len(arrival.arrived)), (422, 2))

    # Guards against the same for a stream.
    @run_on_sockets
    async def test_failure_is_relayed_before_the_deadline_beside_a_frozen_engine(self):
        arrival = FirstArrival(pause_after(0, FROZEN_SECONDS), fail_with(422))
        async with run_deployment(stream_configuration(max_attempts=3)) as deployment:
            await start_engines(deployment, arrival, arrival, arrival)
            await deployment.gateway()
            answer = await stream(deployment)
        self.assertEqual((answer.status, len(arrival.arrived)), (422, 2))


class TestGivenUpEngine(unittest.TestCase):
    # Guards against a stream that breaks off beside a sound engine, which was given up
    # for the run that breaks off later.
    @run_on_sockets
    async def test_engine_given_up_unheard_may_serve_the_rest(self):
        arrived = []

        async def handle(request, reply):
            arrived.append(request.headers["x-expect-instance"])
            if len(arrived) == 1:
                return await pause_and_break(event, PAUSE_SECONDS)(request, reply)
            # The second run is still queued when the first one goes on.
            await anyio.sleep(FROZEN_SECONDS if len(arrived) == 2 else 0.0)
            return await pause_after(2, 0.0)(request, reply)

        configuration = stream_configuration(max_attempts=4)
        async with run_deployment(configuration) as deployment:
            await start_engines(deployment, handle, handle)
            await deployment.gateway()
            answer = await stream(deployment)
        self.assertEqual((answer.complete, answer.body), (True, events(1, 5)))

    # Guards against an engine that is reported as crashed, though it got no request.
    @run_on_sockets
    async def test_engine_given_up_before_it_was_sent_to_is_not_probed(self):
        arrival = FirstArrival(pause_after(2, PAUSE_SECONDS), None)
        hang = hang_second_attempt(streams.attempt)
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, arrival, arrival)
            await deployment.gateway()
            with (
                mock.patch.object(streams, "attempt", hang),
                mock.patch.object(CrashDetector, "start_probe") as probe,
            ):
                answer = await stream(deployment)
        self.assertEqual((answer.complete, answer.body), (True, events(1, 5)))
        probe.assert_not_called()


class TestResumedStream(unittest.TestCase):
    # Guards against TWICE: an engine that still works on a stream 0.4 s after the
    # stream went on at another engine. A request begins to run with its first token, so
    # the stream goes on with the first event of the other engine.
    @run_on_sockets
    async def test_replaced_engine_stops_although_the_other_one_begins_late(self):
        stopped_before = []

        async def begin_late(request, reply):
            await anyio.sleep(LATE_START_SECONDS)
            stopped_before.append(list(arrival.stopped))
            return await pause_after(2, 0.0)(request, reply)

        arrival = FirstArrival(pause_after(2, FROZEN_SECONDS), begin_late)
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, arrival, arrival)
            await deployment.gateway()
            answers = []

            async def ask_for_stream():
                answers.append(await stream(deployment))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask_for_stream)
                await wait_until(lambda: stopped_before)
                with anyio.move_on_after(REPLACED_SECONDS):
                    await wait_until(lambda: arrival.stopped)
                stopped = list(arrival.stopped)
        self.assertEqual((stopped_before, stopped), ([[]], arrival.arrived[:1]))
        self.assertEqual(len(arrival.arrived), 2)
        self.assertEqual((answers[0].complete, answers[0].body), (True, events(1, 5)))


class TestDeadline(unittest.TestCase):
    # Guards against a connection that closes unannounced behind a whole answer, because
    # the deadline passed while the answer was written.
    @run_on_sockets
    async def test_answer_written_past_the_deadline_counts_as_answered(self):
        send_now = CallerConnection._send_now

        async def send_late(connection, *sent):
            await send_now(connection, *sent)
            await anyio.sleep(1.0)

        async with run_deployment(plain_configuration(timeout_ms=700)) as deployment:
            await start_plain(deployment, None)
            gateway = await deployment.gateway()
            with (
                mock.patch.object(CallerConnection, "_send_now", send_late),
                mock.patch.object(
                    CallerConnection,
                    "_final_write_deadline",
                    lambda _: anyio.current_time() + 3.0,
                ),
            ):
                answer = await ask(deployment)
                self.assertEqual((answer.status, answer.complete), (200, True))
                lines = deployment.lines[gateway.settings.name]
                await wait_until(
                    lambda: any(line["event"] == "request_ended" for line in lines)
                )
        ended = [line for line in lines if line["event"] == "request_ended"]
        self.assertEqual([line["outcome"] for line in ended], ["answered"])
