"""Services that must be scheduled together, and the daemon that does so."""

from collections.abc import Mapping

import xxhash

from currantdyke.catalog import Catalog

__all__ = ["owner_order", "service_groups"]

# VMs with at least this share of the ablest one's processor time are taken for equal.
ABLE_SHARE = 0.75


def service_groups(catalog: Catalog) -> dict[str, str]:
    """Return the group of each service: services that share a route are one group.

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
        for name in names[1:]:
            first, second = sorted((find(names[0]), find(name)))
            parent[second] = first
        find(names[0])
    return {name: find(name) for name in parent}


def owner_order(group: str, daemons: Mapping[str, float]) -> list[str]:
    """Return daemons from the owner of a group to its last successor.

    Each daemon computes the same order from the same entries; a daemon that leaves
    moves only the groups that it owned. Those on the ablest VMs come first, since an
    owner has the work of the whole group besides that of its callers.

    Parameters
    ----------
    daemons : mapping of str to float
        The processor time that each has, in cores, by name.

    Examples
    --------
    >>> owner_order("llm", {"a": 0.4, "b": 2.0, "c": 0.4})[0]
    'b'
    """
    enough = ABLE_SHARE * max(daemons.values(), default=0.0)

    def rank(name: str) -> tuple[bool, int]:
        drawn = xxhash.xxh64_intdigest(f"{group}/{name}".encode())
        return daemons[name] >= enough, drawn

    return sorted(daemons, key=rank, reverse=True)
