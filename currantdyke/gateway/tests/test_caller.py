import unittest

import anyio
import h11

from currantdyke.catalog import CallerLimits
from currantdyke.gateway.caller import CallerConnection, CallerDisconnectedError
from currantdyke.testing.virtual import run_virtual

REQUEST = b"GET / HTTP/1.1\r\nhost: one.example\r\n\r\n"


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


if __name__ == "__main__":
    unittest.main()
