"""Whether a specification allows what was observed of the real code."""

from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import TypeVar

__all__ = ["first_unaccepted"]

State = TypeVar("State", bound=Hashable)
Steps = Callable[[State], Iterable[tuple[str, State]]]


def first_unaccepted(
    initial: State,
    steps: Steps,
    observed: Sequence[str],
    is_hidden: Callable[[str], bool],
) -> int | None:
    """Follow a trace through a specification.

    Parameters
    ----------
    initial : hashable
        The first state.
    steps : callable
        Returns the labelled steps of a state.
    observed : sequence of str
        The labels that were observed, in order.
    is_hidden : callable
        Whether a label cannot be observed and may come at any time.

    Returns
    -------
    int or None
        Position of the first label that no run of the specification allows; None
        if all are allowed.
    """
    current = {initial}
    for position, label in enumerate(observed):
        current = _with_hidden(current, steps, is_hidden)
        current = {after for s in current for name, after in steps(s) if name == label}
        if not current:
            return position
    return None


def _with_hidden(
    states: set[State], steps: Steps, is_hidden: Callable[[str], bool]
) -> set[State]:
    found = set(states)
    waiting = list(states)
    while waiting:
        for label, after in steps(waiting.pop()):
            if is_hidden(label) and after not in found:
                found.add(after)
                waiting.append(after)
    return found
