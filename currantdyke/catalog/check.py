"""Check that a route can be served, and order its stages."""

from collections.abc import Sequence

from currantdyke.catalog.types import StageStep

__all__ = ["find_problem", "order_stages"]


def find_problem(
    targets: Sequence[tuple[str, float]], stages: Sequence[StageStep]
) -> str | None:
    """Return why a route with these targets and stages can't be served, or None.

    Examples
    --------
    >>> find_problem((("a", 1.0), ("b", 0.0)), ())
    >>> find_problem((("a", 0.0),), ())
    'no service has a weight'
    """
    for _, weight in targets:
        if weight > 0:
            break
    else:
        return "no service has a weight"
    if stages and order_stages(stages) is None:
        return "a stage needs its own results, or those of one that does not exist"
    return None


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
