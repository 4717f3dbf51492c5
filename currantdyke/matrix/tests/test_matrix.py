import unittest

from currantdyke.matrix import FAULTS, STEPS, run_cell


class TestSingleFaults(unittest.TestCase):
    """Every fault at every step; `add_test` adds one test per fault."""

    def check_all_steps(self, fault):
        reached = 0
        for step in STEPS:
            result = run_cell((fault,), (step,))
            reached += result.injected
            with self.subTest(fault=fault, step=step, seed=result.seed):
                self.assertEqual(result.violations, [])
        self.assertGreaterEqual(reached, len(STEPS) - 1)


def add_test(fault):
    name = "test_guarantees_hold_with_" + fault.replace(" ", "_")
    setattr(TestSingleFaults, name, lambda self: self.check_all_steps(fault))


for fault_name in FAULTS:
    add_test(fault_name)


class TestPairsOfFaults(unittest.TestCase):
    def test_guarantees_hold_when_daemon_dies_after_an_answer_was_lost(self):
        for step in STEPS:
            result = run_cell(("answer lost", "daemon killed"), ("submit", step))
            with self.subTest(step=step, seed=result.seed):
                self.assertEqual(result.violations, [])

    def test_guarantees_hold_when_caller_resends_and_daemon_dies(self):
        for step in STEPS:
            result = run_cell(("caller resends", "daemon killed"), ("submit", step))
            with self.subTest(step=step, seed=result.seed):
                self.assertEqual(result.violations, [])


if __name__ == "__main__":
    unittest.main()
