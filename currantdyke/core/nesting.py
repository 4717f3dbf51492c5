"""Nesting depth of decoded JSON."""

from typing import Any

__all__ = ["is_deeper_than"]


def is_deeper_than(value: Any, max_depth: int) -> bool:
    """Return whether lists and objects are nested more than ``max_depth`` deep.

    Examples
    --------
    >>> is_deeper_than({"a": [1]}, 2)
    False
    >>> is_deeper_than([[[]]], 2)
    True
    """
    level = [value]
    for _ in range(max_depth):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return False
    return any(isinstance(item, dict | list) for item in level)


def _children(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
