import unittest

from currantdyke.modelcheck import SEND_FAULTS, check_model, send_model


class TestSendModel(unittest.TestCase):
    def test_non_idempotent_request_runs_at_most_once_and_not_run_is_true(self):
        report = check_model(send_model())
        self.assertEqual(report.verdict, "proved", report.text())
        self.assertTrue(report.exhaustive)

    def test_each_injected_fault_gives_a_counterexample(self):
        for fault in SEND_FAULTS:
            with self.subTest(fault=fault):
                report = check_model(send_model(faults=frozenset((fault,))))
                self.assertEqual(report.verdict, "refuted", report.text())
                self.assertTrue(report.counterexample)


if __name__ == "__main__":
    unittest.main()
