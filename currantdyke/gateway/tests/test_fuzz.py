import random
import re
import unittest

import anyio

from currantdyke.emulator import PlainEmulator
from currantdyke.testing.gateways import (
    configuration,
    over_sockets,
    plain_route,
    run_deployment,
)

SEED = 20
CASES = 240
AT_ONCE = 24
QUIET_SECONDS = 0.4
MOST_REQUESTS = 3
ANSWER = re.compile(rb"HTTP/1\.1 (\d{3}) ")
HEAD = (
    b"POST /plain/%d HTTP/1.1\r\nhost: one.example\r\nauthorization: Token k1\r\n"
    b"x-attempt-id: f%d\r\nx-deadline-ms: 2000\r\n"
)
FRAMINGS = (
    b"content-length: 4\r\n\r\nbody",
    b"content-length: 4\r\ncontent-length: 4\r\n\r\nbody",
    b"content-length: 4\r\ncontent-length: 5\r\n\r\nbody",
    b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"transfer-encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
    b"transfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"content-length: -4\r\n\r\nbody",
    b"content-length: 4, 4\r\n\r\nbody",
    b"content-length: +4\r\n\r\nbody",
    b"host: two.example\r\ncontent-length: 4\r\n\r\nbody",
    b" folded: 1\r\ncontent-length: 4\r\n\r\nbody",
    b"expect: 100-continue\r\ncontent-length: 4\r\n\r\nbody",
    b"connection: close\r\ncontent-length: 4\r\n\r\nbody",
    b"\r\n",
)


def mutated(source: random.Random, data: bytes) -> bytes:
    """Change, drop or double a few bytes."""
    changed = bytearray(data)
    for _ in range(source.randrange(4)):
        at = source.randrange(len(changed))
        match source.randrange(3):
            case 0:
                changed[at] = source.randrange(256)
            case 1:
                del changed[at]
            case _:
                changed[at:at] = changed[at : at + source.randrange(1, 9)]
    return bytes(changed)


def case(source: random.Random, number: int) -> bytes:
    """Return some requests in one piece, most of them malformed."""
    parts = [
        HEAD % (number, number * 10 + n) + source.choice(FRAMINGS)
        for n in range(source.randrange(1, MOST_REQUESTS + 1))
    ]
    return mutated(source, b"".join(parts))


async def read_all(address: str, data: bytes) -> bytes:
    """Send bytes, and return what comes back until nothing more does."""
    host, _, port = address.rpartition(":")
    read = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        try:
            while True:
                with anyio.fail_after(QUIET_SECONDS):
                    read += await stream.receive()
        except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            # The gateway waits for more bytes, or has ended the connection.
            return read


class TestMalformedBytes(unittest.TestCase):
    @over_sockets
    async def test_any_bytes_get_typed_answers_and_never_another_callers_request(self):
        source = random.Random(SEED)
        cases = [case(source, number) for number in range(CASES)]
        answers: list[bytes] = [b""] * CASES
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            address = gateway.settings.caller_address

            async def play(numbers):
                for number in numbers:
                    answers[number] = await read_all(address, cases[number])

            async with anyio.create_task_group() as tasks:
                for first in range(AT_ONCE):
                    tasks.start_soon(play, range(first, CASES, AT_ONCE))
            after = await deployment.caller().ask(
                "POST", "/plain/", body=b"x", headers={"authorization": "Token k1"}
            )
            lines = deployment.lines[gateway.settings.name]
        self.assertEqual(after.status, 200)
        self.assertEqual([x for x in lines if x["event"] == "internal_error"], [])
        served = sum(answer.count(b"x-server-signature") for answer in answers)
        # A request whose caller ended before the answer may have been forwarded.
        self.assertGreaterEqual(len(endpoint.arrivals) - 1, served)
        self.assertGreater(served, 20)
        for sent, answer in zip(cases, answers, strict=True):
            statuses = [int(found) for found in ANSWER.findall(answer)]
            with self.subTest(sent=sent, answer=answer):
                final = [status for status in statuses if status >= 200]
                # A refusal may follow the answers to as many whole requests.
                self.assertLessEqual(len(final), MOST_REQUESTS + 1)
                for status in final:
                    self.assertIn(status // 100, (2, 4, 5))
                    self.assertNotEqual(status, 500)


if __name__ == "__main__":
    unittest.main()
