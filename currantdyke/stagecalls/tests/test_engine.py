import unittest

import anyio

from currantdyke.stagecalls import AttemptEnd, call_engine
from currantdyke.stagecalls.engine import DeliveredTokens
from currantdyke.stagecalls.tests.builders import (
    ADDRESS,
    build_chunk,
    build_echo_headers,
    build_endpoint,
    build_stream,
    build_unsettled_attempt,
)
from currantdyke.testing import MemoryNetwork, run_virtual

DONE = "data: [DONE]\n\n"


async def call(chunks, *, earlier=(), max_tokens=8, headers=None, **attempt):
    texts = []
    delivered = DeliveredTokens(deliver=texts.append, max_tokens=max_tokens)
    for index, text in enumerate(earlier):
        delivered.take(index, text)
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        network.attach(ADDRESS, build_endpoint(chunks, headers=headers))
        async with network.client() as client:
            report = await call_engine(
                client, build_unsettled_attempt(**attempt), delivered
            )
        tasks.cancel_scope.cancel()
    return report, texts


def endless():
    while True:
        yield ": " + "x" * 100_000


BROKEN_STREAMS = {
    "gap": [build_chunk(0), build_chunk(2, finish="stop"), DONE],
    "differing repeat": [build_chunk(0), build_chunk(0, text="other"), DONE],
    "more tokens than requested": build_stream(9),
    "token too long": [build_chunk(0, text="x" * 5_000, finish="stop"), DONE],
    "endless line": endless(),
    "malformed JSON": ["data: {not json\n\n"],
    "not UTF-8": [b"\xff\xfe\x00data: \xff\n\n"],
    "wrong types": [build_chunk(0, token_index="0")],
    "negative index": [build_chunk(-1)],
    "two choices": [build_chunk(0, choices=[{"text": "a"}, {"text": "b"}])],
    "no choices": [build_chunk(0, choices=[])],
    "empty": [],
    "only the end marker": [DONE],
    "no finish reason": [build_chunk(0), build_chunk(1), DONE],
    "finish reason too early": [build_chunk(1, text="", finish="stop"), DONE],
}


class TestEngineStream(unittest.TestCase):
    def test_complete_stream_has_end_done(self):
        report, texts = run_virtual(call, build_stream(4))
        self.assertEqual(report.end, AttemptEnd.DONE)
        self.assertEqual(texts, ["t0 ", "t1 ", "t2 ", "t3 "])
        self.assertEqual(report.output, {"text": "t0 t1 t2 t3 ", "tokens": 4})

    def test_broken_stream_has_end_cut(self):
        for name, chunks in BROKEN_STREAMS.items():
            with self.subTest(name):
                report, texts = run_virtual(call, chunks)
                self.assertEqual(report.end, AttemptEnd.CUT, report.detail)
                self.assertTrue(report.handed)
                self.assertLessEqual(len(texts), 8)

    def test_repeated_token_is_delivered_once(self):
        chunks = [build_chunk(0), build_chunk(0), *build_stream(3, first=1)]
        report, texts = run_virtual(call, chunks)
        self.assertEqual(report.end, AttemptEnd.DONE)
        self.assertEqual(texts, ["t0 ", "t1 ", "t2 "])

    def test_separate_final_chunk_without_text_adds_no_token(self):
        chunks = [build_chunk(0), build_chunk(1, text="", finish="stop"), DONE]
        report, texts = run_virtual(call, chunks)
        self.assertEqual(report.output, {"text": "t0 ", "tokens": 1})

    def test_restarted_stream_continues_after_equal_tokens_and_is_cut_otherwise(self):
        report, texts = run_virtual(call, build_stream(3), earlier=["t0 ", "t1 "])
        self.assertEqual(texts, ["t0 ", "t1 ", "t2 "])
        report, _ = run_virtual(call, build_stream(3), earlier=["other "])
        self.assertEqual(report.end, AttemptEnd.CUT)

    def test_restarted_stream_that_ends_early_has_end_cut(self):
        earlier = ["t0 ", "t1 ", "t2 ", "t3 "]
        report, _ = run_virtual(call, build_stream(3), earlier=earlier)
        self.assertEqual(report.end, AttemptEnd.CUT)

    def test_chunk_of_another_attempt_has_end_mismatched(self):
        chunks = [build_chunk(0), build_chunk(1, id="entry-1.ab.a0")]
        report, texts = run_virtual(call, chunks)
        self.assertEqual(report.end, AttemptEnd.MISMATCHED)
        self.assertEqual(report.claimed_attempt, "entry-1.ab.a0")
        self.assertEqual(texts, ["t0 "])

    def test_stalled_stream_times_out_after_the_idle_limit(self):
        chunks = [build_chunk(0), anyio.sleep_forever]
        report, _ = run_virtual(call, chunks, seconds=60.0, idle_seconds=1.5)
        self.assertEqual(report.end, AttemptEnd.TIMED_OUT)
        self.assertAlmostEqual(report.seconds, 1.5)

    def test_idle_limit_does_not_apply_before_the_first_token(self):
        async def slow():
            await anyio.sleep(5)

        chunks = [slow, *build_stream(2)]
        report, _ = run_virtual(call, chunks, seconds=60.0, idle_seconds=1.5)
        self.assertEqual(report.end, AttemptEnd.DONE)

    def test_connection_error_after_the_final_chunk_is_ignored(self):
        async def reset():
            raise ConnectionResetError

        report, _ = run_virtual(call, [*build_stream(2)[:-1], reset])
        self.assertEqual(report.end, AttemptEnd.DONE)

    def test_stream_with_content_encoding_is_rejected(self):
        headers = build_echo_headers(content_encoding="gzip")
        report, _ = run_virtual(call, build_stream(2), headers=headers)
        self.assertEqual(report.end, AttemptEnd.CUT)


if __name__ == "__main__":
    unittest.main()
