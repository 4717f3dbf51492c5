import unittest

from currantdyke.emulator import (
    AnswerPlan,
    Caller,
    Ending,
    EngineEmulator,
    Framing,
    Garbage,
    PlainEmulator,
)
from currantdyke.emulator.answers import GARBAGE_BLOCK_BYTES
from currantdyke.emulator.tests.builders import (
    STREAM,
    request_once,
    running_endpoint,
)
from currantdyke.testing.gateways import run_on_sockets, wait_until

ECHO = b"POST /x body"
KINDS = ((PlainEmulator, ECHO), (EngineEmulator, STREAM))
SILENCE_SECONDS = 0.2
NEXT_REQUEST = b"POST /y HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
MIN_GARBAGE_BYTES = 10 * GARBAGE_BLOCK_BYTES


class TestAnswers(unittest.TestCase):
    @run_on_sockets
    async def test_silent_endpoint_goes_on(self):
        for kind, body in KINDS:
            plans = (
                AnswerPlan(silent_before=SILENCE_SECONDS),
                AnswerPlan(silent_after=1, silent_seconds=SILENCE_SECONDS),
            )
            for plan in plans:
                with self.subTest(kind=kind, plan=plan):
                    answer = await request_once(kind, plan)
                    self.assertEqual((answer.body, answer.complete), (body, True))
                    self.assertGreaterEqual(answer.seconds, SILENCE_SECONDS)

    @run_on_sockets
    async def test_plan_is_chosen_for_each_request(self):
        plans = {"a1": AnswerPlan(status=500), "a2": AnswerPlan()}
        async with running_endpoint(PlainEmulator, AnswerPlan()) as endpoint:
            endpoint.plan_answer = lambda request: plans[request.attempt_id]
            caller = Caller(address=endpoint.address)
            statuses = [
                (await caller.request("GET", "/", headers={"x-attempt-id": n})).status
                for n in plans
            ]
            await caller.close()
        self.assertEqual(statuses, [500, 200])

    @run_on_sockets
    async def test_undelimited_answer_is_complete_unless_it_is_reset(self):
        for kind, body in KINDS:
            for ending in Ending:
                plan = AnswerPlan(framing=Framing.CONNECTION, ending=ending)
                with self.subTest(kind=kind, ending=ending):
                    answer = await request_once(kind, plan)
                    self.assertNotIn("content-length", answer.headers)
                    self.assertNotIn("transfer-encoding", answer.headers)
                    self.assertEqual(answer.complete, ending is not Ending.RESET)
                    self.assertTrue(body.startswith(answer.body))
                    if answer.complete:
                        self.assertEqual(answer.body, body)

    @run_on_sockets
    async def test_stream_ends_within_an_event(self):
        for framing in (Framing.CHUNKS, Framing.CONNECTION):
            for ending, complete in (
                (Ending.END, True),
                (Ending.CLOSE, framing is Framing.CONNECTION),
            ):
                plan = AnswerPlan(break_after=2, framing=framing, ending=ending)
                with self.subTest(plan=plan):
                    answer = await request_once(EngineEmulator, plan)
                    self.assertEqual(answer.complete, complete)
                    events = answer.body.split(b"\n\n")
                    self.assertEqual(len(events), 3)
                    self.assertNotEqual(events[2], b"")

    @run_on_sockets
    async def test_garbage_ends_only_when_the_caller_closes(self):
        for kind, _ in KINDS:
            for garbage in (Garbage.NO_HTTP, Garbage.HEAD, Garbage.BODY):
                with self.subTest(kind=kind, garbage=garbage):
                    plan = AnswerPlan(garbage=garbage)
                    async with running_endpoint(kind, plan) as endpoint:
                        await self.read_garbage(endpoint)

    async def read_garbage(self, endpoint):
        caller = Caller(address=endpoint.address)
        await caller.send("POST", "/x", body=b"body")
        stream = (await caller.connect()).stream
        received = 0
        while received < MIN_GARBAGE_BYTES:
            received += len(await stream.receive())
        self.assertEqual(len(endpoint.streams), 1)
        await caller.close()
        await wait_until(lambda: not endpoint.streams)

    @run_on_sockets
    async def test_incomplete_answer_with_a_length_closes_the_connection(self):
        answer = await request_once(PlainEmulator, AnswerPlan(break_after=1))
        self.assertFalse(answer.complete)
        self.assertEqual(answer.body, ECHO[:9])


class TestKeptConnection(unittest.TestCase):
    @run_on_sockets
    async def test_bytes_of_the_next_request_are_not_lost(self):
        plan = AnswerPlan(silent_before=SILENCE_SECONDS)
        async with running_endpoint(PlainEmulator, plan) as endpoint:
            caller = Caller(address=endpoint.address)
            await caller.send("POST", "/x", body=b"body")
            await wait_until(lambda: endpoint.arrivals)
            # Another request while the endpoint still writes its answer.
            await (await caller.connect()).stream.send(NEXT_REQUEST)
            await caller.answer()
            await wait_until(lambda: len(endpoint.arrivals) == 2)
            self.assertEqual(endpoint.arrivals[1].method, "POST")
            await caller.close()

    @run_on_sockets
    async def test_answer_with_a_length_ends_with_its_last_byte(self):
        plan = AnswerPlan(silent_after=2, silent_seconds=10 * SILENCE_SECONDS)
        answer = await request_once(PlainEmulator, plan)
        self.assertEqual(answer.body, ECHO)
        self.assertLess(answer.seconds, SILENCE_SECONDS)


class TestDefaultPlan(unittest.TestCase):
    @run_on_sockets
    async def test_connection_is_kept_for_several_answers(self):
        for kind, body in KINDS:
            with self.subTest(kind=kind):
                async with running_endpoint(kind, AnswerPlan()) as endpoint:
                    caller = Caller(address=endpoint.address)
                    for _ in range(3):
                        answer = await caller.request("POST", "/x", body=b"body")
                        self.assertEqual(answer.body, body)
                        self.assertIsNotNone(caller.connection)
                    await caller.close()


if __name__ == "__main__":
    unittest.main()
