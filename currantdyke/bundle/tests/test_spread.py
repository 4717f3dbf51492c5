import unittest

from currantdyke.bundle.bench_spread import FAULTS, run_once

LIMIT_SECONDS = 11.0


class TestSpread(unittest.TestCase):
    def test_push_pull_reaches_every_daemon_in_time_under_each_fault(self):
        for fault in FAULTS:
            with self.subTest(fault=fault):
                figures = run_once("few, push-pull", 60, fault, 1)
                self.assertLess(figures.after_heal, LIMIT_SECONDS)
                self.assertLess(figures.store_peak, 60)

    def test_daemons_that_only_watch_lag_while_the_store_is_down(self):
        figures = run_once("all watch", 60, "store down", 1)
        self.assertGreater(figures.last, 60.0)


if __name__ == "__main__":
    unittest.main()
