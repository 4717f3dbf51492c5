"""Ends of connections by time-outs, and the time that an answer may take.

docs/design/closings.md lists the ways from a request to the end of its connection.
"""

import unittest

import anyio

from currantdyke.emulator import PlainEmulator
from currantdyke.gateway.caller import CallerDisconnectedError
from currantdyke.gateway.tests.connection_builders import (
    KEY,
    ScriptedStream,
    build_connection,
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
    wait_until,
)
from currantdyke.testing.virtual import run_virtual

REQUEST = build_request_bytes()


async def read_after_cancellation():
    """Return what is read if a request arrives as the wait for it is cancelled."""
    stream = ScriptedStream()
    connection = build_connection(stream)
    requests = []

    async def read():
        requests.append(await connection.read_request())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await anyio.sleep(1)
        connection.idle_scope.cancel()
        stream.feed(REQUEST)
    return requests[0]


async def read_at_the_idle_time_out():
    """Return what is read if a request arrives at the end of the idle time-out."""
    stream = ScriptedStream()
    connection = build_connection(stream, idle_timeout=5.0)
    requests = []

    async def read():
        requests.append(await connection.read_request())

    async def feed():
        await anyio.sleep(5.0)
        stream.feed(REQUEST)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        tasks.start_soon(feed)
    return requests[0]


async def close_without_a_request():
    """Return how long the wait for a request lasts beyond its cancellation."""
    connection = build_connection(ScriptedStream(), idle_timeout=5.0)
    request = await connection.read_request()
    return request, anyio.current_time() - 5.0


async def answer_slow_caller(*, seconds_per_write, deadline, process_ends_after=None):
    """Answer a caller that is slow; return the bytes that it got and the seconds."""
    stream = ScriptedStream(seconds_per_write=seconds_per_write)
    connection = build_connection(stream)
    stream.feed(REQUEST)
    await connection.read_request()
    await connection.read_body()
    started = anyio.current_time()
    connection.deadline_at = None if deadline is None else started + deadline
    async with anyio.create_task_group() as tasks:

        async def answer():
            try:
                await connection.answer(200, [], b"whole")
            except CallerDisconnectedError:
                return
            finally:
                seconds.append(anyio.current_time() - started)

        seconds = []
        tasks.start_soon(answer)
        if process_ends_after is not None:
            await anyio.sleep(process_ends_after)
            connection.end_writes()
            tasks.cancel_scope.cancel()
    return stream.written, seconds[0]


class TestIdleConnections(unittest.TestCase):
    # Guards against a request that is closed unanswered because the wait for it was
    # cancelled in the step in which it arrived.
    def test_request_that_arrives_with_the_cancellation_is_read(self):
        request = run_virtual(read_after_cancellation)
        self.assertIsNotNone(request)
        self.assertEqual(request.target, b"/plain/")

    # Guards against the same at the idle time-out.
    def test_request_that_arrives_with_the_idle_time_out_is_read(self):
        self.assertIsNotNone(run_virtual(read_at_the_idle_time_out))

    # Guards against idle connections that outlast their time-out.
    def test_idle_connection_without_a_request_ends_at_its_time_out(self):
        request, beyond = run_virtual(close_without_a_request)
        self.assertIsNone(request)
        self.assertLess(beyond, 0.1)

    # Guards against a request that waits in the socket when its connection is closed as
    # idle.
    @run_on_sockets
    async def test_request_in_the_socket_buffer_is_served(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            for _ in range(10):
                with connect_at_once(gateway.settings.caller_address) as connection:
                    await wait_until(
                        lambda: any(
                            open_connection.idle_scope is not None
                            for open_connection in gateway.caller_server.connections
                        )
                    )
                    send_request(connection, REQUEST)
                    gateway.caller_server.close_idle()
                    status, whole, _ = await read_answer(connection)
                    self.assertEqual((status, whole), (200, True))
                await wait_until(lambda: not gateway.caller_server.connections)

    # Guards against a request that is refused as slow though its last byte is there.
    @run_on_sockets
    async def test_last_byte_at_the_header_time_out_gets_an_answer(self):
        limits = {"header_timeout_ms": 100, "idle_timeout_ms": 15_000}
        document = configuration(1, [plain_route()], limits=limits)
        async with run_deployment(document) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            for step in range(8):
                with connect_at_once(gateway.settings.caller_address) as connection:
                    send_request(connection, REQUEST[:-1])
                    await anyio.sleep(0.096 + 0.001 * step)
                    send_request(connection, REQUEST[-1:])
                    status, whole, _ = await read_answer(connection)
                self.assertIn(status, (200, 408))
                self.assertTrue(whole)


class TestSlowCallers(unittest.TestCase):
    # Guards against a whole answer that is cut for a caller that reads it slowly.
    def test_answer_to_a_slow_caller_may_take_until_its_deadline(self):
        written, _ = run_virtual(answer_slow_caller, seconds_per_write=3, deadline=4)
        self.assertTrue(written.endswith(b"whole"))

    # Guards against the same for an answer that takes longer than any fixed limit.
    def test_answer_that_takes_long_is_written_whole(self):
        written, _ = run_virtual(answer_slow_caller, seconds_per_write=8, deadline=9)
        self.assertTrue(written.endswith(b"whole"))

    # Guards against an answer that is held beyond the time for which its caller waits.
    def test_answer_is_given_up_soon_after_the_deadline(self):
        _, seconds = run_virtual(answer_slow_caller, seconds_per_write=9, deadline=2)
        self.assertLess(seconds, 3.0)

    # Guards against a process that doesn't end because a caller reads slowly.
    def test_end_of_the_process_bounds_a_write(self):
        _, seconds = run_virtual(
            answer_slow_caller,
            seconds_per_write=60,
            deadline=60,
            process_ends_after=1.0,
        )
        self.assertLess(seconds, 2.0)

    # Guards against the same with a caller on a socket.
    @run_on_sockets
    async def test_answer_beyond_the_socket_buffers_reaches_a_slow_caller(self):
        body = b"x" * 6_000_000

        async def answer_at_once(exchange, context):
            await exchange.caller.answer(200, [], body)

        async with run_deployment(
            configuration(1, [plain_route(timeout_ms=8_000)])
        ) as deployment:
            gateway = await deployment.gateway()
            address = gateway.settings.caller_address
            with (
                forward_with(answer_at_once),
                connect_at_once(address, receive_bytes=65_536) as connection,
            ):
                send_request(connection, REQUEST)
                await anyio.sleep(1.0)
                status, whole, read = await read_answer(connection, pause=0.001)
        self.assertEqual((status, whole), (200, True))
        self.assertEqual(len(read), len(body))

    # Guards against an answer that is held until its deadline for a caller that takes
    # nothing; the kernel's time-out for unacknowledged data is 4 s.
    @run_on_sockets
    async def test_answer_to_a_caller_that_takes_nothing_is_given_up(self):
        async def answer_at_once(exchange, context):
            await exchange.caller.answer(200, [], b"x" * 16_000_000)

        document = configuration(1, [plain_route(timeout_ms=30_000)])
        request = REQUEST.replace(b"deadline-ms: 3000", b"deadline-ms: 30000")
        async with run_deployment(document) as deployment:
            gateway = await deployment.gateway()
            server = gateway.caller_server
            address = gateway.settings.caller_address
            with (
                forward_with(answer_at_once),
                connect_at_once(address, receive_bytes=8_192) as connection,
            ):
                send_request(connection, request)
                await wait_until(lambda: server.requests_in_progress)
                await wait_until(lambda: not server.connections, seconds=6.0)

    # Guards against a stream that is given up because its caller pauses.
    @run_on_sockets
    async def test_caller_that_pauses_within_a_long_answer_gets_it_whole(self):
        size = 3_000_000

        async def echo_long(request, reply):
            await reply.send_response(
                200, endpoint.answer_headers(request), b"y" * size
            )
            return True

        route = plain_route(timeout_ms=8_000)
        async with run_deployment(configuration(1, [route])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", handle_first=echo_long
            )
            gateway = await deployment.gateway()
            address = gateway.settings.caller_address
            with connect_at_once(address, receive_bytes=8_192) as connection:
                send_request(connection, REQUEST)
                await anyio.sleep(1.0)
                status, whole, read = await read_answer(connection)
        self.assertEqual((status, whole, len(read)), (200, True, size))

    # Guards against a deadline in the middle of an answer that leaves no trace.
    @run_on_sockets
    async def test_deadline_within_a_long_answer_is_logged(self):
        async def begin(exchange, context):
            await exchange.caller.begin(200, [])
            await exchange.caller.write(b"begun")
            await anyio.sleep_forever()

        document = configuration(1, [plain_route(timeout_ms=200)])
        async with run_deployment(document) as deployment:
            gateway = await deployment.gateway()
            with forward_with(begin):
                answer = await deployment.caller().request(
                    "GET", "/plain/", headers=KEY
                )
            lines = deployment.lines[gateway.settings.name]
        self.assertEqual((answer.status, answer.complete), (200, False))
        reasons = [
            line["reason"] for line in lines if line["event"] == "request_unanswered"
        ]
        self.assertEqual(reasons, ["broken_off"])


if __name__ == "__main__":
    unittest.main()
