import types
import unittest

import anyio

from currantdyke.forward.race import Run
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
    """Response whose data arrives as another run begins to serve the request."""

    facts = types.SimpleNamespace(status=200)
    head = types.SimpleNamespace(headers=[])
    parts_read = 1

    def __init__(self, race):
        self.race = race

    async def read(self):
        assert self.race.claim(self.race.live[1])
        return b"id: 1\ndata: x\n\n"


async def relay_events(caller):
    exchange = types.SimpleNamespace(
        caller=caller,
        runs=1,
        first_event_at=None,
        route=types.SimpleNamespace(may_repeat=True, max_attempts=2),
        facts=types.SimpleNamespace(attempt_id="a"),
    )
    scheduler = types.SimpleNamespace(report_progress=lambda *_, **__: None)
    stream = ForwardedStream(exchange, types.SimpleNamespace(log=None), scheduler)
    race = stream.race
    race.live += [Run(instance="silent"), Run(instance="other")]
    evidence = types.SimpleNamespace(record_data=lambda: None)
    with race.live[0].scope:
        await stream._relay_events(race.live[0], FakeResponse(race), evidence)
    return stream


class TestReplacedRun(unittest.TestCase):
    # Guards against events that come twice or are lost at the change of the engine.
    def test_data_that_arrives_as_another_run_begins_is_not_written(self):
        caller = FakeCaller()
        stream = run_virtual(relay_events, caller)
        self.assertFalse(caller.response_started)
        self.assertEqual(caller.written, b"")
        self.assertIsNone(stream.last_event_id)


if __name__ == "__main__":
    unittest.main()
