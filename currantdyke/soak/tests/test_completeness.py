import unittest

import attrs

from currantdyke.soak.completeness import (
    CONTACT_SECONDS,
    GRACE_SECONDS,
    LAST_SEND_SECONDS,
    LOSS_SLACK_SECONDS,
    describe_loss,
)
from currantdyke.soak.tests.builders import (
    FakeIncarnation,
    build_answer,
    build_attempt,
)

SENT_AT = 1.0
TIME_LIMIT = 5.0
NEVER = float("-inf")


def build_lost(seconds=2.0, incarnation=None, **changes):
    """Return an attempt without an answer that ended after a time."""
    attempt = build_attempt(
        incarnation=incarnation,
        sent_whole_at=SENT_AT,
        ended_at=SENT_AT + seconds,
        time_limit=TIME_LIMIT,
    )
    return attrs.evolve(attempt, **changes)


def is_lost(attempt, *, passed_on=True, unplanned_at=NEVER, sound=False):
    return bool(
        describe_loss(
            attempt,
            passed_on=passed_on,
            unplanned_at=unplanned_at,
            sound_endpoints=sound,
        )
    )


class TestDescribeLoss(unittest.TestCase):
    def test_connection_that_closes_on_a_passed_on_request_loses_it(self):
        self.assertTrue(is_lost(build_lost()))
        incomplete = build_answer(complete=False)
        self.assertTrue(is_lost(build_lost(answer=incomplete)))
        self.assertFalse(is_lost(build_lost(answer=build_answer())))
        self.assertFalse(is_lost(build_lost(answer=build_answer(503))))

    def test_request_that_is_not_passed_on_is_lost_after_the_slack(self):
        for seconds, lost in (
            (LOSS_SLACK_SECONDS - 0.01, False),
            (LOSS_SLACK_SECONDS + 0.01, True),
        ):
            attempt = build_lost(seconds)
            self.assertEqual(is_lost(attempt, passed_on=False), lost)
        unsent = build_lost(sent_whole_at=float("inf"))
        self.assertFalse(is_lost(unsent, passed_on=False))

    def test_unplanned_faults_excuse(self):
        before = SENT_AT - CONTACT_SECONDS
        self.assertTrue(is_lost(build_lost(), unplanned_at=before - 0.1))
        self.assertFalse(is_lost(build_lost(), unplanned_at=before + 0.1))
        interrupted = FakeIncarnation(interrupted=True)
        self.assertFalse(is_lost(build_lost(incarnation=interrupted)))

    def test_time_limit_excuses(self):
        self.assertTrue(is_lost(build_lost(TIME_LIMIT - 0.2)))
        self.assertFalse(is_lost(build_lost(TIME_LIMIT)))

    def test_end_of_the_grace_period_excuses_early_requests(self):
        last = SENT_AT - LAST_SEND_SECONDS
        for sigterm_at, lost in ((last + 0.1, False), (last - 0.1, True)):
            incarnation = FakeIncarnation(sigterm_at=sigterm_at)
            ended_at = sigterm_at + GRACE_SECONDS - 0.1
            attempt = build_lost(
                incarnation=incarnation, ended_at=ended_at, time_limit=10.0
            )
            self.assertEqual(is_lost(attempt), lost)

    def test_failure_of_the_gateway_counts_if_all_endpoints_are_sound(self):
        own = attrs.evolve(build_answer(502), headers={})
        for answer, sound, lost in (
            (own, True, True),
            (own, False, False),
            (build_answer(502), True, False),
        ):
            attempt = build_lost(answer=answer)
            self.assertEqual(is_lost(attempt, sound=sound), lost)


if __name__ == "__main__":
    unittest.main()
