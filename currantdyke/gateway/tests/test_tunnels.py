import unittest

import anyio

from currantdyke.emulator import EngineEmulator, PlainEmulator
from currantdyke.emulator.endpoints import EndpointEmulator
from currantdyke.gateway.tests.builders import (
    KEY,
    STREAM_HEADERS,
    answer_unframed,
    plain_configuration,
    stream_configuration,
    work,
)
from currantdyke.gateway.tests.limit_builders import send_load, start_gateways
from currantdyke.testing.gateways import run_deployment, run_on_sockets, wait_until
from currantdyke.testing.throttle import Cut

# The users' bound on the time until an endpoint stops working for a caller that left.
GONE_SECONDS = 0.5
NOTICE_SECONDS = 0.5


async def start_cut_off(deployment, *, gateways=2, cut=Cut.RESET):
    """Start gateways, and cut all but the last one off from the endpoints.

    Returns
    -------
    list of GatewayDaemon
        Those that are cut off.
    """
    deployment.may_cut = True
    await start_gateways(deployment, gateways)
    cut_off = deployment.gateways[:-1]
    deployment.cut_off(cut_off, cut)
    return cut_off


def events_of(deployment, gateway):
    return [line["event"] for line in deployment.lines[gateway.settings.name]]


class TestAnswers(unittest.TestCase):
    async def answer_through_tunnel(self, handler):
        async with run_deployment(plain_configuration()) as deployment:
            await deployment.endpoint(
                PlainEmulator, "plain-0", "plain", handle_first=handler
            )
            await start_cut_off(deployment)
            return await deployment.caller().request("GET", "/plain/", headers=KEY)

    # A body without a length ends with its connection, also through a tunnel,
    @run_on_sockets
    async def test_answer_that_ends_with_its_connection_is_whole(self):
        answer = await self.answer_through_tunnel(answer_unframed(b"abc", whole=True))
        self.assertEqual((answer.status, answer.body), (200, b"abc"))
        self.assertTrue(answer.complete)

    # and one that is broken off must not look complete.
    @run_on_sockets
    async def test_answer_that_is_reset_is_not_whole(self):
        answer = await self.answer_through_tunnel(answer_unframed(b"abc", whole=False))
        self.assertIn(answer.status, (502, 504))

    # The kernel ends the connections of a killed process like those of a sound one.
    @run_on_sockets
    async def test_answer_is_not_whole_if_the_other_daemon_is_killed(self):
        async def begin(request, reply):
            await reply.send_undelimited_head(
                200,
                {
                    "x-attempt-id": request.attempt_id,
                    "x-server-signature": "signed.plain-0",
                },
            )
            await reply.send_raw(b"abc")
            await anyio.sleep_forever()

        async with run_deployment(plain_configuration()) as deployment:
            await deployment.endpoint(
                PlainEmulator, "plain-0", "plain", handle_first=begin
            )
            await start_cut_off(deployment)
            other = deployment.gateways[-1]
            caller = deployment.caller()
            await caller.send("POST", "/plain/", headers=KEY)
            await wait_until(lambda: other.tunnels.open == 1)
            await anyio.sleep(0.2)
            other.tasks.cancel_scope.cancel()
            answer = await caller.answer()
        self.assertIn(answer.status, (502, 504))

    @run_on_sockets
    async def test_events_arrive_one_by_one(self):
        async with run_deployment(stream_configuration()) as deployment:
            await deployment.endpoint(
                EngineEmulator, "engine-0", "engine", event_seconds=0.2
            )
            await start_cut_off(deployment)
            caller = deployment.caller()
            await caller.send("POST", "/stream/", headers=STREAM_HEADERS)
            started = anyio.current_time()
            answer = await caller.first_events(2)
            seconds = anyio.current_time() - started
        self.assertEqual(answer.body.count(b"data"), 2)
        self.assertLess(seconds, 0.6)


class TestRules(unittest.TestCase):
    # A request that may run once is never sent on two paths.
    @run_on_sockets
    async def test_request_that_runs_once_runs_once(self):
        document = plain_configuration(type="non_idempotent")
        for cut in Cut:
            with self.subTest(cut=cut):
                async with run_deployment(document) as deployment:
                    endpoint = await deployment.endpoint(
                        PlainEmulator, "plain-0", "plain"
                    )
                    await start_cut_off(deployment, gateways=3, cut=cut)
                    answers = await send_load(
                        deployment, "/plain/", rate=20.0, seconds=1.0
                    )
                self.assertEqual({answer.status for answer in answers}, {200})
                self.assertEqual(len(endpoint.runs), len(set(endpoint.runs)))

    # A caller that leaves ends the run behind the tunnel.
    @run_on_sockets
    async def test_run_ends_when_its_caller_leaves(self):
        async with run_deployment(stream_configuration()) as deployment:
            engine = await deployment.endpoint(
                EngineEmulator, "engine-0", "engine", event_seconds=1.0
            )
            await start_cut_off(deployment)
            caller = deployment.caller()
            await caller.send("POST", "/stream/", headers=STREAM_HEADERS)
            await caller.first_events(1)
            with anyio.move_on_after(GONE_SECONDS):
                await wait_until(lambda: engine.stopped)
            stopped = list(engine.stopped)
        self.assertEqual(len(stopped), 1)

    # A daemon that stops finishes the answers that go through it.
    @run_on_sockets
    async def test_stop_of_the_other_daemon_cuts_nothing(self):
        async with run_deployment(plain_configuration()) as deployment:
            await deployment.endpoint(
                PlainEmulator, "plain-0", "plain", handle_first=work(2.0)
            )
            await start_cut_off(deployment, gateways=3)
            other = deployment.gateways[-1]
            caller = deployment.caller()
            await caller.send("POST", "/plain/", headers=KEY)
            await wait_until(lambda: other.tunnels.open == 1)
            other.stop_requested.set()
            answer = await caller.answer()
        self.assertEqual((answer.status, answer.body), (200, b"done"))

    # A daemon sends nothing to an endpoint that it knows to leave, for whomever.
    @run_on_sockets
    async def test_no_tunnel_leads_to_an_endpoint_that_leaves(self):
        async with run_deployment(plain_configuration()) as deployment:
            leaving = await deployment.endpoint(PlainEmulator, "plain-0", "plain")
            [cut_off] = await start_cut_off(deployment)
            deployment.gateways[-1].directory.endpoints.mark_leaving("plain-0", 1)
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
        self.assertEqual((answer.status, leaving.arrivals), (503, []))
        self.assertTrue(answer.has_retry_after)

    # An endpoint that asks its sender for a pause means the daemon with the connection.
    @run_on_sockets
    async def test_pause_binds_the_daemon_that_the_tunnel_leads_through(self):
        async with run_deployment(plain_configuration()) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "plain-0", "plain", retry_after="3"
            )
            await start_cut_off(deployment)
            await deployment.caller().request("GET", "/plain/", headers=KEY)
            await anyio.sleep(NOTICE_SECONDS)
            before = len(endpoint.arrivals)
            answer = await deployment.caller(1).request("GET", "/plain/", headers=KEY)
        self.assertEqual((answer.status, before), (503, len(endpoint.arrivals)))
        self.assertGreater(float(answer.headers["retry-after"]), 1.0)

    # Two daemons that are both cut off must not send each other in a circle.
    @run_on_sockets
    async def test_request_is_refused_at_once_if_nobody_reaches_the_endpoints(self):
        async with run_deployment(plain_configuration()) as deployment:
            for number in range(2):
                await deployment.endpoint(PlainEmulator, f"plain-{number}", "plain")
            await start_cut_off(deployment, gateways=3)
            deployment.cut_off(deployment.gateways, Cut.RESET)
            answers = await send_load(deployment, "/plain/", rate=10.0, seconds=2.0)
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertLess(max(answer.seconds for answer in answers), 1.0)


class TestViews(unittest.TestCase):
    # Issue 32: what a cut off daemon says of endpoints made others give them up.
    @run_on_sockets
    async def test_daemon_that_is_cut_off_reports_no_crash(self):
        for cut in Cut:
            with self.subTest(cut=cut):
                async with run_deployment(plain_configuration()) as deployment:
                    for number in range(3):
                        await deployment.endpoint(
                            PlainEmulator, f"plain-{number}", "plain"
                        )
                    deployment.may_cut = True
                    await start_gateways(deployment, 6)
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(self.send_for_three_seconds, deployment)
                        await anyio.sleep(1.0)
                        deployment.cut_off(deployment.gateways[:5], cut)
                    crashed = [
                        line
                        for gateway in deployment.gateways
                        for line in deployment.lines[gateway.settings.name]
                        if line["event"] == "endpoint_crashed"
                    ]
                self.assertEqual(crashed, [])

    async def send_for_three_seconds(self, deployment):
        await send_load(deployment, "/plain/", rate=30.0, seconds=3.0)

    # A crash is still told from a cut, by the first daemon that loses a run.
    @run_on_sockets
    async def test_crash_is_reported_beside_a_cut(self):
        async with run_deployment(plain_configuration(max_attempts=1)) as deployment:
            crashing, _ = [
                await deployment.endpoint(PlainEmulator, f"plain-{n}", "plain")
                for n in range(2)
            ]
            cut_off = await start_cut_off(deployment, gateways=3)
            crashing.handle_first = crash(crashing)
            await send_load(deployment, "/plain/", rate=20.0, seconds=1.5)
            reported = [
                gateway
                for gateway in deployment.gateways
                if "endpoint_crashed" in events_of(deployment, gateway)
            ]
        self.assertTrue(reported)
        self.assertEqual(len(cut_off), 2)

    @run_on_sockets
    async def test_end_of_the_cut_is_found_without_requests(self):
        async with run_deployment(plain_configuration()) as deployment:
            for number in range(3):
                await deployment.endpoint(PlainEmulator, f"plain-{number}", "plain")
            [cut_off] = await start_cut_off(deployment)
            await send_load(deployment, "/plain/", rate=20.0, seconds=0.5)
            self.assertTrue(cut_off.paths.cut_off)
            deployment.cut_off([cut_off], None)
            await wait_until(lambda: not cut_off.paths.cut_off, seconds=2.0)
            before = cut_off.paths.tunnels.opened
            await send_load(deployment, "/plain/", rate=20.0, seconds=1.0)
            tunnels = cut_off.paths.tunnels.opened - before
        self.assertEqual(tunnels, 0)
        lines = events_of(deployment, cut_off)
        self.assertEqual(
            (lines.count("cut_off"), lines.count("reaches_endpoints")), (1, 1)
        )

    # Only what is cut off takes the long way.
    @run_on_sockets
    async def test_endpoints_that_are_reached_are_used_directly(self):
        async with run_deployment(plain_configuration()) as deployment:
            deployment.may_cut = True
            for number in range(3):
                await deployment.endpoint(PlainEmulator, f"plain-{number}", "plain")
            await start_gateways(deployment, 2)
            partly = deployment.gateways[0]
            deployment.links[partly.settings.name].set_cut(
                Cut.RESET, {deployment.endpoint_ports[0]}
            )
            answers = await send_load(deployment, "/plain/", rate=20.0, seconds=2.0)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertFalse(partly.paths.cut_off)

    # A fleet without cuts pays nothing.
    @run_on_sockets
    async def test_no_daemon_is_asked_while_all_reach_the_endpoints(self):
        async with run_deployment(plain_configuration()) as deployment:
            for number in range(3):
                await deployment.endpoint(PlainEmulator, f"plain-{number}", "plain")
            await start_gateways(deployment, 3)
            await send_load(deployment, "/plain/", rate=40.0, seconds=1.5)
            opened = sum(g.paths.tunnels.opened for g in deployment.gateways)
            served = sum(g.tunnels.served for g in deployment.gateways)
        self.assertEqual((opened, served), (0, 0))


def crash(endpoint: EndpointEmulator):
    """Return a handler at whose first request an endpoint crashes."""

    async def handle(request, reply):
        endpoint.crash()
        await anyio.sleep_forever()

    return handle


if __name__ == "__main__":
    unittest.main()
