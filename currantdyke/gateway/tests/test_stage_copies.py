"""Stage endpoints that send an answer a second time, on a connection that is kept."""

import unittest

import anyio

from currantdyke.emulator import EngineEmulator, StageEmulator
from currantdyke.gateway.tests.builders import STREAM_HEADERS
from currantdyke.testing.gateways import (
    configuration,
    run_deployment,
    run_on_sockets,
    stream_route,
)

STAGES = [
    {"service": "rank", "after": [], "size_bytes": 1_000},
    {"service": "rank", "after": [0], "size_bytes": 1_000},
]
CALLERS = 4
REQUESTS = 12
ANSWERS_PER_COPY = 17


class SecondCopies:
    """Lets stage endpoints write some of their answers again before the next one.

    Attributes
    ----------
    names_call : bool
        Whether answers name the call that they belong to.
    copies : int
        Answers that were sent twice.
    """

    def __init__(self, *, names_call):
        self.names_call = names_call
        self.answers = {}
        self.count = 0
        self.copies = 0

    async def __call__(self, request, reply):
        """Send the copy that is due, and keep the next answer."""
        copy = self.answers.pop(reply.connection, None)
        if copy is not None:
            self.copies += 1
            await reply.send_raw(copy)
        send = reply.send_response

        async def send_and_keep(status, headers=None, body=b""):
            headers = dict(headers or {})
            if not self.names_call:
                headers.pop("x-attempt-id", None)
            await send(status, headers, body)
            self.count += 1
            if self.count % ANSWERS_PER_COPY == 0:
                lines = "".join(f"{name}: {headers[name]}\r\n" for name in headers)
                head = f"HTTP/1.1 {status} OK\r\n{lines}"
                head += f"content-length: {len(body)}\r\n\r\n"
                self.answers[reply.connection] = head.encode() + body

        reply.send_response = send_and_keep
        return False


class TestStageCopies(unittest.TestCase):
    async def run_requests(self, copies):
        """Return the statuses, and the requests whose inputs are of another one."""
        statuses, foreign, results = [], set(), {}
        document = configuration(
            1, [stream_route(stages=STAGES, timeout_ms=9_000, max_attempts=3)]
        )

        async def call(number):
            caller = deployment.caller()
            for count in range(REQUESTS):
                attempt_id = f"{number:08x}{count:08x}"
                headers = STREAM_HEADERS | {
                    "x-attempt-id": attempt_id,
                    "x-chunk-count": "2,2",
                    "x-chunk-key": attempt_id,
                }
                answer = await caller.request("POST", "/stream/", headers=headers)
                statuses.append(answer.status)

        async with run_deployment(document) as deployment:
            workers = [
                await deployment.endpoint(
                    StageEmulator, name, "rank", handle_first=copies
                )
                for name in ("s-1", "s-2")
            ]
            engine = await deployment.endpoint(EngineEmulator, "e-1", "engine")
            await deployment.gateway()
            async with anyio.create_task_group() as tasks:
                for number in range(CALLERS):
                    tasks.start_soon(call, number)
        for worker in workers:
            results |= {
                f"{worker.address}/{worker.instance}-{number}": piece["id"]
                for number, piece in enumerate(worker.pieces)
            }
        for worker in workers:
            for piece in worker.pieces:
                if {results[name] for name in piece.get("inputs", ())} - {piece["id"]}:
                    foreign.add(piece["id"])
        for arrival in engine.arrivals:
            handles = arrival.headers["x-input-count"].split(",")
            if {results[name] for name in handles} - {arrival.attempt_id}:
                foreign.add(arrival.attempt_id)
        return statuses, foreign

    # Guards against pieces and requests that run with the results of other requests.
    @run_on_sockets
    async def test_inputs_are_of_the_same_request(self):
        for names_call in (True, False):
            copies = SecondCopies(names_call=names_call)
            statuses, foreign = await self.run_requests(copies)
            with self.subTest(names_call=names_call):
                self.assertEqual(foreign, set())
                self.assertEqual(set(statuses), {200})
                self.assertGreater(copies.copies, 0)


if __name__ == "__main__":
    unittest.main()
