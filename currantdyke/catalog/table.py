"""Look up the route and the workspace of a request."""

import attrs

from currantdyke.catalog.types import Catalog, Route, Workspace

__all__ = ["RouteTable"]


@attrs.define(kw_only=True)
class RouteTable:
    """Index of a catalog: routes by host and path prefix, workspaces by key.

    Attributes
    ----------
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
    workspace_by_key: dict[str, Workspace]
    lowest_rank_by_service: dict[str, int]

    @classmethod
    def of(cls, *, catalog: Catalog) -> "RouteTable":
        """Build the index of a catalog."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in catalog.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
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
            workspace_by_key=workspace_by_key,
            lowest_rank_by_service=lowest_rank_by_service,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Only prefixes that end with "/" can match.

        Parameters
        ----------
        host : str
            Host name with or without a port; not case-sensitive.
        path : str
            Path without the query string.
        """
        prefixes = self.by_host.get(_without_port(host).lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
