import unittest

import msgspec
import yaml
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from currantdyke.bundle import check_bundle
from currantdyke.callers.tests.callers import NOTES_PATH
from currantdyke.core import FailureKind
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import WORKSPACE_KEY

STATUSES = {kind.code: kind.status for kind in FailureKind}
HYPOTHESIS_SETTINGS = {
    "derandomize": True,
    "database": None,
    "deadline": None,
    "suppress_health_check": list(HealthCheck),
}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)
bodies = (
    st.binary(max_size=60)
    | json_values.map(msgspec.json.encode)
    | json_values.map(lambda value: msgspec.json.encode({"input": value}))
    | st.integers(1, 3_000).map(lambda depth: b'{"input": ' + b"[" * depth)
)
names = st.sampled_from(
    (
        b"authorization",
        b"accept",
        b"prefer",
        b"x-deadline-seconds",
        b"x-priority",
        b"idempotency-key",
        b"last-event-id",
        b"content-length",
        b"content-type",
        b"x-relay-hop",
    )
)
values = st.sampled_from(
    (b"", b"0", b"-1", b"1e9", b"nan", b"text/event-stream", b"wait=0", b"9" * 300)
) | st.binary(max_size=30)
headers = st.lists(st.tuples(names, values), max_size=6)
paths = st.sampled_from((NOTES_PATH, "/v1/services/entry-desk", "/v1/requests/a.b.1.c"))
methods = st.sampled_from(("POST", "GET", "DELETE", "PUT"))
requests = st.lists(st.tuples(methods, paths, headers, bodies), max_size=8)

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
known_keys = st.sampled_from(
    ("services", "pipelines", "workspaces", "policy", "stages", "kind", "after", "url")
) | st.text(max_size=6)
documents = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(known_keys, inner, max_size=4)
    ),
    max_leaves=12,
)


async def send_all(cases):
    answers = []
    async with fleet_in_memory() as fleet, fleet.network.client() as client:
        for method, path, more, body in cases:
            key = (b"authorization", f"Bearer {WORKSPACE_KEY}".encode())
            request = client.build_request(
                method, f"http://entry-1:8080{path}", headers=[key, *more], content=body
            )
            answers.append(await client.send(request))
    return answers


class TestFuzz(unittest.TestCase):
    @settings(max_examples=60, **HYPOTHESIS_SETTINGS)
    @given(requests)
    def test_any_request_gets_an_answer_or_a_typed_error(self, cases):
        for response in run_virtual(send_all, cases):
            self.assertNotEqual(response.status_code, 500, response.text)
            if response.status_code < 300:
                continue
            error = response.json()["error"]
            self.assertEqual(STATUSES[error["code"]], response.status_code)
            self.assertIn("; ", error["message"])

    @settings(max_examples=150, **HYPOTHESIS_SETTINGS)
    @given(documents.map(yaml.safe_dump) | st.text(max_size=80))
    def test_any_text_is_a_bundle_or_a_list_of_problems(self, text):
        checked = check_bundle(text)
        if checked.is_error():
            self.assertTrue(checked.error)
            for problem in checked.error:
                self.assertGreaterEqual(problem.line, 1)
                self.assertTrue(problem.remedy, problem)


if __name__ == "__main__":
    unittest.main()
