"""Configurations of which a field or an entry is odd, each decoded alone."""

import unittest

import msgspec

from currantdyke.platform.configuration import decode_catalog
from currantdyke.platform.tests.configuration_builders import (
    ABSENT,
    build_document,
    change_document,
    decode_document,
)
from currantdyke.testing.gateways import plain_route

# Documents of which nothing can be used, and what the reason names.
UNUSABLE = {
    ("route_list",): {"route_list is null": None, "route_list is a text": "x"},
    ("version",): {
        "version is null": ABSENT,
        "version is True": True,
        "version is 2.5": 2.5,
        "version is -2": -2,
        "version is a text": "2.0",
    },
}
# What an odd value of a field is taken as, by its path: the value, how the catalog
# shows it, and whether it is reported as a problem.
TAKEN = {
    ("version",): (("7", 7, False), (4.0, 4, False)),
    ("route_list", 0, "max_attempts"): (
        (0, 1, True),
        (-3, 1, True),
        (2.5, 2, True),
        (True, 1, True),
        ("3", 1, True),
        (3.0, 3, False),
        (10**30, 2**63 - 1, True),
    ),
    ("route_list", 0, "priority"): ((-1, 0, True), (1.0, 1, False), (None, 0, False)),
    ("route_list", 0, "timeout_ms"): (
        (-5, None, True),
        ("5", None, True),
        (10**30, None, True),
        (0.5, 0.0005, False),
        (None, None, False),
    ),
    ("route_list", 0, "name"): (("", "", False), (7, "", True)),
    ("route_list", 0, "public"): (
        (1, True, False),
        (0, False, False),
        ("false", None, True),
        ([], None, True),
    ),
    ("services", 0, "health_path"): (("", "/healthz", False), (7, "/healthz", True)),
    ("services", 0, "max_connections"): ((4.0, 4, False), ("4", None, True)),
    ("services", 3, "segments", "slots"): ((4.0, 4, False), (-1, 1, True)),
    ("services", 3, "segments", "queue"): ((4.0, 4, False), (-1, 0, True)),
    ("services", 3, "segments", "batch"): ((4.0, 4, False), (1.5, 1, True)),
    ("services", 3, "segments", "headroom_mb"): (
        (-1, 2**62, True),
        (1.5, 1_500_000, False),
    ),
    ("services", 3, "segments", "handle_ttl_s"): ((None, 30.0, False),),
    ("limits", "max_body_bytes"): ((4.0, 4, False), (-1, 4_194_304, True)),
    ("limits", "idle_timeout_ms"): ((-1, 15.0, True), (None, 15.0, False)),
}
ATTRIBUTES = {
    "version": lambda c: c.version,
    "max_attempts": lambda c: c.routes[0].max_attempts,
    "priority": lambda c: c.routes[0].rank,
    "timeout_ms": lambda c: c.routes[0].timeout,
    "name": lambda c: c.routes[0].name,
    "public": lambda c: c.routes[0].public,
    "health_path": lambda c: c.services["plain"].health_path,
    "max_connections": lambda c: c.services["plain"].max_connections,
    "slots": lambda c: c.services["rank"].stage.slots,
    "queue": lambda c: c.services["rank"].stage.queue,
    "batch": lambda c: c.services["rank"].stage.batch,
    "headroom_mb": lambda c: c.services["rank"].stage.result_memory_bytes,
    "handle_ttl_s": lambda c: c.services["rank"].stage.result_ttl,
    "max_body_bytes": lambda c: c.limits.body_bytes,
    "idle_timeout_ms": lambda c: c.limits.idle_timeout,
}


class TestDocuments(unittest.TestCase):
    # Guards against a configuration in force that names no version or no routes.
    def test_document_without_usable_content_is_rejected(self):
        for path, values in UNUSABLE.items():
            for message, value in values.items():
                with self.subTest(path=path, value=value):
                    self.assertIn(
                        message, decode_document(change_document(path, value)).error
                    )
        for data in (b"[]", b"7", b"null", b'{"version": 2', b""):
            with self.subTest(data=data):
                self.assertTrue(decode_catalog(data).is_error())

    # Guards against the loss of all later changes because of one field.
    def test_odd_field_has_the_nearest_value_or_its_default(self):
        for path, values in TAKEN.items():
            for value, expected, is_problem in values:
                with self.subTest(path=path, value=value):
                    catalog = decode_document(change_document(path, value)).ok
                    self.assertEqual(ATTRIBUTES[path[-1]](catalog), expected)
                    self.assertEqual(bool(catalog.problems), is_problem)

    # Guards against problems that operators can't find.
    def test_problem_names_the_place(self):
        places = {
            ("route_list", 1, "stages", 1, "after"): "route_list[1]: stages[1]: ",
            ("route_list", 1, "host"): "route_list[1]: left out: host is 7",
            ("tenants", 1, "name"): "tenants[1]: left out: name is 7",
            ("services", 3, "segments", "batch"): None,
        }
        for path, place in places.items():
            with self.subTest(path=path):
                problems = decode_document(change_document(path, 7)).ok.problems
                self.assertEqual(bool(problems), place is not None)
                if place is not None:
                    self.assertTrue(problems[0].startswith(place), problems)

    # Guards against keys in a log.
    def test_no_problem_names_a_text_of_the_document(self):
        for path in (
            ("tenants",),
            ("tenants", 0),
            ("tenants", 0, "api_keys"),
            ("tenants", 0, "priority"),
            ("limits",),
            ("route_list", 0, "public"),
        ):
            for value in ("secret", ["secret", 1], {"secret": "secret"}):
                with self.subTest(path=path, value=value):
                    catalog = decode_document(change_document(path, value)).ok
                    self.assertNotIn("secret", str(catalog.problems))

    # Guards against endpoints that get a result twice.
    def test_stage_that_is_named_twice_is_one_input(self):
        path = ("route_list", 1, "stages", 1, "after")
        catalog = decode_document(change_document(path, [0, 0.0, 0])).ok
        self.assertEqual(catalog.routes[1].stages[1].after, (0,))

    # Guards against a rank or a group by a route that another entry has replaced.
    def test_last_entry_of_a_host_and_prefix_is_used(self):
        again = plain_route(host="ONE.example", service="other")
        catalog = decode_document(change_document(("route_list", -1), again)).ok
        self.assertEqual(
            [route.targets[0][0] for route in catalog.routes], ["other", "engine"]
        )
        self.assertEqual(
            catalog.problems, ("route_list: entries replaced by later ones: 1",)
        )
        document = change_document(("services", -1), {"name": "plain"})
        self.assertEqual(len(decode_document(document).ok.problems), 1)

    # Guards against rejecting what operators may leave out.
    def test_fields_with_a_default_may_be_missing_or_null(self):
        document = build_document()
        for entry in document["route_list"]:
            for name in ("name", "priority", "timeout_ms", "target_itl_ms", "stages"):
                entry[name] = None
            del entry["max_attempts"]
        for service in document["services"]:
            service.pop("max_connections")
        del document["tenants"]
        catalog = decode_document(document).ok
        self.assertIsNone(catalog.workspaces)
        self.assertEqual({route.max_attempts for route in catalog.routes}, {1})
        self.assertEqual((catalog.problems, catalog.incomplete), ((), frozenset()))

    # Guards against a daemon that ends because of an odd value.
    def test_any_value_of_any_field_is_taken_or_rejected(self):
        odd = (None, True, -1, 0, 4.5, 10**30, "", "x", [], {}, [None], [[]], [{}])
        for path in _paths(build_document()):
            for value in (*odd, ABSENT):
                with self.subTest(path=path, value=value):
                    decoded = decode_document(change_document(path, value))
                    is_whole = path not in (("version",), ("route_list",))
                    self.assertTrue(decoded.is_ok() or not is_whole)

    def test_fields_that_are_not_known_are_ignored(self):
        document = build_document() | {"new": [1]}
        data = msgspec.json.encode(document)
        self.assertEqual(decode_catalog(data).ok.problems, ())


def _paths(entry, path=()):
    """Return the paths of all fields and entries of a document."""
    items = entry.items() if isinstance(entry, dict) else enumerate(entry)
    for name, value in items:
        yield (*path, name)
        if isinstance(value, dict | list):
            yield from _paths(value, (*path, name))


if __name__ == "__main__":
    unittest.main()
