import unittest

from currantdyke.retries import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def test_retry_storm_stays_within_the_share_of_first_attempts(self):
        budget = RetryBudget()
        for _ in range(1000):
            budget.earn(0.1)
            for _ in range(3):
                budget.spend()
        self.assertLessEqual(budget.spent, 103)
        self.assertGreaterEqual(budget.spent, 102)

    def test_savings_of_quiet_times_are_bounded(self):
        budget = RetryBudget()
        for _ in range(100_000):
            budget.earn(0.1)
        self.assertEqual(sum(budget.spend() for _ in range(1000)), 20)


if __name__ == "__main__":
    unittest.main()
