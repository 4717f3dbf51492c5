import random
import re
import unittest

import anyio

from currantdyke.emulator import PlainEmulator
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
)

SEED = 20
CASES = 240
CONCURRENCY = 24
READ_TIMEOUT_SECONDS = 0.4
MAX_REQUESTS = 3
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")
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


def mutate(source: random.Random, data: bytes) -> bytes:
    """Change, delete or duplicate a few bytes."""
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


def build_case(source: random.Random, number: int) -> bytes:
    """Return the bytes of a few requests in a row, most of them malformed."""
    parts = [
        HEAD % (number, number * 10 + n) + source.choice(FRAMINGS)
        for n in range(source.randrange(1, MAX_REQUESTS + 1))
    ]
    return mutate(source, b"".join(parts))


async def read_all(address: str, data: bytes) -> bytes:
    """Send bytes, and return the received bytes once no more arrive."""
    host, _, port = address.rpartition(":")
    read = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        try:
            while True:
                with anyio.fail_after(READ_TIMEOUT_SECONDS):
                    read += await stream.receive()
        except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            # The gateway waits for more bytes, or has closed the connection.
            return read


class TestMalformedBytes(unittest.TestCase):
    @run_on_sockets
    async def test_malformed_requests_get_valid_statuses_and_no_internal_error(self):
        source = random.Random(SEED)
        cases = [build_case(source, number) for number in range(CASES)]
        answers: list[bytes] = [b""] * CASES
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            address = gateway.settings.caller_address

            async def run_cases(numbers):
                for number in numbers:
                    answers[number] = await read_all(address, cases[number])

            async with anyio.create_task_group() as tasks:
                for first in range(CONCURRENCY):
                    tasks.start_soon(run_cases, range(first, CASES, CONCURRENCY))
            after = await deployment.caller().request(
                "POST", "/plain/", body=b"x", headers={"authorization": "Token k1"}
            )
            lines = deployment.lines[gateway.settings.name]
        self.assertEqual(after.status, 200)
        self.assertEqual([x for x in lines if x["event"] == "internal_error"], [])
        served = sum(answer.count(b"x-server-signature") for answer in answers)
        # A request whose caller disconnects before the answer may be forwarded too.
        self.assertGreaterEqual(len(endpoint.arrivals) - 1, served)
        self.assertGreater(served, 20)
        for sent, answer in zip(cases, answers, strict=True):
            statuses = [int(found) for found in STATUS_LINE.findall(answer)]
            with self.subTest(sent=sent, answer=answer):
                final = [status for status in statuses if status >= 200]
                # A refusal may follow the answers to MAX_REQUESTS complete requests.
                self.assertLessEqual(len(final), MAX_REQUESTS + 1)
                for status in final:
                    self.assertIn(status // 100, (2, 4, 5))
                    self.assertNotEqual(status, 500)


if __name__ == "__main__":
    unittest.main()
