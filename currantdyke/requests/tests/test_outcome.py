import unittest

from currantdyke.core import Outcome
from currantdyke.requests import decide_outcome
from currantdyke.stagecalls import AttemptEnd
from currantdyke.testing.builders import build_open_attempt, build_report

NOT_RUN, FAILED, UNKNOWN = Outcome.NOT_RUN, Outcome.FAILED, Outcome.UNKNOWN
OF_ONE_END = {
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
    def test_each_end_by_itself(self):
        self.assertEqual(set(OF_ONE_END), set(AttemptEnd))
        for end, outcome in OF_ONE_END.items():
            with self.subTest(end):
                self.assertEqual(decide_outcome([build_open_attempt(end)]), outcome)

    def test_the_least_certain_of_two_ends_decides(self):
        order = (NOT_RUN, FAILED, UNKNOWN)
        for one, first in OF_ONE_END.items():
            for other, second in OF_ONE_END.items():
                with self.subTest(f"{one} {other}"):
                    attempts = [build_open_attempt(end) for end in (one, other)]
                    expected = order[max(order.index(first), order.index(second))]
                    self.assertEqual(decide_outcome(attempts), expected)

    def test_open_attempt_is_judged_by_its_hand_off(self):
        handed = build_open_attempt(handed=True)
        waiting = build_open_attempt(handed=False)
        self.assertEqual(decide_outcome([waiting]), NOT_RUN)
        self.assertEqual(decide_outcome([waiting, handed]), UNKNOWN)

    def test_attempt_is_settled_once(self):
        attempt = build_open_attempt(AttemptEnd.DONE, handed=True)
        self.assertFalse(attempt.settle(build_report(AttemptEnd.CUT)))
        self.assertFalse(attempt.abandon())
        self.assertEqual(attempt.report.end, AttemptEnd.DONE)


if __name__ == "__main__":
    unittest.main()
