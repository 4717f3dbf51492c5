import unittest

import minicheck

from currantdyke.bundle.model import models

MAX_STATES = 20_000
MAX_STATES_TO_A_COUNTEREXAMPLE = 6_000


class TestModel(unittest.TestCase):
    def test_protocol_holds_and_each_planted_fault_has_a_counterexample(self):
        for model, must_hold in models():
            most = MAX_STATES if must_hold else MAX_STATES_TO_A_COUNTEREXAMPLE
            result = minicheck.check_safety(model, max_states=most)
            verdicts = {n: p["holds"] for n, p in result["properties"].items()}
            with self.subTest(model=model.name):
                if must_hold:
                    self.assertTrue(result["exhaustive"])
                    self.assertEqual(set(verdicts.values()), {True})
                else:
                    self.assertIn(False, verdicts.values())


if __name__ == "__main__":
    unittest.main()
