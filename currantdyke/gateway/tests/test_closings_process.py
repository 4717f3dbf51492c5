"""Ends of connections when the process stops, or a part of it fails.

docs/design/closings.md lists the ways from a request to the end of its connection.
"""

import os
import pathlib
import signal
import unittest
from unittest import mock

import anyio
import attrs
from expression import Ok

from currantdyke.emulator import EngineEmulator, PlainEmulator
from currantdyke.gateway import caller_server, daemon
from currantdyke.gateway.registration import Registration
from currantdyke.gateway.reload import SettingsFile
from currantdyke.gateway.tests.connection_builders import (
    KEY,
    UnexpectedError,
    build_request_bytes,
    connect_at_once,
    forward_with,
    read_answer,
    send_request,
)
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    stream_route,
    wait_until,
)

REQUEST = build_request_bytes()
# With it, the drain deadline is 0.5 s after the stop.
SHORT_GRACE_SECONDS = 1.5


def shorten_grace(gateway):
    gateway.settings = attrs.evolve(gateway.settings, grace=SHORT_GRACE_SECONDS)


def without_wait_for_rotation():
    """Let a stopping gateway close idle connections at once."""
    return mock.patch.object(daemon, "ROTATION_REMOVAL_SECONDS", 0.0)


def call_at_last_check(function):
    """Call a function as soon as the stopping gateway has found itself idle."""
    is_idle = caller_server.CallerServer.is_idle
    calls = []

    def is_idle_before(server):
        idle = is_idle(server)
        if idle and not calls:
            calls.append(function())
        return idle

    return mock.patch.object(caller_server.CallerServer, "is_idle", is_idle_before)


async def wait_for_end(lines):
    await wait_until(lambda: any(line["event"] == "stopped" for line in lines))


class TestStop(unittest.TestCase):
    # Guards against a request that is cut because it arrives on an open connection
    # between the last check for requests and the end of the process.
    @run_on_sockets
    async def test_request_at_the_last_check_is_answered(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            with connect_at_once(gateway.settings.caller_address) as connection:
                await wait_until(lambda: gateway.caller_server.connections)
                with (
                    without_wait_for_rotation(),
                    call_at_last_check(lambda: send_request(connection, REQUEST)),
                ):
                    gateway.stop_requested.set()
                    status, whole, _ = await read_answer(connection)
                    self.assertEqual((status, whole), (200, True))
                    await wait_for_end(deployment.lines[gateway.settings.name])

    # Guards against the same on a connection that waits to be accepted.
    @run_on_sockets
    async def test_connection_at_the_last_check_is_served(self):
        connections = []

        def connect():
            connection = connect_at_once(gateway.settings.caller_address)
            connections.append(connection)
            send_request(connection, REQUEST)

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            with without_wait_for_rotation(), call_at_last_check(connect):
                gateway.stop_requested.set()
                await wait_until(lambda: connections)
                with connections[0] as connection:
                    status, whole, _ = await read_answer(connection)
        self.assertEqual((status, whole), (200, True))

    # Guards against requests that are cut at the end of the time for draining.
    @run_on_sockets
    async def test_request_in_progress_at_the_drain_deadline_gets_502(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=5.0
            )
            gateway = await deployment.gateway()
            shorten_grace(gateway)
            caller = deployment.caller()
            await caller.send("GET", "/plain/", headers=KEY)
            await wait_until(lambda: endpoint.runs)
            gateway.stop_requested.set()
            with anyio.fail_after(SHORT_GRACE_SECONDS):
                answer = await caller.answer()
                await wait_for_end(deployment.lines[gateway.settings.name])
        self.assertEqual(answer.status, 502)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.headers["connection"], "close")

    # Guards against the same for requests that were not sent, which may be repeated.
    @run_on_sockets
    async def test_unsent_request_at_the_drain_deadline_gets_503(self):
        async def wait(exchange, context):
            await anyio.sleep_forever()

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            gateway = await deployment.gateway()
            shorten_grace(gateway)
            caller = deployment.caller()
            with forward_with(wait):
                await caller.send("POST", "/plain/", headers=KEY)
                await wait_until(lambda: gateway.caller_server.requests_in_progress)
                gateway.stop_requested.set()
                with anyio.fail_after(SHORT_GRACE_SECONDS):
                    answer = await caller.answer()
        self.assertEqual(answer.status, 503)
        self.assertTrue(answer.has_retry_after)

    # Guards against streams that a stopping daemon begins and then has to cut.
    @run_on_sockets
    async def test_late_stream_is_accepted_only_if_it_ends_before_the_process(self):
        routes = [stream_route(timeout_ms=9_000, target_latency_ms=1_000)]
        async with run_deployment(configuration(1, routes)) as deployment:
            await deployment.endpoint(EngineEmulator, "e-1", "engine", events=3)
            gateway = await deployment.gateway()
            callers = [deployment.caller() for _ in range(3)]
            for caller in callers:
                await caller.connect()
            await wait_until(lambda: len(gateway.caller_server.connections) == 3)
            statuses = []
            gateway.stop_requested.set()
            with mock.patch.object(daemon, "ACCEPT_ALL_SECONDS", 0.5):
                for pause, deadline in ((0.1, "9000"), (0.6, "9000"), (0.0, "2000")):
                    await anyio.sleep(pause)
                    headers = KEY | {"x-deadline-ms": deadline}
                    answer = await callers[len(statuses)].request(
                        "POST", "/stream/", headers=headers
                    )
                    statuses.append((answer.status, answer.complete))
        self.assertEqual(statuses, [(200, True), (503, True), (200, True)])

    # From other operators: in a planned stop, requests that came late in the grace
    # were passed on and cut at its end, among them some that may run once only.
    @run_on_sockets
    async def test_late_request_is_passed_on_only_if_it_ends_before_the_process(self):
        route = plain_route(type="non_idempotent", timeout_ms=9_000, max_attempts=1)
        async with run_deployment(configuration(1, [route])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=1.0
            )
            gateway = await deployment.gateway()
            gateway.settings = attrs.evolve(gateway.settings, grace=3.5)
            callers = [deployment.caller() for _ in range(3)]
            for caller in callers:
                await caller.connect()
            await wait_until(lambda: len(gateway.caller_server.connections) == 3)
            answers = []

            async def send(number, pause, deadline):
                await anyio.sleep(pause)
                headers = KEY | {"x-deadline-ms": deadline}
                answer = await callers[number].request(
                    "POST", "/plain/", headers=headers
                )
                answers.append((number, answer.status, answer.complete))

            gateway.stop_requested.set()
            with mock.patch.object(daemon, "ACCEPT_ALL_SECONDS", 0.5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send, 0, 0.1, "9000")
                    tasks.start_soon(send, 1, 0.7, "1600")
                    tasks.start_soon(send, 2, 2.0, "9000")
            runs = len(endpoint.runs)
        expected = [(0, 200, True), (1, 200, True), (2, 503, True)]
        self.assertEqual(sorted(answers), expected)
        self.assertEqual(runs, 2)

    # Guards against a kept connection that closes though no answer said so.
    @run_on_sockets
    async def test_answer_begun_after_the_stop_says_that_the_connection_closes(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=0.3
            )
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.send("GET", "/plain/", headers=KEY)
            await wait_until(lambda: endpoint.runs)
            gateway.stop_requested.set()
            answer = await caller.answer()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get("connection"), "close")


class TestSignals(unittest.TestCase):
    def setUp(self):
        for number in (signal.SIGTERM, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    # Guards against an exit status that tells of a crash because a second signal came
    # as the process ended.
    @run_on_sockets
    async def test_signal_after_the_stop_does_not_end_the_process(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            gateway = deployment.start_gateway()
            gateway.settings_file = SettingsFile(
                path=pathlib.Path("none.yaml"),
                read=lambda path: Ok(gateway.settings),
                current=gateway.settings,
                log=gateway.log,
            )
            await wait_until(lambda: gateway.readiness().status == 200)
            with without_wait_for_rotation():
                signal.raise_signal(signal.SIGTERM)
                await wait_for_end(deployment.lines[gateway.settings.name])
            for number in (signal.SIGTERM, signal.SIGHUP):
                os.kill(os.getpid(), number)

    # As above; the tasks end one after another. The signals are sent to the process, of
    # which any thread may take them (pattern silent).
    @run_on_sockets
    async def test_signal_while_tasks_end_does_not_end_the_process(self):
        async def signal_late():
            try:
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(0.1)
                for number in (signal.SIGTERM, signal.SIGHUP):
                    os.kill(os.getpid(), number)

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            gateway = deployment.start_gateway()
            gateway.settings_file = SettingsFile(
                path=pathlib.Path("none.yaml"),
                read=lambda path: Ok(gateway.settings),
                current=gateway.settings,
                log=gateway.log,
            )
            await wait_until(lambda: gateway.readiness().status == 200)
            gateway.tasks.start_soon(signal_late)
            await anyio.sleep(0.05)
            with without_wait_for_rotation():
                signal.raise_signal(signal.SIGTERM)
                await wait_for_end(deployment.lines[gateway.settings.name])


class TestStart(unittest.TestCase):
    # Guards against callers that are sent to a daemon that refuses their connections.
    @run_on_sockets
    async def test_daemon_is_not_ready_before_it_listens(self):
        create_listener = anyio.create_tcp_listener

        async def create_late(*, local_host, local_port, **options):
            gateways = deployment.gateways
            address = gateways[0].settings.caller_address if gateways else ""
            if f"{local_host}:{local_port}" == address:
                await may_listen.wait()
            return await create_listener(
                local_host=local_host, local_port=local_port, **options
            )

        may_listen = anyio.Event()
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            with mock.patch.object(anyio, "create_tcp_listener", create_late):
                gateway = deployment.start_gateway()
                await wait_until(lambda: gateway.directory.complete)
                before = gateway.readiness().status
                may_listen.set()
                await wait_until(lambda: gateway.readiness().status == 200)
            answer = await deployment.caller().request("GET", "/none/", headers=KEY)
        self.assertEqual(before, 503)
        self.assertEqual(answer.status, 404)


class TestFailingParts(unittest.TestCase):
    # Guards against a background task whose failure ends the process and cuts all
    # requests.
    @run_on_sockets
    async def test_failing_background_task_is_started_again(self):
        starts = []

        async def fail(registration):
            starts.append(registration)
            raise UnexpectedError

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            with mock.patch.object(Registration, "run", fail):
                gateway = await deployment.gateway()
                await wait_until(lambda: len(starts) > 1)
                answer = await deployment.caller().request(
                    "GET", "/plain/", headers=KEY
                )
            lines = deployment.lines[gateway.settings.name]
        self.assertEqual(answer.status, 200)
        self.assertIn("internal_error", {line["event"] for line in lines})

    # Guards against a single task, such as the withdrawal of a stopping daemon, whose
    # failure cuts all requests.
    @run_on_sockets
    async def test_failing_withdrawal_does_not_affect_requests(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=0.3
            )
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.send("GET", "/plain/", headers=KEY)
            await wait_until(lambda: endpoint.runs)
            with mock.patch.object(
                Registration, "withdraw", side_effect=UnexpectedError
            ):
                gateway.stop_requested.set()
                answer = await caller.answer()
        self.assertEqual(answer.status, 200)

    # Guards against an error at one connection that ends all connections.
    @run_on_sockets
    async def test_failing_connection_does_not_affect_others(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=0.2
            )
            await deployment.gateway()
            caller = deployment.caller()
            await caller.send("GET", "/plain/", headers=KEY)
            await wait_until(lambda: endpoint.runs)
            with mock.patch.object(
                caller_server, "set_socket_options", side_effect=UnexpectedError
            ):
                self.assertEqual(await deployment.caller().raw(b"GET"), b"")
            answer = await caller.answer()
            after = await deployment.caller().request("GET", "/plain/", headers=KEY)
        self.assertEqual((answer.status, after.status), (200, 200))

    # Guards against an error of accepting a connection that ends all connections.
    @run_on_sockets
    async def test_failing_accept_does_not_affect_requests(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=0.2
            )
            await deployment.gateway()
            caller = deployment.caller()
            await caller.send("GET", "/plain/", headers=KEY)
            await wait_until(lambda: endpoint.runs)
            loop_class = type(anyio.lowlevel.current_token().native_token)
            accept = loop_class.sock_accept
            failures = [ConnectionAbortedError(103, "aborted")]

            async def fail_once(loop, listener):
                accepted = await accept(loop, listener)
                if failures:
                    accepted[0].close()
                    raise failures.pop()
                return accepted

            with mock.patch.object(loop_class, "sock_accept", fail_once):
                for _ in range(2):
                    await deployment.caller().raw(b"")
            answer = await caller.answer()
            after = await deployment.caller().request("GET", "/plain/", headers=KEY)
        self.assertEqual((answer.status, after.status), (200, 200))


if __name__ == "__main__":
    unittest.main()
