import unittest

import anyio

from currantdyke.emulator import PlainEmulator, StageEmulator
from currantdyke.gateway.tests.builders import (
    KEY,
    STREAM_HEADERS,
    FirstArrival,
    announce_unreachable,
    break_off,
    deny_retries,
    events,
    pause_after,
    plain_configuration,
    refuse,
    start_engines,
    start_plain,
    stream_configuration,
    work,
)
from currantdyke.testing.gateways import (
    run_deployment,
    run_on_sockets,
    wait_until,
)

# A sound endpoint may be silent for a second or so.
PAUSE_SECONDS = 1.8
START_SECONDS = 1.2
# An engine that another one replaced may still work for this long.
REPLACED_SECONDS = 0.4


async def stream(deployment):
    return await deployment.caller().request("POST", "/stream/", headers=STREAM_HEADERS)


async def ask(deployment, method="GET"):
    headers = KEY | {"x-deadline-ms": "5000"}
    return await deployment.caller().request(method, "/plain/", headers=headers)


def outcomes(deployment):
    """Return the outcomes of all attempts of the last request in the log."""
    lines = [line for entry in deployment.lines.values() for line in entry]
    ended = [line for line in lines if line["event"] == "request_ended"]
    return [outcome for line in ended[-1:] for _, outcome, _ in line["attempts"]]


class TestSilentEngine(unittest.TestCase):
    def check_complete(self, answer):
        self.assertEqual((answer.status, answer.complete), (200, True))
        self.assertEqual(answer.body, events(1, 5))

    # Guards against a stream cut at a pause although no retry is left.
    @run_on_sockets
    async def test_stream_that_pauses_is_complete_without_a_retry_left(self):
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(
                deployment, pause_after(2, PAUSE_SECONDS), pause_after(2, PAUSE_SECONDS)
            )
            await deny_retries(await deployment.gateway())
            self.check_complete(await stream(deployment))

    # Guards against a stream cut at a pause although there is no other engine.
    @run_on_sockets
    async def test_stream_that_pauses_is_complete_without_another_engine(self):
        async with run_deployment(stream_configuration(max_attempts=4)) as deployment:
            arrival = FirstArrival(pause_after(2, PAUSE_SECONDS), None)
            await start_engines(deployment, arrival)
            await deployment.gateway()
            self.check_complete(await stream(deployment))
        self.assertEqual(len(arrival.arrived), 1)

    # Guards against a failure though the only engine is about to begin.
    @run_on_sockets
    async def test_stream_of_the_only_engine_may_begin_late(self):
        for budget in (False, True):
            async with run_deployment(stream_configuration()) as deployment:
                await start_engines(deployment, pause_after(0, START_SECONDS))
                gateway = await deployment.gateway()
                if not budget:
                    await deny_retries(gateway)
                self.check_complete(await stream(deployment))

    # Guards against a live stream given up for an engine that does not serve it.
    @run_on_sockets
    async def test_paused_stream_goes_on_if_the_other_engine_does_not_serve_it(self):
        for pause in (0, 2):
            for other in (refuse, break_off, None):
                arrival = FirstArrival(pause_after(pause, PAUSE_SECONDS), other)
                async with run_deployment(stream_configuration()) as deployment:
                    if other is None:
                        await start_engines(deployment, arrival)
                        announce_unreachable(deployment, "engine")
                    else:
                        await start_engines(deployment, arrival, arrival)
                    await deployment.gateway()
                    with self.subTest(pause=pause, other=other):
                        self.check_complete(await stream(deployment))

    # Guards against a live stream given up for a placement that is refused.
    @run_on_sockets
    async def test_paused_stream_goes_on_if_no_placement_is_granted(self):
        async def break_after_one(request, reply):
            await pause_after(1, 0.0, last=1)(request, reply)
            return True

        async def end_within_event(request, reply):
            async def reset_at_end():
                await reply.send_chunk(b"id: 2\nda")
                await anyio.sleep(0.05)
                await reply.reset()

            reply.send_end = reset_at_end
            return await break_after_one(request, reply)

        arrival = FirstArrival(end_within_event, pause_after(3, PAUSE_SECONDS))
        configuration = stream_configuration(max_attempts=4)
        async with run_deployment(configuration) as deployment:
            await start_engines(deployment, arrival, arrival)
            await deployment.gateway()
            self.check_complete(await stream(deployment))
        self.assertEqual(len(arrival.arrived), 2)

    # Guards against an engine that works on beside the one that replaced it.
    @run_on_sockets
    async def test_silent_engine_is_closed_when_another_one_begins(self):
        arrival = FirstArrival(pause_after(2, 6.0), None)
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, arrival, arrival)
            await deployment.gateway()
            self.check_complete(await stream(deployment))
            await wait_until(lambda: arrival.stopped, seconds=REPLACED_SECONDS)
            self.assertEqual(arrival.stopped, arrival.arrived[:1])
            await wait_until(lambda: outcomes(deployment))
            self.assertIn("given up for another", outcomes(deployment))

    # Guards against a stream that is joined from two engines, or that waits for the
    # slower one.
    @run_on_sockets
    async def test_engine_that_goes_on_first_ends_the_other_one(self):
        arrival = FirstArrival(pause_after(2, PAUSE_SECONDS), pause_after(2, 3.0))
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, arrival, arrival)
            await deployment.gateway()
            answer = await stream(deployment)
            self.check_complete(answer)
            await wait_until(lambda: arrival.stopped, seconds=REPLACED_SECONDS)
        self.assertLess(answer.seconds, 2.5)
        self.assertEqual(arrival.stopped, arrival.arrived[1:])

    # Guards against engines that work on after their caller has left.
    @run_on_sockets
    async def test_disconnect_of_the_caller_stops_all_engines(self):
        arrival = FirstArrival(pause_after(2, 6.0), pause_after(2, 6.0))
        async with run_deployment(stream_configuration()) as deployment:
            await start_engines(deployment, arrival, arrival)
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.send("POST", "/stream/", headers=STREAM_HEADERS)
            await wait_until(lambda: len(arrival.arrived) == 2)
            await caller.close()
            await wait_until(lambda: len(arrival.stopped) == 2, seconds=0.5)
            self.assertEqual(gateway.scheduler_client.placed_by, {})
            self.assertEqual(gateway.scheduler.engines.requests, {})
            placed = [e.placed for e in gateway.scheduler.engines.engines.values()]
            self.assertEqual(placed, [{}, {}])

    # Guards against results of stages that are released before a live engine has them.
    @run_on_sockets
    async def test_results_are_kept_until_an_engine_begins(self):
        released_at_start = []

        async def begin_late(request, reply):
            await anyio.sleep(START_SECONDS)
            released_at_start.extend(worker.freed)
            return False

        async def work_until(state):
            await wait_until(lambda: not any(map(state, gateways)))

        headers = STREAM_HEADERS | {"x-chunk-count": "2", "x-chunk-key": "k"}
        stages = [{"service": "rank", "after": [], "size_bytes": 1_000}]
        for other in (refuse, break_off, begin_late):
            arrival = FirstArrival(begin_late, other)
            async with run_deployment(stream_configuration(stages=stages)) as started:
                worker = await started.endpoint(StageEmulator, "s-1", "rank")
                engines = await start_engines(started, arrival, arrival)
                gateways = [await started.gateway() for _ in range(2)]
                for gateway in gateways:
                    await wait_until(lambda g=gateway: len(g.directory.daemons) == 2)
                for number in range(2):
                    arrival.arrived.clear()
                    answer = await started.caller(number).request(
                        "POST", "/stream/", headers=headers
                    )
                    with self.subTest(other=other, gateway=number):
                        self.check_complete(answer)
                        self.assertEqual(len(arrival.arrived), 2)
                        self.assertEqual(released_at_start, [])
                    await wait_until(lambda w=worker: not w.results)
                    worker.freed.clear()
                inputs = {
                    request.headers["x-input-count"]
                    for engine in engines
                    for request in engine.arrivals
                }
                # One set of results for each of the two requests.
                self.assertEqual(len(inputs), 2)
                await work_until(lambda g: g.scheduler.chains)
                await work_until(lambda g: g.scheduler.engines.requests)
                await work_until(lambda g: g.scheduler_client.placed_by)

    # Guards against a silence that can't be told from a replacement in the log.
    @run_on_sockets
    async def test_log_tells_silence_until_the_deadline(self):
        async with run_deployment(stream_configuration(timeout_ms=1_000)) as deployment:
            await start_engines(deployment, pause_after(0, 5.0))
            await deployment.gateway()
            answer = await stream(deployment)
            await wait_until(lambda: outcomes(deployment))
            self.assertEqual(answer.status, 504)
            self.assertEqual(outcomes(deployment), ["silent until the end"])


class TestSilentEndpoint(unittest.TestCase):
    # Guards against a failure though the answer of the only endpoint is on its way.
    @run_on_sockets
    async def test_only_endpoint_may_answer_late(self):
        for budget in (False, True):
            async with run_deployment(plain_configuration()) as deployment:
                await start_plain(deployment, work(START_SECONDS))
                gateway = await deployment.gateway()
                if not budget:
                    await deny_retries(gateway)
                answer = await ask(deployment)
            self.assertEqual((answer.status, answer.body), (200, b"done"))

    # Guards against an answer given up for an endpoint that does not serve the request.
    @run_on_sockets
    async def test_late_answer_counts_if_the_other_endpoint_gives_none(self):
        async def fail(request, reply):
            await reply.send_response(500, {"x-attempt-id": request.attempt_id}, b"no")
            return True

        for other in (refuse, break_off, fail, None):
            arrival = FirstArrival(work(START_SECONDS), other)
            async with run_deployment(plain_configuration()) as deployment:
                if other is None:
                    await start_plain(deployment, arrival)
                    announce_unreachable(deployment, "plain")
                else:
                    await start_plain(deployment, arrival, arrival)
                await deployment.gateway()
                answer = await ask(deployment)
            with self.subTest(other=other):
                self.assertEqual((answer.status, answer.body), (200, b"done"))

    @run_on_sockets
    async def test_first_answer_wins_and_ends_the_other_run(self):
        for seconds in ((4.0, 0.1), (0.8, 4.0)):
            arrival = FirstArrival(*map(work, seconds))
            async with run_deployment(plain_configuration()) as deployment:
                await start_plain(deployment, arrival, arrival)
                await deployment.gateway()
                answer = await ask(deployment)
                await wait_until(lambda a=arrival: a.stopped, seconds=0.5)
            self.assertEqual((answer.status, answer.body), (200, b"done"))
            self.assertLess(answer.seconds, 1.5)

    @run_on_sockets
    async def test_silent_request_runs_at_most_max_attempts_times(self):
        arrival = FirstArrival(work(1.9), work(1.9))
        async with run_deployment(plain_configuration(max_attempts=2)) as deployment:
            await start_plain(deployment, arrival, arrival, arrival)
            await deployment.gateway()
            answer = await ask(deployment)
        self.assertEqual((answer.status, len(arrival.arrived)), (200, 2))

    @run_on_sockets
    async def test_silent_non_idempotent_request_runs_once(self):
        arrival = FirstArrival(work(1.5), work(0.1))
        configuration = plain_configuration(type="non_idempotent", max_attempts=3)
        async with run_deployment(configuration) as deployment:
            await start_plain(deployment, arrival, arrival)
            await deployment.gateway()
            answer = await ask(deployment, "POST")
        self.assertEqual((answer.status, len(arrival.arrived)), (200, 1))

    @run_on_sockets
    async def test_disconnect_of_the_caller_stops_all_endpoints(self):
        async with run_deployment(plain_configuration()) as deployment:
            endpoints = [
                await deployment.endpoint(
                    PlainEmulator, f"i-{number}", "plain", work_seconds=4.0
                )
                for number in range(2)
            ]
            await deployment.gateway()
            caller = deployment.caller()
            await caller.send("GET", "/plain/", headers=KEY)
            await wait_until(lambda: all(endpoint.runs for endpoint in endpoints))
            await caller.close()
            await wait_until(
                lambda: all(endpoint.stopped for endpoint in endpoints), seconds=0.5
            )


if __name__ == "__main__":
    unittest.main()
