import unittest

from currantdyke.modelcheck import (
    FENCED_FAULTS,
    UNFENCED_FAULTS,
    check_model,
    order_model,
)


class TestOrderModel(unittest.TestCase):
    def test_no_old_order_after_a_new_one_on_both_kinds_of_endpoint(self):
        for fenced in (False, True):
            report = check_model(order_model(fenced=fenced))
            self.assertEqual(report.verdict, "proved", report.text())
            self.assertTrue(report.exhaustive)
            self.assertGreater(report.states, 10_000)

    def test_each_planted_fault_gives_a_counterexample(self):
        for fenced, faults in ((False, UNFENCED_FAULTS), (True, FENCED_FAULTS)):
            for fault in faults:
                with self.subTest(fault=fault):
                    model = order_model(fenced=fenced, faults=frozenset((fault,)))
                    report = check_model(model)
                    self.assertEqual(report.verdict, "refuted")
                    self.assertTrue(report.counterexample)


if __name__ == "__main__":
    unittest.main()
