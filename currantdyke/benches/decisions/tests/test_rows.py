import unittest

from currantdyke.benches.decisions.cell import PolicyUnderTest, run_cell
from currantdyke.benches.decisions.scenarios import SCENARIOS
from currantdyke.benches.decisions.workload import NG_WEST
from currantdyke.bundle import Policy

MAX_EXTRA_ATTEMPTS = 0.10


class TestCellFigures(unittest.TestCase):
    def test_retries_stay_within_budget_and_attainment_within_bound_while_a_stage_fails(
        self,
    ):
        tested = PolicyUnderTest(name="attainment", policy=Policy())
        figures = run_cell(NG_WEST, SCENARIOS["stage fails 20%"], 0.8, tested, 11)
        self.assertLessEqual(figures.extra_attempts, MAX_EXTRA_ATTEMPTS)
        self.assertLessEqual(figures.attainment, figures.bound)


if __name__ == "__main__":
    unittest.main()
