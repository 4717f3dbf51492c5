import unittest

from currantdyke.core import Outcome
from currantdyke.requests import decide_outcome
from currantdyke.stagecalls import AttemptEnd
from currantdyke.testing.builders import build_report, build_tracked_attempt

NOT_RUN, FAILED, UNKNOWN = Outcome.NOT_RUN, Outcome.FAILED, Outcome.UNKNOWN
OUTCOME_BY_END = {
    AttemptEnd.DONE: FAILED,
    AttemptEnd.NOT_HANDED: NOT_RUN,
    AttemptEnd.REFUSED: NOT_RUN,
    AttemptEnd.FAILED: FAILED,
    AttemptEnd.CUT: UNKNOWN,
    AttemptEnd.MISMATCHED: UNKNOWN,
    AttemptEnd.TIMED_OUT: UNKNOWN,
    AttemptEnd.ABANDONED: UNKNOWN,
}


class TestDecideOutcome(unittest.TestCase):
    def test_single_attempt_gives_the_outcome_of_its_end(self):
        self.assertEqual(set(OUTCOME_BY_END), set(AttemptEnd))
        for end, outcome in OUTCOME_BY_END.items():
            with self.subTest(end):
                self.assertEqual(decide_outcome([build_tracked_attempt(end)]), outcome)

    def test_two_attempts_give_the_less_certain_outcome(self):
        order = (NOT_RUN, FAILED, UNKNOWN)
        for one, first in OUTCOME_BY_END.items():
            for other, second in OUTCOME_BY_END.items():
                with self.subTest(f"{one} {other}"):
                    attempts = [build_tracked_attempt(end) for end in (one, other)]
                    expected = order[max(order.index(first), order.index(second))]
                    self.assertEqual(decide_outcome(attempts), expected)

    def test_unsettled_attempt_is_classified_by_its_hand_off(self):
        handed = build_tracked_attempt(handed=True)
        waiting = build_tracked_attempt(handed=False)
        self.assertEqual(decide_outcome([waiting]), NOT_RUN)
        self.assertEqual(decide_outcome([waiting, handed]), UNKNOWN)

    def test_attempt_is_settled_only_once(self):
        attempt = build_tracked_attempt(AttemptEnd.DONE, handed=True)
        self.assertFalse(attempt.settle(build_report(AttemptEnd.CUT)))
        self.assertFalse(attempt.abandon())
        self.assertEqual(attempt.report.end, AttemptEnd.DONE)


if __name__ == "__main__":
    unittest.main()
