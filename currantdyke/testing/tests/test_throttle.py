import unittest

import anyio
import anyio.abc

from currantdyke.http1 import set_socket_options
from currantdyke.testing.gateways import loopback_ip, run_on_sockets
from currantdyke.testing.throttle import (
    Bandwidth,
    limit_bandwidth,
    throttle_connections,
)

BYTES_PER_SECOND = 200_000
SIZE = 50_000
TRANSFER_SECONDS = SIZE / BYTES_PER_SECOND
LOCAL_HOST = loopback_ip(150)


async def serve_bytes(*, task_status):
    """Send SIZE bytes to each client, and then all that it sends."""

    async def serve(stream):
        async with stream:
            await stream.send(b"x" * SIZE)
            try:
                while True:
                    await stream.send(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener:
        task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
        await listener.serve(serve)


async def receive_size(stream, size):
    received = 0
    while received < size:
        received += len(await stream.receive())


async def transfer(port, seconds):
    """Receive SIZE bytes from the server; append how long it took."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        started = anyio.current_time()
        await receive_size(stream, SIZE)
        seconds.append(anyio.current_time() - started)


async def echo(port, seconds):
    """Receive SIZE bytes from the server, and send as many; append the time."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await receive_size(stream, SIZE)
        started = anyio.current_time()
        await stream.send(b"y" * SIZE)
        seconds.append(anyio.current_time() - started)


class TestThrottle(unittest.TestCase):
    @run_on_sockets
    async def test_connections_share_the_bandwidth_of_their_link(self):
        seconds = []
        bandwidth = Bandwidth(bytes_per_second=BYTES_PER_SECOND, local_host=LOCAL_HOST)
        with throttle_connections():
            async with anyio.create_task_group() as server:
                port = await server.start(serve_bytes)
                with limit_bandwidth(bandwidth):
                    async with anyio.create_task_group() as clients:
                        clients.start_soon(transfer, port, seconds)
                        clients.start_soon(transfer, port, seconds)
                server.cancel_scope.cancel()
        self.assertGreater(max(seconds), 2 * TRANSFER_SECONDS * 0.8)
        # Neither connection waits until the other one has ended.
        self.assertGreater(min(seconds), 1.5 * TRANSFER_SECONDS)

    @run_on_sockets
    async def test_sending_uses_the_bandwidth_too(self):
        seconds = []
        bandwidth = Bandwidth(bytes_per_second=BYTES_PER_SECOND, local_host=LOCAL_HOST)
        with throttle_connections():
            async with anyio.create_task_group() as server:
                port = await server.start(serve_bytes)
                with limit_bandwidth(bandwidth):
                    await echo(port, seconds)
                server.cancel_scope.cancel()
        self.assertGreater(seconds[0], TRANSFER_SECONDS * 0.8)

    @run_on_sockets
    async def test_connections_of_other_tasks_are_not_limited(self):
        seconds = []
        bandwidth = Bandwidth(bytes_per_second=1.0, local_host=LOCAL_HOST)
        with throttle_connections():
            async with anyio.create_task_group() as server:
                port = await server.start(serve_bytes)
                with limit_bandwidth(bandwidth):
                    pass
                await transfer(port, seconds)
                server.cancel_scope.cancel()
        self.assertLess(seconds[0], TRANSFER_SECONDS)

    @run_on_sockets
    async def test_stream_has_the_socket_and_comes_from_the_given_address(self):
        bandwidth = Bandwidth(bytes_per_second=BYTES_PER_SECOND, local_host=LOCAL_HOST)
        with throttle_connections():
            async with anyio.create_task_group() as server:
                port = await server.start(serve_bytes)
                with limit_bandwidth(bandwidth):
                    stream = await anyio.connect_tcp("127.0.0.1", port)
                    set_socket_options(stream)
                    local = stream.extra(anyio.abc.SocketAttribute.local_address)
                    await stream.aclose()
                server.cancel_scope.cancel()
        self.assertEqual(local[0], LOCAL_HOST)


if __name__ == "__main__":
    unittest.main()
