import unittest

import anyio
import msgspec

from currantdyke.core import FailureKind
from currantdyke.directory.tests.builders import build_configuration, build_directory
from currantdyke.gateway.denials import DENIALS, deny
from currantdyke.platform.answers import encode_failure_response
from currantdyke.testing.gateways import configuration, plain_route
from currantdyke.testing.virtual import run_virtual

# Documents that do not state by what a request of a kind is refused.
INCOMPLETE = {
    FailureKind.NO_ROUTE: {"route_list": [plain_route(), 7]},
    FailureKind.UNAUTHORIZED: {"tenants": None},
    FailureKind.TOO_LARGE: {"limits": {"max_header_bytes": 16_384}},
    FailureKind.HEADERS_TOO_LARGE: {"limits": {"max_body_bytes": 1_000_000}},
}


def denied(seconds_later, **changes):
    """Return the statuses and headers of all denials, some time after a read.

    Parameters
    ----------
    changes : dict
        Fields of the configuration.
    """
    document = configuration(1, [plain_route()], **changes)

    async def scenario():
        directory = build_directory()
        if seconds_later is not None:
            directory.apply(
                build_configuration(1, document=msgspec.json.encode(document)),
                source="store",
            )
            await anyio.sleep(seconds_later)
        answers = {}
        for kind in DENIALS:
            failure = deny(directory, kind, "detail")
            status, headers, _ = encode_failure_response(failure, "a1")
            answers[kind] = (status, dict(headers))
        return answers

    return run_virtual(scenario)


class TestDenials(unittest.TestCase):
    def test_current_daemon_denies_with_the_status_of_the_kind(self):
        for kind, (status, _) in denied(1.0).items():
            self.assertEqual(status, kind.status)

    # Guards against final refusals of what a newer configuration may allow.
    def test_daemon_with_old_or_no_configuration_refuses_for_the_moment(self):
        for seconds in (2.5, None):
            for kind, (status, headers) in denied(seconds).items():
                with self.subTest(kind=kind, seconds=seconds):
                    self.assertEqual(status, 503)
                    self.assertIn(b"retry-after", headers)

    # Guards against final refusals by what the configuration does not state.
    def test_part_that_is_not_known_refuses_for_the_moment(self):
        for open_kind, changes in INCOMPLETE.items():
            for kind, (status, headers) in denied(1.0, **changes).items():
                with self.subTest(open_kind=open_kind, kind=kind):
                    is_open = kind is open_kind
                    self.assertEqual(status, 503 if is_open else kind.status)
                    self.assertEqual(b"retry-after" in headers, is_open)

    # Guards against a final 401 on a public route that was left out, below the prefix
    # of one that needs a key.
    def test_key_is_not_refused_for_good_if_a_public_route_was_left_out(self):
        for public, status in ((True, 503), ("yes", 503), (False, 401), (None, 401)):
            left_out = plain_route(prefix="/plain/open/", public=public, host=["a"])
            answers = denied(1.0, route_list=[plain_route(), left_out])
            self.assertEqual(answers[FailureKind.UNAUTHORIZED][0], status)


if __name__ == "__main__":
    unittest.main()
