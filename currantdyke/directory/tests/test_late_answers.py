"""Answers that are older than what a daemon knows when they arrive."""

import unittest

from currantdyke.core import Position
from currantdyke.directory.tests.builders import (
    build_changes,
    build_configuration,
    build_directory,
    build_entry,
    in_virtual_time,
)

ENDPOINT = "servers/e"


def build_list(era, revision, **items):
    return build_changes(era, revision, is_snapshot=True, **items)


def build_reader(changes):
    """Return a daemon that has read some changes from the store."""
    directory = build_directory()
    directory.apply(changes, source="store")
    return directory


class TestRemovedEndpoints(unittest.TestCase):
    # Guards against calls of an endpoint that left before the first list of a daemon,
    # after a peer's answer that was on its way since before that.
    @in_virtual_time
    def test_late_answer_of_a_peer_brings_no_endpoint_back(self):
        peer = build_reader(build_list(1, 50, **{ENDPOINT: build_entry()}))
        late = peer.changes_since(Position())
        for era, revision in ((1, 60), (2, 40)):
            starting = build_reader(build_list(era, revision))
            starting.apply(late, source="peer")
            self.assertEqual(dict(starting.endpoints.known), {})

    # Guards against the same if a peer answers before the first list has arrived whole.
    @in_virtual_time
    def test_late_list_of_the_store_brings_no_endpoint_back(self):
        entry = build_list(1, 50, **{ENDPOINT: build_entry()})
        peer = build_reader(entry)
        peer.apply(build_changes(1, 60, **{ENDPOINT: None}), source="store")
        starting = build_directory()
        starting.apply(peer.changes_since(Position()), source="peer")
        starting.apply(entry, source="store")
        self.assertEqual(dict(starting.endpoints.known), {})

    # Guards against endpoints that a daemon never learns of.
    @in_virtual_time
    def test_later_answers_bring_endpoints(self):
        for changes in (
            build_list(1, 60, **{ENDPOINT: build_entry()}),
            build_changes(1, 61, **{ENDPOINT: build_entry()}),
        ):
            directory = build_reader(build_list(1, 60))
            directory.apply(changes, source="store")
            self.assertEqual(list(directory.endpoints.known), ["e"])

    # Guards against a daemon without a configuration after a return of the store.
    @in_virtual_time
    def test_late_answer_brings_the_configuration_that_a_copy_lacks(self):
        peer = build_reader(build_configuration(7, era=1, is_snapshot=True))
        starting = build_reader(build_list(2, 40))
        starting.apply(peer.changes_since(Position()), source="peer")
        self.assertEqual(starting.routes.catalog.version, 7)
        self.assertFalse(starting.decides)


if __name__ == "__main__":
    unittest.main()
