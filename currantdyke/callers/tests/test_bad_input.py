import unittest

import anyio

from currantdyke.bundle import Workspace, hash_key
from currantdyke.callers.tests.callers import NOTES_PATH, submit, submit_async
from currantdyke.requests import RequestTable
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import WORKSPACE_KEY, build_exchange

AUTHORIZATION = ("authorization", f"Bearer {WORKSPACE_KEY}")
VALID_BODY = b'{"input": 1}'
CASES = (
    ("unknown pipeline", "/v1/pipelines/nothing", [], VALID_BODY, "unknown_pipeline"),
    (
        "service that is not plain",
        "/v1/services/encoder",
        [],
        VALID_BODY,
        "unknown_pipeline",
    ),
    ("unknown path", "/v2/pipelines/notes", [], VALID_BODY, "no_such_path"),
    ("malformed JSON", NOTES_PATH, [], b'{"input": ', "malformed"),
    ("empty body", NOTES_PATH, [], b"", "malformed"),
    ("not an object", NOTES_PATH, [], b"[1]", "malformed"),
    ("no input", NOTES_PATH, [], b'{"inputs": 1}', "malformed"),
    ("number out of range", NOTES_PATH, [], b'{"input": 1e999}', "malformed"),
    ("not a number", NOTES_PATH, [], b'{"input": NaN}', "malformed"),
    ("not UTF-8", NOTES_PATH, [], b'{"input": "\xff"}', "malformed"),
    (
        "deep body",
        NOTES_PATH,
        [],
        b'{"input": ' + b"[" * 70 + b"]" * 70 + b"}",
        "malformed",
    ),
    ("deeper body", NOTES_PATH, [], b'{"input": ' + b"[" * 90_000, "malformed"),
    ("long body", NOTES_PATH, [], b" " * 1_000_001, "too_large"),
    (
        "many headers",
        NOTES_PATH,
        [(f"x-h{i}", "1") for i in range(70)],
        VALID_BODY,
        "too_large",
    ),
    ("long headers", NOTES_PATH, [("x-h", "1" * 17_000)], VALID_BODY, "too_large"),
    (
        "two authorization headers",
        NOTES_PATH,
        [AUTHORIZATION],
        VALID_BODY,
        "unauthorized",
    ),
    (
        "deadline not a number",
        NOTES_PATH,
        [("x-deadline-seconds", "nan")],
        VALID_BODY,
        "malformed",
    ),
    (
        "infinite deadline",
        NOTES_PATH,
        [("x-deadline-seconds", "inf")],
        VALID_BODY,
        "malformed",
    ),
    (
        "zero deadline",
        NOTES_PATH,
        [("x-deadline-seconds", "0")],
        VALID_BODY,
        "malformed",
    ),
    (
        "negative deadline",
        NOTES_PATH,
        [("x-deadline-seconds", "-1")],
        VALID_BODY,
        "malformed",
    ),
    (
        "deadline too long",
        NOTES_PATH,
        [("x-deadline-seconds", "601")],
        VALID_BODY,
        "malformed",
    ),
    (
        "deadline with a digit separator",
        NOTES_PATH,
        [("x-deadline-seconds", "1_0")],
        VALID_BODY,
        "malformed",
    ),
    (
        "two deadlines",
        NOTES_PATH,
        [("x-deadline-seconds", "1")] * 2,
        VALID_BODY,
        "malformed",
    ),
    ("priority too high", NOTES_PATH, [("x-priority", "11")], VALID_BODY, "malformed"),
    (
        "priority not a number",
        NOTES_PATH,
        [("x-priority", "high")],
        VALID_BODY,
        "malformed",
    ),
    ("two priorities", NOTES_PATH, [("x-priority", "1")] * 2, VALID_BODY, "malformed"),
    (
        "long idempotency key",
        NOTES_PATH,
        [("idempotency-key", "k" * 201)],
        VALID_BODY,
        "malformed",
    ),
    (
        "two idempotency keys",
        NOTES_PATH,
        [("idempotency-key", "k")] * 2,
        VALID_BODY,
        "malformed",
    ),
    (
        "control character",
        NOTES_PATH,
        [("idempotency-key", "a\x01b")],
        VALID_BODY,
        "malformed",
    ),
)


async def post_all():
    answers = {}
    async with fleet_in_memory() as fleet, fleet.network.client() as client:
        for name, path, headers, body, code in CASES:
            response = await client.post(
                f"http://entry-1:8080{path}",
                headers=[AUTHORIZATION, *headers],
                content=body,
            )
            answers[name] = (response, code)
        calls = sum(len(standin.calls) for standin in fleet.standins.values())
    return answers, calls


class TestBadInput(unittest.TestCase):
    def test_invalid_request_is_refused_with_a_typed_error_and_nothing_runs(self):
        answers, calls = run_virtual(post_all)
        for name, (response, code) in answers.items():
            with self.subTest(name):
                error = response.json()["error"]
                self.assertEqual(error["code"], code, error)
                self.assertEqual(error["outcome"], "not_run")
                self.assertLess(response.status_code, 500)
        self.assertEqual(calls, 0)

    def test_body_that_arrives_too_slowly_is_refused(self):
        async def slow_body():
            while True:
                yield b" "
                await anyio.sleep(1)

        async def scenario():
            async with fleet_in_memory() as fleet, fleet.network.client() as client:
                request = client.build_request(
                    "POST",
                    f"http://entry-1:8080{NOTES_PATH}",
                    headers=[AUTHORIZATION],
                    content=slow_body(),
                )
                started = anyio.current_time()
                response = await client.send(request)
                return response.json(), anyio.current_time() - started

        body, seconds = run_virtual(scenario)
        self.assertEqual(body["error"]["code"], "malformed")
        self.assertLess(seconds, 11)

    def test_request_of_another_workspace_looks_unknown(self):
        async def scenario():
            keys = {"jos": WORKSPACE_KEY, "ibadan": "key-of-ibadan"}
            workspaces = {
                name: Workspace(key_hashes=(hash_key(key),))
                for name, key in keys.items()
            }
            async with fleet_in_memory(bundle={"workspaces": workspaces}) as fleet:
                request_id = await submit_async(fleet)
                unknown = request_id[:-1] + ("0" if request_id[-1] != "0" else "1")
                answers = []
                async with fleet.caller("entry-1", key="key-of-ibadan") as client:
                    for found in (request_id, unknown):
                        for method in ("GET", "DELETE"):
                            path = f"/v1/requests/{found}"
                            answer = await client.request(method, path)
                            text = answer.text.replace(found, "")
                            answers.append((answer.status_code, text))
                async with fleet.caller("entry-1") as client:
                    own = await client.get(f"/v1/requests/{request_id}")
                return answers, own

        answers, own = run_virtual(scenario)
        self.assertEqual(len(set(answers)), 1, answers)
        self.assertEqual(answers[0][0], 404)
        self.assertEqual(own.json()["outcome"], "done")

    def test_invalid_event_numbers_are_refused(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                request_id = (await submit(fleet)).headers["x-request-id"]
                path = f"/v1/requests/{request_id}"
                async with fleet.caller("entry-1") as client:
                    client.headers["accept"] = "text/event-stream"
                    return [
                        await client.get(path + query, headers=headers)
                        for query, headers in (
                            ("?from=-1", {}),
                            ("?from=x", {}),
                            ("?from=1&from=2", {}),
                            ("?from=19", {}),
                            ("?from=" + "9" * 5_000, {}),
                            ("", {"last-event-id": "-5"}),
                        )
                    ]

        for response in run_virtual(scenario):
            self.assertEqual(response.json()["error"]["code"], "malformed")


class TestRequestTable(unittest.TestCase):
    def build(self, count, table, **changes):
        for number in range(count):
            exchange = build_exchange(request_id=f"r{number}", **changes)
            exchange.append("token", {"text": "x" * 100})
            table.open(exchange)
            exchange.settle(output=1, now=anyio.current_time())
            table.close(exchange)
        return list(table.by_id)

    def test_oldest_requests_of_a_workspace_are_dropped_at_its_limit(self):
        async def scenario():
            table = RequestTable(keep_seconds=60, kept_per_workspace=3)
            return self.build(5, table)

        self.assertEqual(run_virtual(scenario), ["r2", "r3", "r4"])

    def test_oldest_requests_are_dropped_at_the_byte_limit(self):
        async def scenario():
            table = RequestTable(keep_seconds=60, kept_bytes=10_000)
            kept = self.build(20, table)
            return kept, table.ended_bytes

        kept, size = run_virtual(scenario)
        self.assertLessEqual(size, 10_000)
        self.assertEqual(kept, [f"r{n}" for n in range(20 - len(kept), 20)])
        self.assertTrue(2 <= len(kept) <= 10_000 // 300)

    def test_ended_requests_are_dropped_after_the_retention_time(self):
        async def scenario():
            table = RequestTable(keep_seconds=60)
            self.build(3, table)
            await anyio.sleep(61)
            await table.remove_expired()
            return table

        table = run_virtual(scenario)
        self.assertEqual(
            (table.by_id, table.ended_by_workspace, table.ended_bytes), ({}, {}, 0)
        )


if __name__ == "__main__":
    unittest.main()
