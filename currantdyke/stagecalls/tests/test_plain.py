import unittest

import anyio

from currantdyke.stagecalls import AttemptEnd, call_plain
from currantdyke.stagecalls.tests.builders import (
    ADDRESS,
    build_echo_headers,
    build_endpoint,
    build_unsettled_attempt,
)
from currantdyke.testing import MemoryNetwork, run_virtual


async def call(body, *, faults=None, **endpoint):
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        app = build_endpoint(body, streamed=False, **endpoint)
        network.attach(ADDRESS, app)
        for name, value in (faults or {}).items():
            setattr(network.faults_at(ADDRESS), name, value)
        async with network.client() as client:
            report = await call_plain(client, build_unsettled_attempt())
        tasks.cancel_scope.cancel()
    return report


VALID_BODY = b'{"output": [1, 2]}'
CASES = (
    ("valid", VALID_BODY, {}, AttemptEnd.DONE),
    ("too long", b'{"output": "' + b"x" * 4_000_000 + b'"}', {}, AttemptEnd.CUT),
    ("too deep", b'{"output": ' + b"[" * 50_000, {}, AttemptEnd.CUT),
    ("not JSON", b"<html>", {}, AttemptEnd.CUT),
    ("not UTF-8", b'{"output": "\xff\xfe"}', {}, AttemptEnd.CUT),
    ("empty", b"", {}, AttemptEnd.CUT),
    ("not an object", b"[1, 2]", {}, AttemptEnd.CUT),
    ("no output", b'{"result": 1}', {}, AttemptEnd.CUT),
    (
        "encoded",
        VALID_BODY,
        {"headers": build_echo_headers(content_encoding="br")},
        AttemptEnd.CUT,
    ),
    ("no echo", VALID_BODY, {"headers": {}}, AttemptEnd.MISMATCHED),
    (
        "another request's answer",
        VALID_BODY,
        {"headers": build_echo_headers(x_request_id="entry-1.ab.2.ef")},
        AttemptEnd.MISMATCHED,
    ),
    (
        "another stage's answer",
        VALID_BODY,
        {"headers": build_echo_headers(x_stage="rerank")},
        AttemptEnd.MISMATCHED,
    ),
    ("failed", VALID_BODY, {"status": 500}, AttemptEnd.FAILED),
    ("wrong input", VALID_BODY, {"status": 422}, AttemptEnd.FAILED),
    ("no content", b"", {"status": 204}, AttemptEnd.CUT),
    ("redirected", b"", {"status": 307}, AttemptEnd.CUT),
    ("503 without proof", VALID_BODY, {"status": 503}, AttemptEnd.CUT),
    (
        "503 with proof",
        b"",
        {"status": 503, "headers": build_echo_headers(x_not_run="entry-1.ab.a1")},
        AttemptEnd.REFUSED,
    ),
    (
        "503 with the proof of another attempt",
        b"",
        {"status": 503, "headers": build_echo_headers(x_not_run="entry-1.ab.a0")},
        AttemptEnd.CUT,
    ),
    (
        "503 with proof and no echo",
        b"",
        {"status": 503, "headers": {"x-not-run": "entry-1.ab.a1"}},
        AttemptEnd.MISMATCHED,
    ),
    (
        "refused connection",
        VALID_BODY,
        {"faults": {"refuse": True}},
        AttemptEnd.NOT_HANDED,
    ),
    (
        "unreachable",
        VALID_BODY,
        {"faults": {"unreachable": True}},
        AttemptEnd.NOT_HANDED,
    ),
    ("silent", VALID_BODY, {"faults": {"silent": True}}, AttemptEnd.TIMED_OUT),
    ("lost answer", VALID_BODY, {"faults": {"lose_answer": True}}, AttemptEnd.CUT),
    ("cut answer", VALID_BODY, {"faults": {"cut_after_bytes": 3}}, AttemptEnd.CUT),
)


class TestPlainCall(unittest.TestCase):
    def test_each_answer_gives_the_expected_end(self):
        for name, body, options, end in CASES:
            with self.subTest(name):
                report = run_virtual(call, body, **options)
                self.assertEqual(report.end, end, report.detail)
                self.assertEqual(report.handed, end is not AttemptEnd.NOT_HANDED)
                self.assertLessEqual(report.seconds, 1.0)

    def test_load_header_is_read_only_if_it_is_a_short_number(self):
        for text, load in (("3", 3.0), ("many", None), ("9" * 400, None)):
            headers = build_echo_headers(x_endpoint_load=text)
            self.assertEqual(run_virtual(call, VALID_BODY, headers=headers).load, load)


if __name__ == "__main__":
    unittest.main()
