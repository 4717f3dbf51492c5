"""A bound on how deep decoded JSON is nested."""

from typing import Any

__all__ = ["is_deeper_than"]


def is_deeper_than(value: Any, most: int) -> bool:
    """Return whether lists and objects stand more than ``most`` deep.

    Examples
    --------
    >>> is_deeper_than({"a": [1]}, 2)
    False
    >>> is_deeper_than([[[]]], 2)
    True
    """
    level = [value]
    for _ in range(most):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return False
    return any(isinstance(item, dict | list) for item in level)


def _children(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
