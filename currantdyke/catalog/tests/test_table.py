import unittest

from currantdyke.catalog import Catalog, Repeatability, Route, RouteTable


def build_table(*prefixes, host="a.example"):
    """Return the table of routes on one host that are named after their prefixes."""
    routes = tuple(
        Route(
            name=prefix,
            host=host,
            prefix=prefix,
            repeatability=Repeatability.AT_MOST_ONCE,
            targets=(("s", 1.0),),
        )
        for prefix in prefixes
    )
    return RouteTable.of(catalog=Catalog(version=1, routes=routes))


class TestRouteTable(unittest.TestCase):
    # Guards against a route that can't be reached since its prefix has no last slash.
    def test_longest_prefix_that_begins_the_path_is_found(self):
        table = build_table("/x/", "/x", "/x/y", "/x/y/", "/x/yz/w", "/long/prefix")
        expected = {
            "/x": "/x",
            "/xy": "/x",
            "/x/": "/x/",
            "/x/a/b": "/x/",
            "/x/y": "/x/y",
            "/x/yz": "/x/y",
            "/x/y/z": "/x/y/",
            "/x/yz/wv": "/x/yz/w",
            "/y": None,
            "/long": None,
        }
        for path, prefix in expected.items():
            with self.subTest(path=path):
                route = table.find("A.example:80", path)
                self.assertEqual(route and route.name, prefix)

    # Guards against a final 404 for a host that is written with its port.
    def test_port_of_a_host_is_not_compared(self):
        table = build_table("/x/", host="A.example:8080")
        for host in ("a.example", "A.example:8080", "a.example:80"):
            self.assertIsNotNone(table.find(host, "/x/y"))

    def test_empty_prefix_begins_every_path(self):
        table = build_table("", "/x/")
        self.assertEqual(table.find("a.example", "/y").name, "")
        self.assertEqual(table.find("a.example", "/x/y").name, "/x/")
        self.assertIsNone(table.find("b.example", "/y"))


if __name__ == "__main__":
    unittest.main()
