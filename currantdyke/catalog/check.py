"""Check that the parts of a configuration fit together."""

import itertools
from collections.abc import Iterable, Iterator, Sequence

from currantdyke.catalog.types import Catalog, Route, StageStep, Workspace

__all__ = ["find_problem", "order_stages"]


def find_problem(catalog: Catalog) -> str | None:
    """Return why a configuration can't be put in force, or None.

    Examples
    --------
    >>> find_problem(Catalog(version=3))
    'there are no routes'
    """
    if not catalog.routes:
        return "there are no routes"
    problems = itertools.chain(
        *(_in_route(route, catalog) for route in catalog.routes),
        _repeated("route", ((r.host.lower(), r.prefix) for r in catalog.routes)),
        _in_workspaces(catalog.workspaces or ()),
    )
    return next(problems, None)


def _in_route(route: Route, catalog: Catalog) -> Iterator[str]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"the prefix {route.prefix!r} does not begin and end with a slash"
    name = route.name or route.prefix
    weights = 0.0
    for service, weight in route.targets:
        weights += weight
        if service not in catalog.services:
            yield f"route {name!r} names the service {service!r}, which does not exist"
    if weights <= 0:
        yield f"route {name!r} gives no service a weight"
    for number, stage in enumerate(route.stages):
        if stage.service not in catalog.services:
            yield (
                f"route {name!r} names the service {stage.service!r}, which does not"
                " exist"
            )
        if any(not 0 <= earlier < number for earlier in stage.after):
            yield f"stage {number} of {name!r} comes after one that is not before it"


def _in_workspaces(workspaces: Iterable[Workspace]) -> Iterator[str]:
    known = list(workspaces)
    yield from _repeated("workspace", (workspace.name for workspace in known))
    # The text of a key belongs in no log.
    keys = [key for workspace in known for key in workspace.keys]
    if len(set(keys)) < len(keys):
        yield "a key belongs to two workspaces"


def _repeated(kind: str, names: Iterable[object]) -> Iterator[str]:
    seen = set()
    for name in names:
        if name in seen:
            yield f"there are two entries of the {kind} {name!r}"
        seen.add(name)


def order_stages(stages: Sequence[StageStep]) -> Sequence[int] | None:
    """Return the numbers of stages, each after those whose results it needs.

    Returns
    -------
    sequence of int or None
        None if there is no such order.

    Examples
    --------
    >>> order_stages((StageStep(service="a", after=(1,)), StageStep(service="b")))
    [1, 0]
    """
    if all(0 <= n < number for number, s in enumerate(stages) for n in s.after):
        return range(len(stages))
    ordered: list[int] = []
    waiting = list(range(len(stages)))
    while waiting:
        ended = frozenset(ordered)
        ready = [n for n in waiting if ended.issuperset(stages[n].after)]
        if not ready:
            return None
        ordered += ready
        waiting = [n for n in waiting if n not in ready]
    return ordered
