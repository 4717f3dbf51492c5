import pathlib
import tempfile
import unittest

import h11
import msgspec
from hypothesis import given
from hypothesis import strategies as st

import currantdyke
from currantdyke.catalog import Catalog, Endpoint, Repeatability, RouteTable
from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.http1 import BadRequestError
from currantdyke.platform.answers import (
    decode_response_metadata,
    encode_failure_response,
)
from currantdyke.platform.deploy import check_deploy
from currantdyke.platform.records import decode_record
from currantdyke.platform.requests import (
    EndpointHeaderValues,
    decode_request_metadata,
    endpoint_headers,
)
from currantdyke.platform.settings import read_settings
from currantdyke.platform.stagecalls import PieceFailure, decode_results
from currantdyke.testing.gateways import configuration, plain_route, stream_route

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "born": 5,
}
SETTINGS = """
node_name: "edge-1"
ip: "10.1.0.41"
zone: "z"
listen:
  frontend: "10.1.0.41:1"
  readiness: "10.1.0.41:2"
  control_plane: "10.1.0.41:3"
internal_port_range: [7740, 7755]
seed_nodes: ["10.2.0.25:8628"]
limits: {memory_mb: 222, max_fds: 1535}
bounds: {grace_s: 8, drain_ms: 2000, retry_budget_ratio: 0.2}
platform: {address: "10.200.1.7:8624", writes_per_s: 400, reads_per_s: 2000}
something_new: {a: 1}
"""


def build_request(**headers: str) -> h11.Request:
    lines = [("host", "a")]
    lines += [(key.replace("_", "-"), value) for key, value in headers.items()]
    return h11.Request(method="POST", target="/", headers=lines)


class TestLimits(unittest.TestCase):
    def decode(self, *values):
        headers = [("server-limit", value) for value in values]
        facts = decode_response_metadata(h11.Response(status_code=200, headers=headers))
        return facts.request_rate_limit, facts.unreadable_limit

    def test_limit_is_a_decimal_number(self):
        for text, limit in (("0", 0.0), ("0.25", 0.25), ("12", 12.0), ("7.50", 7.5)):
            self.assertEqual(self.decode(text), (limit, None))
        self.assertEqual(self.decode(), (None, None))

    def test_lowest_of_several_limits_holds(self):
        self.assertEqual(self.decode("3", "2"), (2.0, None))
        self.assertEqual(self.decode("3, 2"), (2.0, None))

    def test_anything_else_is_reported_as_unreadable(self):
        for text in ("nan", "inf", "-1", "1e9", "1_0", "", "few", "9" * 40):
            self.assertEqual(self.decode(text), (None, text))


class TestRecords(unittest.TestCase):
    def test_configuration_is_decoded_into_routes_and_services(self):
        document = configuration(3, [plain_route(), stream_route(priority=0)])
        catalog = decode_record("op/config", msgspec.json.encode(document)).ok
        self.assertIsInstance(catalog, Catalog)
        plain, stream = catalog.routes
        self.assertEqual(plain.repeatability, Repeatability.IDEMPOTENT)
        self.assertEqual((plain.timeout, plain.target_latency), (2.0, 0.3))
        self.assertTrue(stream.resumable and stream.may_repeat)
        stage = catalog.services["rank"].stage
        self.assertEqual((stage.batch, stage.call_seconds), (4, 0.02))
        self.assertEqual(stage.result_memory_bytes, 10_000_000)
        self.assertEqual(
            RouteTable.of(catalog=catalog).workspace_by_key["k1"].name, "cider"
        )

    def test_request_of_unknown_type_may_not_repeat(self):
        document = configuration(3, [plain_route(type="brand_new")])
        catalog = decode_record("op/config", msgspec.json.encode(document)).ok
        self.assertFalse(catalog.routes[0].may_repeat)

    @given(JSON)
    def test_arbitrary_document_is_decoded_or_rejected(self, document):
        data = msgspec.json.encode(document)
        for key in ("op/config", "servers/i", "daemons/d", "other"):
            decode_record(key, data)

    @given(st.binary(max_size=100))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, data):
        for key in ("op/config", "servers/i", "daemons/d", "other"):
            decode_record(key, data)

    @given(st.sampled_from(sorted(ENTRY)), JSON)
    def test_entry_with_arbitrary_field_is_well_typed_or_rejected(self, field, value):
        record = decode_record("servers/i", msgspec.json.encode(ENTRY | {field: value}))
        if record.is_ok():
            self.assertIsInstance(record.ok, Endpoint)
            self.assertIsInstance(record.ok.slots, int)
            self.assertIsInstance(record.ok.address, str)

    def test_entry_without_optional_fields_is_accepted(self):
        document = {"service": "s", "address": "10.0.0.1:80", "state": "ready"}
        self.assertTrue(
            decode_record("servers/i", msgspec.json.encode(document)).is_ok()
        )


class TestRequests(unittest.TestCase):
    def test_request_headers_are_decoded(self):
        facts = decode_request_metadata(
            build_request(
                x_attempt_id="a",
                x_deadline_ms="1500",
                authorization="Token k",
                x_token_usage="100,20",
                x_prefix_hash="ab:60,cd:40",
                x_chunk_count="1,0,16",
                x_chunk_key="key",
            )
        )
        self.assertEqual((facts.deadline, facts.key), (1.5, "k"))
        self.assertEqual([part.tokens for part in facts.prompt_parts], [60, 40])
        self.assertEqual(facts.stage_pieces, (1, 0, 16))

    def test_malformed_deadline_or_pieces_and_repeated_attempt_id_are_rejected(self):
        for name, value in (("x_deadline_ms", "soon"), ("x_chunk_count", "1,-2")):
            with self.assertRaises(BadRequestError):
                decode_request_metadata(build_request(**{name: value}))
        twice = h11.Request(
            method="GET",
            target="/",
            headers=[("host", "a"), ("x-attempt-id", "a"), ("x-attempt-id", "b")],
        )
        with self.assertRaises(BadRequestError):
            decode_request_metadata(twice)

    @given(st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=40))
    def test_arbitrary_header_value_is_decoded_or_rejected(self, value):
        for name in (
            "x_prefix_hash",
            "x_token_usage",
            "x_chunk_count",
            "authorization",
        ):
            try:
                decode_request_metadata(build_request(**{name: value}))
            except BadRequestError:
                continue

    def test_gateway_headers_replace_those_of_the_caller(self):
        sent = build_request(
            x_attempt_id="a",
            x_tenant="forged",
            x_input_count="h1",
            x_request_priority="0",
            kv_fetch="10.0.0.1:1",
            x_deadline_ms="99999",
            last_event_id="3",
        )
        terms = EndpointHeaderValues(
            instance="i", remaining=1.25, workspace="w", last_event_id=b"7"
        )
        headers = endpoint_headers(sent, b"", terms)
        values = dict(headers)
        self.assertEqual(len(values), len(headers))
        self.assertEqual(values[b"x-tenant"], b"w")
        self.assertEqual(values[b"x-deadline-ms"], b"1250")
        self.assertEqual(values[b"last-event-id"], b"7")
        for name in (b"x-input-count", b"x-request-priority", b"kv-fetch"):
            self.assertNotIn(name, values)


class TestAnswers(unittest.TestCase):
    def test_only_request_that_has_not_run_gets_a_guarantee_status(self):
        for kind in FailureKind:
            for outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
                failure = Failure(
                    kind=kind, detail="d", outcome=outcome, retry_after=0.5
                )
                status, headers, _ = encode_failure_response(failure, "a")
                guaranteed = status in (408, 421, 429, 503)
                if outcome is Outcome.UNKNOWN:
                    self.assertFalse(guaranteed, kind)
                    self.assertNotIn(b"retry-after", dict(headers))
                self.assertNotIn(b"x-server-signature", dict(headers))

    def test_quarantined_or_late_request_gets_status_503(self):
        for kind in (FailureKind.QUARANTINED, FailureKind.DEADLINE_PASSED):
            status, _, _ = encode_failure_response(Failure(kind=kind, detail="d"), None)
            self.assertEqual(status, 503)

    def test_head_of_endpoint_response_is_decoded(self):
        response = h11.Response(
            status_code=503,
            headers=[
                ("x-not-executed", "1"),
                ("connection", "Close"),
                ("keep-alive", "timeout=7, max=3"),
            ],
        )
        facts = decode_response_metadata(response)
        self.assertTrue(facts.not_run and facts.closes and not facts.signed)
        self.assertEqual(facts.keep_alive, 7.0)
        self.assertTrue(
            decode_response_metadata(h11.Response(status_code=421, headers=[])).not_run
        )
        self.assertFalse(
            decode_response_metadata(h11.Response(status_code=503, headers=[])).not_run
        )

    @given(JSON)
    def test_arbitrary_results_are_decoded_or_rejected(self, document):
        decode_results(msgspec.json.encode(document), 1)

    def test_unknown_failure_reason_is_decoded_as_error(self):
        body = b'{"entries":[{"reason":"new"},{"handle":"a/b"}]}'
        results = decode_results(body, 2)
        self.assertIs(results[0].failure, PieceFailure.ERROR)
        self.assertEqual(results[1].handle, "a/b")


class TestSettings(unittest.TestCase):
    def read_text(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.yaml"
            path.write_text(text)
            return read_settings(path)

    def test_settings_are_read_and_unknown_fields_are_ignored(self):
        settings = self.read_text(SETTINGS).ok
        self.assertEqual(settings.caller_address, "10.1.0.41:1")
        self.assertEqual((settings.retry_window, settings.grace), (10.0, 8.0))
        self.assertEqual(settings.seed_ips, ("10.2.0.25",))
        self.assertEqual(settings.heartbeat, 1.2)
        settings = self.read_text(f"{SETTINGS}\nheartbeat_ms: 900\n").ok
        self.assertEqual(settings.heartbeat, 0.9)

    def test_settings_error_names_the_location_and_the_remedy(self):
        for text, part in (
            ("a: [1", "line 1"),
            ("node_name: x", "'listen' is missing"),
            (SETTINGS.replace("grace_s: 8", "grace_s: soon"), "'soon'"),
            ("- 1", "node.yaml"),
        ):
            message = self.read_text(text).error
            self.assertIn(part, message)
            self.assertIn("correct it", message)


class TestDeploy(unittest.TestCase):
    def test_own_deploy_file_is_valid(self):
        root = pathlib.Path(currantdyke.__file__).parent.parent
        text = (root / "deploy" / "system.toml").read_text()
        self.assertEqual(check_deploy(text), [])

    def test_every_problem_is_reported_with_a_remedy(self):
        text = """
            [roles.a]
            run = ""
            share = 2
            serves = ["moon"]
            metrics = "1/x"
        """
        problems = check_deploy(text)
        for part in ("build", "run", "on", "share", "moon", "metrics", "none serves"):
            self.assertTrue(any(part in one for one in problems), part)
        self.assertTrue(all(";" in one for one in problems))


if __name__ == "__main__":
    unittest.main()
