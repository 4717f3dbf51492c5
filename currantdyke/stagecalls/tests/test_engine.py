import unittest

import anyio

from currantdyke.stagecalls import AttemptEnd, call_engine
from currantdyke.stagecalls.engine import DeliveredTokens
from currantdyke.stagecalls.tests.builders import (
    ADDRESS,
    build_chunk,
    build_echo,
    build_endpoint,
    build_open,
    build_stream,
)
from currantdyke.testing import MemoryNetwork, run_virtual

DONE = "data: [DONE]\n\n"


async def call(chunks, *, earlier=(), most=8, headers=None, **attempt):
    texts = []
    delivered = DeliveredTokens(deliver=texts.append, max_tokens=most)
    for index, text in enumerate(earlier):
        delivered.take(index, text)
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        network.attach(ADDRESS, build_endpoint(chunks, headers=headers))
        async with network.client() as client:
            report = await call_engine(client, build_open(**attempt), delivered)
        tasks.cancel_scope.cancel()
    return report, texts


def endless():
    while True:
        yield ": " + "x" * 100_000


BROKEN_STREAMS = {
    "gap": [build_chunk(0), build_chunk(2, finish="stop"), DONE],
    "differing repeat": [build_chunk(0), build_chunk(0, text="other"), DONE],
    "more tokens than asked for": build_stream(9),
    "token far too long": [build_chunk(0, text="x" * 5_000, finish="stop"), DONE],
    "endless line": endless(),
    "garbage": ["data: {not json\n\n"],
    "not even text": [b"\xff\xfe\x00data: \xff\n\n"],
    "wrong types": [build_chunk(0, token_index="0")],
    "negative index": [build_chunk(-1)],
    "two choices": [build_chunk(0, choices=[{"text": "a"}, {"text": "b"}])],
    "no choices": [build_chunk(0, choices=[])],
    "empty": [],
    "only the end mark": [DONE],
    "no finish reason": [build_chunk(0), build_chunk(1), DONE],
    "finish reason too early": [build_chunk(1, text="", finish="stop"), DONE],
}


class TestEngineStream(unittest.TestCase):
    def test_whole_stream_is_done(self):
        report, texts = run_virtual(call, build_stream(4))
        self.assertEqual(report.end, AttemptEnd.DONE)
        self.assertEqual(texts, ["t0 ", "t1 ", "t2 ", "t3 "])
        self.assertEqual(report.output, {"text": "t0 t1 t2 t3 ", "tokens": 4})

    def test_broken_stream_never_counts_as_whole(self):
        for name, chunks in BROKEN_STREAMS.items():
            with self.subTest(name):
                report, texts = run_virtual(call, chunks)
                self.assertEqual(report.end, AttemptEnd.CUT, report.detail)
                self.assertTrue(report.handed)
                self.assertLessEqual(len(texts), 8)

    def test_exact_repeat_is_delivered_once(self):
        chunks = [build_chunk(0), build_chunk(0), *build_stream(3, first=1)]
        report, texts = run_virtual(call, chunks)
        self.assertEqual(report.end, AttemptEnd.DONE)
        self.assertEqual(texts, ["t0 ", "t1 ", "t2 "])

    def test_end_in_a_chunk_of_its_own_adds_no_token(self):
        chunks = [build_chunk(0), build_chunk(1, text="", finish="stop"), DONE]
        report, texts = run_virtual(call, chunks)
        self.assertEqual(report.output, {"text": "t0 ", "tokens": 1})

    def test_stream_begun_again_must_repeat_what_was_delivered(self):
        report, texts = run_virtual(call, build_stream(3), earlier=["t0 ", "t1 "])
        self.assertEqual(texts, ["t0 ", "t1 ", "t2 "])
        report, _ = run_virtual(call, build_stream(3), earlier=["other "])
        self.assertEqual(report.end, AttemptEnd.CUT)

    def test_stream_begun_again_that_ends_sooner_is_not_whole(self):
        earlier = ["t0 ", "t1 ", "t2 ", "t3 "]
        report, _ = run_virtual(call, build_stream(3), earlier=earlier)
        self.assertEqual(report.end, AttemptEnd.CUT)

    def test_chunk_of_another_attempt_is_dropped(self):
        chunks = [build_chunk(0), build_chunk(1, id="entry-1.ab.a0")]
        report, texts = run_virtual(call, chunks)
        self.assertEqual(report.end, AttemptEnd.MISMATCHED)
        self.assertEqual(report.claimed_attempt, "entry-1.ab.a0")
        self.assertEqual(texts, ["t0 "])

    def test_silence_in_mid_stream_is_given_up_early(self):
        chunks = [build_chunk(0), anyio.sleep_forever]
        report, _ = run_virtual(call, chunks, seconds=60.0, idle_seconds=1.5)
        self.assertEqual(report.end, AttemptEnd.TIMED_OUT)
        self.assertAlmostEqual(report.seconds, 1.5)

    def test_slow_first_token_is_not_silence_in_mid_stream(self):
        async def slow():
            await anyio.sleep(5)

        chunks = [slow, *build_stream(2)]
        report, _ = run_virtual(call, chunks, seconds=60.0, idle_seconds=1.5)
        self.assertEqual(report.end, AttemptEnd.DONE)

    def test_whole_answer_counts_although_the_connection_breaks_after_it(self):
        async def reset():
            raise ConnectionResetError

        report, _ = run_virtual(call, [*build_stream(2)[:-1], reset])
        self.assertEqual(report.end, AttemptEnd.DONE)

    def test_encoded_stream_is_refused(self):
        headers = build_echo(content_encoding="gzip")
        report, _ = run_virtual(call, build_stream(2), headers=headers)
        self.assertEqual(report.end, AttemptEnd.CUT)


if __name__ == "__main__":
    unittest.main()
