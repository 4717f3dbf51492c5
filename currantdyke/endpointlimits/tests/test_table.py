import unittest

import anyio

from currantdyke.catalog import Endpoint
from currantdyke.endpointlimits.messages import TokenRequest
from currantdyke.endpointlimits.table import (
    LimitTable,
    Role,
    next_retry_slot,
    reserved_tokens,
)
from currantdyke.testing.limit_fleet import response
from currantdyke.testing.stage_fleet import own_limits, silent_log
from currantdyke.testing.virtual import run_virtual


def build_endpoint(born=1):
    return Endpoint(
        instance="e", service="s", address="a:1", availability_zone="z", born=born
    )


class TestOrderOfAnswers(unittest.TestCase):
    def setUp(self):
        self.table = LimitTable()
        self.table.record("e", 1, 2.0, sent_at=0.0, heard_at=5.0)

    def rate_after(self, rate, *, sent_at, heard_at, born=1):
        self.table.record("e", born, rate, sent_at=sent_at, heard_at=heard_at)
        return self.table.limits["e"].rate

    def test_answer_from_before_the_limit_does_not_end_it(self):
        self.assertEqual(self.rate_after(None, sent_at=4.0, heard_at=6.0), 2.0)

    def test_answer_to_a_later_request_ends_it(self):
        self.assertIsNone(self.rate_after(None, sent_at=5.1, heard_at=6.0))

    def test_of_answers_that_overtake_each_other_the_lower_limit_holds(self):
        self.assertEqual(self.rate_after(1.0, sent_at=4.0, heard_at=6.0), 1.0)
        self.assertEqual(self.rate_after(3.0, sent_at=5.5, heard_at=6.5), 1.0)
        self.assertEqual(self.rate_after(3.0, sent_at=7.0, heard_at=7.1), 3.0)

    def test_limit_goes_with_the_lifetime_that_named_it(self):
        self.assertIsNotNone(self.table.of(build_endpoint(born=1)))
        self.assertIsNone(self.table.of(build_endpoint(born=2)))
        self.assertEqual(self.rate_after(4.0, sent_at=6, heard_at=7, born=2), 4.0)
        self.assertEqual(self.rate_after(1.0, sent_at=8, heard_at=9, born=1), 4.0)

    def test_what_a_peer_knew_earlier_changes_nothing(self):
        self.assertFalse(self.table.adopt("e", 1, 9.0, 4.0))
        self.assertTrue(self.table.adopt("e", 1, None, 6.0))


class TestTokens(unittest.TestCase):
    def setUp(self):
        self.table = LimitTable()
        self.table.adopt("e", 1, 2.0, 0.0)
        self.limit = self.table.limits["e"]

    def take(self, role, now, sheddable=False):
        reserve = reserved_tokens(role, sheddable=sheddable)
        return self.table.take(self.limit, role, now=now, daemons=10, reserve=reserve)

    def test_daemon_that_becomes_owner_has_no_token(self):
        self.assertEqual(self.take(Role.OWNER, 100.0), 0.5)
        self.assertEqual(self.take(Role.OWNER, 100.5), 0.0)
        self.assertGreater(self.take(Role.ALONE, 200.0), 10.0)
        self.assertEqual(self.take(Role.OWNER, 300.0), 0.5)

    def test_less_urgent_requests_leave_a_token_to_the_others(self):
        self.take(Role.OWNER, 0.0)
        self.assertGreater(self.take(Role.OWNER, 0.6, sheddable=True), 0.0)
        self.assertEqual(self.take(Role.OWNER, 0.6), 0.0)
        self.assertEqual(self.take(Role.OWNER, 1.8, sheddable=True), 0.0)

    def test_refused_callers_come_back_one_after_another(self):
        turns = [next_retry_slot(self.limit, 0.5, 2.0, 10.0) for _ in range(30)]
        self.assertEqual(turns[:4], [0.5, 1.0, 1.5, 2.0])
        self.assertEqual(turns[-1], 8.0)


class TestAnswers(unittest.TestCase):
    def rate_after(self, *answers):
        async def record():
            limits = own_limits(silent_log())
            for answer in answers:
                await anyio.sleep(0.1)
                sent_at = anyio.current_time()
                await anyio.sleep(1.0)
                limits.record_response(build_endpoint(), answer, sent_at)
            return limits.rate(build_endpoint())

        return run_virtual(record)

    def test_limit_in_a_refusal_holds(self):
        refusal = response(3.0, status=503, not_run=True)
        self.assertEqual(self.rate_after(refusal), 3.0)

    def test_only_a_success_ends_a_limit(self):
        refusal = response(None, status=503, not_run=True)
        self.assertEqual(self.rate_after(response(3.0), refusal), 3.0)
        self.assertIsNone(self.rate_after(response(3.0), response(None)))

    def test_limit_of_another_endpoint_at_the_address_is_ignored(self):
        misdirected = response(3.0, status=421, not_run=True, misdirected=True)
        self.assertIsNone(self.rate_after(misdirected))

    def test_unreadable_limit_changes_nothing(self):
        unreadable = response(None, unreadable_limit="nan")
        self.assertEqual(self.rate_after(response(3.0), unreadable), 3.0)

    # An owner that has started anew has no answer of its own to learn from.
    def test_owner_learns_a_limit_from_the_daemon_that_asks(self):
        async def ask():
            limits = own_limits(silent_log())
            request = TokenRequest(instance="e", service="s", born=1, rate=2.0, age=1.0)
            grant = await limits.handle_request(request)
            return grant, limits.rate(build_endpoint())

        grant, rate = run_virtual(ask)
        self.assertEqual((grant.limited, rate), (True, 2.0))
        self.assertGreater(grant.wait, 0.0)


if __name__ == "__main__":
    unittest.main()
