"""What a gateway decides by documents that an operator may write, each alone."""

import unittest

import h11
import msgspec

from currantdyke.directory.tests.builders import build_configuration, build_directory
from currantdyke.forward.exchange import RequestFailedError
from currantdyke.gateway.handler import RequestHandler, ServedRequest
from currantdyke.platform.requests import decode_request_metadata
from currantdyke.platform.tests.configuration_builders import (
    ABSENT,
    build_document,
    change_document,
)
from currantdyke.testing.gateways import plain_route
from currantdyke.testing.virtual import run_virtual

# A known key and an unknown one on the first route, a known key on the second route and
# on one that does not exist; 200 stands for a request that is forwarded.
REQUESTS = (("/plain/1", "k1"), ("/plain/1", "x"), ("/stream/1", "k1"), ("/x/1", "k1"))
AS_BEFORE = (200, 401, 200, 404)
NO_KEY_IS_READ = (503, 503, 503, 404)
UNKNOWN_KEY_MAY_BE_VALID = (200, 503, 200, 404)
OTHER_ROUTE_MAY_EXIST = (200, 401, 200, 503)
FIRST_ROUTE_IS_MISSING = (503, 503, 200, 503)
FIRST_ROUTE_CANNOT_BE_SERVED = (503, 401, 200, 404)
SECOND_ROUTE_CANNOT_BE_SERVED = (200, 401, 503, 404)
WEIGHT = ("route_list", 0, "traffic_split")
STAGE = ("route_list", 1, "stages")
SEGMENTS = ("services", 3, "segments")

# The documents that were rejected whole though an operator may write them.
TAKEN = (
    (("route_list", -1), plain_route(service="other"), AS_BEFORE),
    (("services", -1), {"name": "plain"}, AS_BEFORE),
    (("tenants", 1, "name"), "cider", AS_BEFORE),
    (("tenants", 1, "api_keys"), ["k1"], AS_BEFORE),
    (("tenants", 1, "api_keys"), None, UNKNOWN_KEY_MAY_BE_VALID),
    (("tenants",), None, NO_KEY_IS_READ),
    (("tenants",), ABSENT, (200, 200, 200, 404)),
    (("tenants",), [], (401, 401, 401, 404)),
    (("route_list",), [], (404, 404, 404, 404)),
    (("route_list", 0, "service"), "gone", AS_BEFORE),
    (WEIGHT, [{"service": "gone", "weight": 1}], AS_BEFORE),
    ((*STAGE, 0, "service"), "gone", AS_BEFORE),
    (WEIGHT, [{"service": "plain", "weight": 0}], FIRST_ROUTE_CANNOT_BE_SERVED),
    (STAGE, [{"service": "rank", "after": [1]}, {"service": "rank"}], AS_BEFORE),
    (("route_list", 0, "prefix"), "/plain", AS_BEFORE),
    (("route_list", 0, "prefix"), "/pla", AS_BEFORE),
    (("route_list", 0, "host"), "", (404, 404, 200, 404)),
    (("route_list", 0, "name"), "", AS_BEFORE),
    (("services", 0, "health_path"), "", AS_BEFORE),
    (("route_list", 0, "max_attempts"), 0, AS_BEFORE),
    (("route_list", 0, "priority"), -1, AS_BEFORE),
    (("route_list", 0, "priority"), 1.0, AS_BEFORE),
    (("route_list", 0, "public"), 0, AS_BEFORE),
    (("limits",), ABSENT, AS_BEFORE),
    (("limits", "max_body_bytes"), 4.0, AS_BEFORE),
    (("services", 0, "max_connections"), 4.0, AS_BEFORE),
    ((*SEGMENTS, "slots"), 4.0, AS_BEFORE),
    ((*SEGMENTS, "queue"), 4.0, AS_BEFORE),
    ((*SEGMENTS, "batch"), 4.0, AS_BEFORE),
    (("version",), 4.0, AS_BEFORE),
    (("version",), "4", AS_BEFORE),
    ((*SEGMENTS, "headroom_mb"), -1, AS_BEFORE),
)
# Documents of which a part can't be read: what it would decide is refused for now.
LEFT_OUT = (
    (("tenants",), {}, NO_KEY_IS_READ),
    (("tenants",), "k1", NO_KEY_IS_READ),
    (("tenants", 0, "name"), 7, NO_KEY_IS_READ),
    (("tenants", 0, "name"), "a\n", NO_KEY_IS_READ),
    (("tenants", 0, "api_keys"), "k1", NO_KEY_IS_READ),
    (("tenants", 1, "api_keys"), ["k2", 7], UNKNOWN_KEY_MAY_BE_VALID),
    (("tenants", -1), None, UNKNOWN_KEY_MAY_BE_VALID),
    (("route_list", -1), 7, OTHER_ROUTE_MAY_EXIST),
    (("route_list", 0, "host"), 7, FIRST_ROUTE_IS_MISSING),
    (("route_list", 0, "prefix"), ABSENT, FIRST_ROUTE_IS_MISSING),
    (("route_list", 0, "service"), ABSENT, FIRST_ROUTE_CANNOT_BE_SERVED),
    (("route_list", 0, "service"), 7, FIRST_ROUTE_CANNOT_BE_SERVED),
    (("route_list", 0, "public"), "true", UNKNOWN_KEY_MAY_BE_VALID),
    (WEIGHT, "plain", FIRST_ROUTE_CANNOT_BE_SERVED),
    (WEIGHT, [{"service": "plain", "weight": -1}], FIRST_ROUTE_CANNOT_BE_SERVED),
    (WEIGHT, [7, {"service": "plain", "weight": 1}], AS_BEFORE),
    (STAGE, "x", SECOND_ROUTE_CANNOT_BE_SERVED),
    ((*STAGE, 0), 7, SECOND_ROUTE_CANNOT_BE_SERVED),
    ((*STAGE, 0, "service"), 7, SECOND_ROUTE_CANNOT_BE_SERVED),
    ((*STAGE, 0, "after"), ["0"], SECOND_ROUTE_CANNOT_BE_SERVED),
    ((*STAGE, 0, "after"), [0], SECOND_ROUTE_CANNOT_BE_SERVED),
    ((*STAGE, 0, "after"), [1], SECOND_ROUTE_CANNOT_BE_SERVED),
    ((*STAGE, 0, "after"), [2], SECOND_ROUTE_CANNOT_BE_SERVED),
    ((*STAGE, 0, "after"), [-1], SECOND_ROUTE_CANNOT_BE_SERVED),
    (("services",), None, AS_BEFORE),
    (("services", 0), None, AS_BEFORE),
)


async def decide(document):
    """Return the statuses of `REQUESTS`, and the service that gets the first."""
    directory = build_directory()
    data = msgspec.json.encode(document)
    directory.apply(build_configuration(2, document=data), source="store")
    directory.listed = True
    handler = RequestHandler(
        directory=directory, context=None, scheduler=None, log=None, metrics=None
    )
    opened = [_open(handler, *request) for request in REQUESTS]
    return tuple(status for status, _ in opened), opened[0][1]


def _open(handler, path, key):
    headers = [("host", "one.example"), ("x-attempt-id", "a"), ("x-deadline-ms", "900")]
    headers.append(("authorization", f"Token {key}"))
    request = h11.Request(method="GET", target=path, headers=headers)
    served = ServedRequest(request=request, started_at=0.0)
    served.facts = decode_request_metadata(request)
    try:
        exchange = handler._open_exchange(served, b"", None)
    except RequestFailedError as error:
        failure = error.failure
        assert failure.kind.status != 503 or failure.retry_after is not None
        return failure.kind.status, failure.kind.code
    return 200, exchange.service


class TestOddConfigurations(unittest.TestCase):
    def test_document_of_usual_fields_decides_as_expected(self):
        self.assertEqual(run_virtual(decide, build_document()), (AS_BEFORE, "plain"))

    # From the users' runs: requests that only a rejected document allows were refused.
    def test_document_that_an_operator_may_write_is_taken(self):
        for path, value, expected in TAKEN:
            with self.subTest(path=path, value=value):
                found, _ = run_virtual(decide, change_document(path, value))
                self.assertEqual(found, expected)

    # Guards against final refusals by half a document, and against requests that it
    # lets in: a part that can't be read refuses for now, and the rest is in force.
    def test_part_that_cannot_be_read_is_left_out_alone(self):
        for path, value, expected in LEFT_OUT:
            with self.subTest(path=path, value=value):
                found, _ = run_virtual(decide, change_document(path, value))
                self.assertEqual(found, expected)

    # Guards against requests that run at the service of an entry that was replaced.
    def test_last_of_two_entries_decides(self):
        again = plain_route(service="other")
        document = change_document(("route_list", -1), again)
        self.assertEqual(run_virtual(decide, document), (AS_BEFORE, "other"))

    # Guards against requests that wait, or are refused for good, at such a route.
    def test_route_that_cannot_be_served_names_the_reason(self):
        document = change_document(WEIGHT, [{"service": "plain", "weight": 0}])
        _, reason = run_virtual(decide, document)
        self.assertEqual(reason, "incomplete_configuration")


if __name__ == "__main__":
    unittest.main()
