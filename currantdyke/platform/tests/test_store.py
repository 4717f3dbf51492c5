import unittest
from unittest import mock

import anyio

from currantdyke.platform.store import StoreClient, StoreUnavailableError
from currantdyke.platform.tests.builders import (
    ScriptedStream,
    chunked_head,
    head,
    watch_answer,
)
from currantdyke.testing.virtual import run_virtual

WATCH_WAIT_SECONDS = 0.5


async def run_call(parts, call):
    """Return the client, the result or error of a call, and its seconds."""
    stream = ScriptedStream(parts)
    client = StoreClient(address="127.0.0.1:1")
    started = anyio.current_time()
    with mock.patch.object(anyio, "connect_tcp", mock.AsyncMock(return_value=stream)):
        try:
            result = await call(client)
        except StoreUnavailableError as error:
            result = error
    seconds = anyio.current_time() - started
    await client.close()
    await stream.aclose()
    return client, result, seconds


async def watch(client):
    return await client.watch(1, WATCH_WAIT_SECONDS)


class TestFailedCall(unittest.TestCase):
    # Guards against "TimeoutError" as the only reason of a store_lost line.
    def test_reason_says_how_far_the_call_came(self):
        body = watch_answer(1_000)
        half = len(body) // 2
        cases = {
            "no answer after 2.00 s: TimeoutError": [],
            f"incomplete answer after 2.00 s, {half} of {len(body)} bytes: "
            "TimeoutError": [(0.0, head(body)), (0.0, body[:half])],
            "incomplete answer after 2.00 s, 4 bytes: TimeoutError": [
                (0.0, chunked_head()),
                (0.0, b"4\r\n1234\r\n"),
            ],
        }
        for reason, parts in cases.items():
            with self.subTest(reason):
                _, error, _ = run_virtual(run_call, parts, watch)
                self.assertEqual(str(error), reason)

    def test_reason_names_a_connection_that_could_not_be_opened(self):
        async def call():
            client = StoreClient(address="127.0.0.1:1")
            refused = mock.AsyncMock(side_effect=ConnectionRefusedError("refused"))
            with (
                mock.patch.object(anyio, "connect_tcp", refused),
                self.assertRaises(StoreUnavailableError) as caught,
            ):
                await watch(client)
            return str(caught.exception)

        self.assertEqual(run_virtual(call), "no connection after 0.00 s: refused")


if __name__ == "__main__":
    unittest.main()
