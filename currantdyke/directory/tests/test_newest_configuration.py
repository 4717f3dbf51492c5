"""Whether a daemon refuses by its configuration when a newer one is known."""

import unittest

from currantdyke.core import Position
from currantdyke.directory.tests.builders import (
    build_changes,
    build_configuration,
    build_directory,
    tell,
)
from currantdyke.testing.virtual import run_virtual

UNUSABLE = b'{"version": 8, "route_list": [{"name": "r", "ho'


def build_pair():
    """Return two daemons that have version 7."""
    pair = build_directory(), build_directory()
    for directory in pair:
        directory.apply(build_configuration(7), source="store")
    return pair


class TestUnusableDocument(unittest.TestCase):
    # From the users' runs: gateways that had not read the newest document themselves
    # answered 401 and 404 by an older one.
    def test_peer_that_heard_only_the_position_does_not_decide(self):
        def scenario():
            first, second = build_pair()
            first.apply(build_configuration(8, document=UNUSABLE), source="store")
            tell(first, second)
            self.assertEqual(second.replica.position, Position(0, 8))
            return first.decides, second.decides, second.routes.catalog.version

        self.assertEqual(run_in_virtual(scenario), (False, False, 7))

    # The same, after a read of the store that begins after that position.
    def test_later_read_of_the_store_does_not_let_it_decide(self):
        def scenario():
            first, second = build_pair()
            first.apply(build_configuration(8, document=UNUSABLE), source="store")
            tell(first, second)
            second.apply(later_changes(9), source="store")
            before = second.decides
            second.apply(build_configuration(10), source="store")
            return before, second.decides

        self.assertEqual(run_in_virtual(scenario), (False, True))

    # The same over two daemons, the second of which knows it from the first alone.
    def test_what_is_known_of_it_is_passed_on(self):
        def scenario():
            first, second = build_pair()
            _, third = build_pair()
            first.apply(build_configuration(8, document=UNUSABLE), source="store")
            tell(first, second)
            tell(second, third)
            return third.decides

        self.assertFalse(run_in_virtual(scenario))


def later_changes(revision):
    """Return changes of the store up to a revision, none of the configuration."""
    return build_changes(0, revision)


def run_in_virtual(scenario):
    """Return the result of a function that runs at a virtual time."""

    async def run():
        return scenario()

    return run_virtual(run)


if __name__ == "__main__":
    unittest.main()
