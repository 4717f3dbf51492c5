"""Groups of services that one daemon must schedule together."""

from currantdyke.catalog import Catalog

__all__ = ["service_groups"]


def service_groups(catalog: Catalog) -> dict[str, str]:
    """Return the group of each service; services that share a route form one group.

    A group is named after its alphabetically first service. Routes without stages and
    without prefix affinity are ignored.

    Examples
    --------
    >>> from currantdyke.catalog import Repeatability, Route, StageStep
    >>> route = Route(name="r", host="h", prefix="/", targets=(("engine", 1.0),),
    ...               repeatability=Repeatability.STREAM,
    ...               stages=(StageStep(service="rank"),))
    >>> service_groups(Catalog(version=1, routes=(route,)))
    {'engine': 'engine', 'rank': 'engine'}
    """
    parent: dict[str, str] = {}

    def find(name: str) -> str:
        parent.setdefault(name, name)
        while parent[name] != name:
            name = parent[name]
        return name

    for route in catalog.routes:
        if not route.stages and not route.prefix_affinity:
            continue
        names = [service for service, _ in route.targets]
        names += [step.service for step in route.stages]
        if not names:
            continue
        for name in names[1:]:
            first, second = sorted((find(names[0]), find(name)))
            parent[second] = first
        find(names[0])
    return {name: find(name) for name in parent}
