import socket
import unittest

import anyio
import h11

from currantdyke.catalog import Endpoint
from currantdyke.forward.connections import EndpointConnections, IdleConnection
from currantdyke.http1 import Http1Connection
from currantdyke.testing import run_virtual

CLOSE_SECONDS = 0.1
ENDPOINT = Endpoint(
    instance="i-1", service="engine", address="127.0.0.1:1", availability_zone="a"
)


class SlowToCloseConnection:
    """Connection whose close takes some time, as on a busy socket."""

    def __init__(self):
        self.closed = False

    def is_quiet(self):
        return not self.closed

    async def close(self):
        await anyio.sleep(CLOSE_SECONDS)
        self.closed = True


def idle(connection, since):
    return IdleConnection(connection=connection, idle_since=since, idle_timeout=1.0)


async def acquire_during_close_stale(since):
    """Acquire a connection while stale ones of its endpoint are being closed."""
    pool = EndpointConnections()
    made = [SlowToCloseConnection() for _ in since]
    now = anyio.current_time()
    pool.idle[ENDPOINT.instance] = [
        idle(connection, now + at) for connection, at in zip(made, since, strict=True)
    ]
    taken = []

    async def acquire():
        taken.append(await pool.acquire(ENDPOINT, once=False))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire)
        tasks.start_soon(pool.close_stale)
    kept = [entry.connection for entry in pool.idle.get(ENDPOINT.instance, [])]
    return made, taken, kept


class TestAcquireDuringClose(unittest.TestCase):
    def test_acquired_connection_is_not_kept_as_idle(self):
        for since in ([0.0, -5.0], [0.0, 0.0, -5.0, -5.0], [-5.0, 0.0]):
            with self.subTest(since=since):
                made, taken, kept = run_virtual(acquire_during_close_stale, since)
                self.assertEqual(len(taken), 1)
                self.assertFalse(taken[0].closed)
                self.assertNotIn(taken[0], kept)
                for connection, at in zip(made, since, strict=True):
                    self.assertEqual(connection.closed, at < 0)


class TestIsQuiet(unittest.TestCase):
    def test_closed_connection_is_not_quiet(self):
        async def scenario():
            listening = socket.create_server(("127.0.0.1", 0))
            with listening:
                stream = await anyio.connect_tcp(*listening.getsockname())
                connection = Http1Connection(stream=stream, role=h11.CLIENT)
                before = connection.is_quiet()
                await connection.close()
                return before, connection.is_quiet()

        self.assertEqual(anyio.run(scenario), (True, False))


if __name__ == "__main__":
    unittest.main()
