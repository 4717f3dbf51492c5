import contextlib
import math
import socket
import unittest

import anyio
import h11

from currantdyke.catalog import CallerLimits
from currantdyke.gateway.caller import (
    FINAL_WRITE_SECONDS,
    WRITE_TIMEOUT_SECONDS,
    CallerConnection,
    CallerDisconnectedError,
)
from currantdyke.testing.gateways import run_on_sockets
from currantdyke.testing.virtual import run_virtual

REQUEST = b"GET / HTTP/1.1\r\nhost: one.example\r\n\r\n"
SLOW_BYTES_PER_SECOND = 200_000
# Takes a slow caller five seconds.
LARGE_BODY = bytes(1_000_000)
SOCKET_BODY_BYTES = 4_000_000
SLOW_SOCKET_BYTES_PER_SECOND = 1_000_000


class StalledStream:
    """Delivers one request and accepts no bytes."""

    def __init__(self):
        self.unread = [REQUEST]

    async def receive(self, max_bytes=65_536):
        if not self.unread:
            await anyio.sleep_forever()
        return self.unread.pop()

    async def send(self, data):
        await anyio.sleep_forever()


async def answer_stalled_caller():
    connection = CallerConnection(stream=StalledStream(), limits=CallerLimits())
    await connection.read_request()
    await connection.read_body()
    started = anyio.current_time()
    try:
        await connection.answer(200, [], b"whole")
    except CallerDisconnectedError:
        return anyio.current_time() - started, connection
    return None, connection


class TestStalledCaller(unittest.TestCase):
    def test_answer_to_a_stalled_caller_fails_within_a_second(self):
        seconds, connection = run_virtual(answer_stalled_caller)
        self.assertIsNotNone(seconds, "the answer was reported as written")
        self.assertLess(seconds, 1.0)
        self.assertIs(connection.http.state.our_state, h11.DONE)


class SlowStream(StalledStream):
    """Accepts bytes at the pace of a slow caller, up to a limit."""

    def __init__(self, limit=math.inf):
        super().__init__()
        self.limit = limit
        self.accepted = 0
        self.raw_socket = socket.socket()

    async def send(self, data):
        if self.accepted + len(data) > self.limit:
            await anyio.sleep_forever()
        await anyio.sleep(len(data) / SLOW_BYTES_PER_SECOND)
        self.accepted += len(data)

    def extra(self, attribute):
        return self.raw_socket

    async def aclose(self):
        self.raw_socket.close()


async def send_to_slow_caller(send, stream):
    """Return the seconds of a write, and whether the caller counted as lost."""
    connection = CallerConnection(stream=stream, limits=CallerLimits())
    await connection.read_request()
    await connection.read_body()
    started = anyio.current_time()
    lost = False
    try:
        await send(connection)
    except CallerDisconnectedError:
        lost = True
    seconds = anyio.current_time() - started
    await stream.aclose()
    return seconds, lost


async def answer_after_deadline(connection):
    with anyio.CancelScope(deadline=anyio.current_time() + 0.1):
        await connection.answer(200, [], LARGE_BODY)


async def write_large_part(connection):
    await connection.begin(200, [])
    await connection.write(LARGE_BODY)
    await connection.write(LARGE_BODY)
    await connection.finish()


async def answer_at_the_end_of_the_process(connection):
    """Answer as `CallerServer` does, and cancel everything after a second."""

    async def serve():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.cancel_on_disconnect, tasks.cancel_scope)
            with contextlib.suppress(CallerDisconnectedError):
                await connection.answer(200, [], LARGE_BODY)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as process:
        process.start_soon(serve)
        await anyio.sleep(1.0)
        process.cancel_scope.cancel()


class TestSlowCaller(unittest.TestCase):
    # Guards against a ready answer that is cut because it takes its caller some time.
    def test_caller_that_reads_slowly_gets_the_whole_answer_after_its_deadline(self):
        stream = SlowStream()
        seconds, lost = run_virtual(send_to_slow_caller, answer_after_deadline, stream)
        self.assertFalse(lost, f"{stream.accepted} bytes were sent")
        self.assertGreater(stream.accepted, len(LARGE_BODY))
        self.assertGreater(seconds, 5.0)

    def test_caller_that_stops_reading_midway_counts_as_lost(self):
        stream = SlowStream(limit=len(LARGE_BODY) // 2)
        seconds, lost = run_virtual(send_to_slow_caller, answer_after_deadline, stream)
        self.assertTrue(lost)
        accepted_at = stream.accepted / SLOW_BYTES_PER_SECOND
        self.assertAlmostEqual(seconds, accepted_at + FINAL_WRITE_SECONDS)

    # Guards against a part of a body that is cut because it is large.
    def test_caller_that_reads_slowly_gets_large_parts_of_a_body(self):
        stream = SlowStream()
        seconds, lost = run_virtual(send_to_slow_caller, write_large_part, stream)
        self.assertFalse(lost, f"{stream.accepted} bytes were sent")
        self.assertGreater(seconds, 2 * WRITE_TIMEOUT_SECONDS)

    # Guards against a process that is killed while it writes to a slow caller.
    def test_slow_caller_delays_the_end_of_the_process_by_the_final_write_only(self):
        for read_ahead in (b"", bytes(70_000)):
            with self.subTest(read_ahead=len(read_ahead)):
                stream = SlowStream()
                if read_ahead:
                    stream.unread.insert(0, read_ahead)
                seconds, _ = run_virtual(
                    send_to_slow_caller, answer_at_the_end_of_the_process, stream
                )
                self.assertAlmostEqual(seconds, 1.0 + FINAL_WRITE_SECONDS)


async def read_slowly(port, received):
    """Read an answer slowly, over a small receive buffer."""
    with socket.socket() as raw:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        raw.setblocking(False)
        try:
            raw.connect(("127.0.0.1", port))
        except BlockingIOError:
            await anyio.wait_writable(raw)
        raw.send(REQUEST)
        while True:
            await anyio.wait_readable(raw)
            data = raw.recv(65_536)
            if not data:
                return
            received.append(data)
            await anyio.sleep(len(data) / SLOW_SOCKET_BYTES_PER_SECOND)


class TestSlowCallerOnSockets(unittest.TestCase):
    # Guards against a caller that counts as stalled while the kernel's buffer drains.
    @run_on_sockets
    async def test_caller_with_a_small_receive_buffer_gets_the_whole_answer(self):
        received = []
        errors = []
        body = bytes(SOCKET_BODY_BYTES)

        async def serve(stream):
            async with stream:
                connection = CallerConnection(stream=stream, limits=CallerLimits())
                await connection.read_request()
                await connection.read_body()
                try:
                    with anyio.CancelScope(deadline=anyio.current_time() + 0.1):
                        await connection.answer(200, [], body)
                except CallerDisconnectedError as error:
                    errors.append(error)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            await read_slowly(port, received)
            tasks.cancel_scope.cancel()
        self.assertEqual(errors, [])
        self.assertEqual(len(b"".join(received).partition(b"\r\n\r\n")[2]), len(body))
        self.assertGreater(anyio.current_time() - started, 1.0)


if __name__ == "__main__":
    unittest.main()
