import types
import unittest

import anyio

from currantdyke.forward.stream import ForwardedStream
from currantdyke.testing.virtual import run_virtual


class FakeCaller:
    def __init__(self):
        self.response_started = False
        self.written = b""

    async def begin(self, status, headers):
        self.response_started = True
        await anyio.sleep(0)

    async def write(self, data):
        await anyio.sleep(0)
        self.written += data


class FakeResponse:
    """Response whose data arrives as the time-out of the wait for it expires."""

    facts = types.SimpleNamespace(status=200)
    head = types.SimpleNamespace(headers=[])

    def __init__(self, timeout_scope):
        self.timeout_scope = timeout_scope

    async def read(self):
        self.timeout_scope.cancel()
        return b"id: 1\ndata: x\n\n"


async def relay_events(caller):
    exchange = types.SimpleNamespace(
        caller=caller,
        runs=1,
        first_event_at=None,
        route=types.SimpleNamespace(may_repeat=True, max_attempts=2),
        facts=types.SimpleNamespace(attempt_id="a"),
    )
    scheduler = types.SimpleNamespace(report_progress=lambda attempt_id, kind: None)
    stream = ForwardedStream(exchange, types.SimpleNamespace(), scheduler)
    with anyio.CancelScope() as timeout_scope:
        await stream._relay_events(FakeResponse(timeout_scope), timeout_scope)
    return stream


class TestSilenceTimeout(unittest.TestCase):
    def test_data_that_arrives_with_the_time_out_is_not_written(self):
        caller = FakeCaller()
        stream = run_virtual(relay_events, caller)
        self.assertFalse(caller.response_started)
        self.assertEqual(caller.written, b"")
        self.assertIsNone(stream.last_event_id)


if __name__ == "__main__":
    unittest.main()
