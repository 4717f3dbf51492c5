import unittest

from currantdyke.retries import RetryBudget


class TestRetryBudget(unittest.TestCase):
    def test_retries_stay_within_the_share_of_first_attempts(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.earn(0.1)
            for _ in range(3):
                budget.spend()
        self.assertLessEqual(budget.spent, 103)
        self.assertGreaterEqual(budget.spent, 102)

    def test_calls_lost_in_a_crash_have_a_bounded_reserve(self):
        budget = RetryBudget(available=0.0)
        spent = sum(budget.spend(connection_lost=True) for _ in range(1000))
        self.assertEqual(spent, 100)

    def test_unused_retries_are_bounded(self):
        budget = RetryBudget()
        for _ in range(100_000):
            budget.earn(0.1)
        self.assertEqual(sum(budget.spend() for _ in range(1000)), 20)


if __name__ == "__main__":
    unittest.main()
