import unittest

from currantdyke.directory import ChangeSet
from currantdyke.directory.tests.builders import (
    build_configuration,
    build_directory,
)
from currantdyke.testing.virtual import run_virtual


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class TestAge(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.directory = build_directory(self.clock)

    def apply(self, changes, asked_at):
        async def scenario():
            self.directory.apply(changes, source="store", asked_at=asked_at)

        run_virtual(scenario)

    def test_empty_directory_decides_nothing(self):
        self.apply(ChangeSet(changes=(), revision=7), 100.0)
        self.assertFalse(self.directory.decides)

    # Guards against a state that seems new because its transfer took long.
    def test_age_counts_from_the_request_for_the_state(self):
        self.apply(build_configuration(3, age=0.5), 99.0)
        self.assertAlmostEqual(self.directory.age, 1.5)
        self.assertTrue(self.directory.decides)

    # Guards against final refusals from a state older than the users' bound.
    def test_state_older_than_the_bound_does_not_decide(self):
        self.apply(build_configuration(3), 100.0)
        self.clock.now += self.directory.configuration_delay
        self.assertFalse(self.directory.decides)

    def test_older_request_does_not_make_the_state_older(self):
        self.apply(build_configuration(3), 100.0)
        self.apply(build_configuration(4), 98.0)
        self.assertEqual(self.directory.age, 0.0)

    # Guards against a restarted peer whose empty state passes for a current one.
    def test_sender_that_knows_less_does_not_make_the_state_current(self):
        self.apply(build_configuration(3), 90.0)
        self.apply(ChangeSet(changes=(), revision=2), 100.0)
        self.assertEqual(self.directory.age, 10.0)

    # Guards against final refusals by a daemon that could not read the new version.
    def test_unreadable_configuration_does_not_decide_until_one_is_readable(self):
        self.apply(build_configuration(3), 100.0)
        self.apply(build_configuration(4, document=b"{"), 100.0)
        self.assertFalse(self.directory.decides)
        self.apply(build_configuration(5), 100.0)
        self.assertTrue(self.directory.decides)


if __name__ == "__main__":
    unittest.main()
