"""Look up the route and the workspace of a request."""

import attrs

from currantdyke.catalog.types import Catalog, Route, Workspace

__all__ = ["RouteTable"]


@attrs.define(kw_only=True)
class RouteTable:
    """Index of a catalog: routes by host and path prefix, workspaces by key.

    Attributes
    ----------
    by_host : dict of str to dict
        Routes by prefix, by host, of the hosts whose prefixes all end with a slash.
    open_by_host : dict of str to dict
        The same of the other hosts.
    open_lengths : dict of str to tuple of int
        The lengths of the prefixes of such a host, the longest first, by host.
    lowest_rank_by_service : dict of str to int
        The smallest, thus most urgent, rank among the routes of each service, by
        service name.

    Examples
    --------
    >>> from currantdyke.catalog.types import Repeatability
    >>> route = Route(name="r", host="a.example", prefix="/x/",
    ...               repeatability=Repeatability.AT_MOST_ONCE, targets=(("s", 1.0),))
    >>> table = RouteTable.of(catalog=Catalog(version=1, routes=(route,)))
    >>> table.find("A.example:80", "/x/y").name, table.find("a.example", "/z/")
    ('r', None)
    """

    catalog: Catalog
    by_host: dict[str, dict[str, Route]]
    open_by_host: dict[str, dict[str, Route]]
    open_lengths: dict[str, tuple[int, ...]]
    workspace_by_key: dict[str, Workspace]
    lowest_rank_by_service: dict[str, int]

    @classmethod
    def of(cls, *, catalog: Catalog) -> "RouteTable":
        """Build the index of a catalog."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in catalog.routes:
            host = _without_port(route.host).lower()
            by_host.setdefault(host, {})[route.prefix] = route
        open_by_host = {
            host: by_host.pop(host)
            for host, prefixes in list(by_host.items())
            if not all(prefix.endswith("/") for prefix in prefixes)
        }
        open_lengths = {
            host: tuple(sorted(set(map(len, prefixes)), reverse=True))
            for host, prefixes in open_by_host.items()
        }
        workspace_by_key = {
            key: workspace
            for workspace in catalog.workspaces or ()
            for key in workspace.keys
        }
        lowest_rank_by_service: dict[str, int] = {}
        for route in catalog.routes:
            for service, _ in route.targets:
                rank = lowest_rank_by_service.get(service, route.rank)
                lowest_rank_by_service[service] = min(rank, route.rank)
        return cls(
            catalog=catalog,
            by_host=by_host,
            open_by_host=open_by_host,
            open_lengths=open_lengths,
            workspace_by_key=workspace_by_key,
            lowest_rank_by_service=lowest_rank_by_service,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path, or None.

        Parameters
        ----------
        host : str
            Host name with or without a port; not case-sensitive.
        path : str
            Path without the query string.
        """
        name = _without_port(host).lower()
        prefixes = self.by_host.get(name)
        if prefixes is None:
            return self._find_open(name, path)
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def _find_open(self, name: str, path: str) -> Route | None:
        prefixes = self.open_by_host.get(name, {})
        for length in self.open_lengths.get(name, ()):
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
