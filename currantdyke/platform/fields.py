"""Read the fields of documents of the platform, whose types are checked.

A field that can't be used has its default, or the nearest value that can be used. What
could not be used is added to a list of problems. They hold no text of the document,
which may be a secret.
"""

from collections.abc import Callable
from typing import Any, TypeVar

__all__ = [
    "FieldError",
    "describe",
    "read_boolean",
    "read_entries",
    "read_integer",
    "read_number",
    "read_object",
    "read_text",
]

Entry = TypeVar("Entry")

# Larger numbers are not used, so that no calculation overflows.
MAX_NUMBER = 2**63 - 1
NUMBER_TYPES = (int, float)
NAME_BY_TYPE = {str: "a text", list: "a list", dict: "an object", type(None): "null"}


class FieldError(ValueError):
    """An entry can't be used because of one field; the text names it."""


def read_integer(
    entry: dict, key: str, problems: list[str], *, default: Any = None, lowest: int = 0
) -> Any:
    """Return an integer, the nearest one for another number, or the default.

    Examples
    --------
    >>> problems = []
    >>> [read_integer({"slots": n}, "slots", problems) for n in (4, 4.0, 4.5, -1, "4")]
    [4, 4, 4, 0, None]
    >>> problems[-1]
    'slots is a text, not an integer from 0 on'
    """
    value: Any = entry.get(key)
    if type(value) is int and lowest <= value <= MAX_NUMBER:
        return value
    if value is None:
        return default
    nearest = default
    if type(value) in NUMBER_TYPES:
        nearest = int(min(MAX_NUMBER, max(lowest, value)))
    if nearest is None or nearest != value or isinstance(value, bool):
        problems.append(f"{key} is {describe(value)}, not an integer from {lowest} on")
    return nearest


def read_number(
    entry: dict, key: str, problems: list[str], *, default: Any = None
) -> Any:
    """Return a number from 0 on, or the default."""
    value: Any = entry.get(key)
    if type(value) in NUMBER_TYPES and 0 <= value <= MAX_NUMBER:
        return value
    if value is not None:
        problems.append(f"{key} is {describe(value)}, not a number from 0 on")
    return default


def read_text(entry: dict, key: str, problems: list[str], *, default: Any) -> Any:
    """Return a text, or the default."""
    value: Any = entry.get(key)
    if isinstance(value, str):
        return value
    if value is not None:
        problems.append(f"{key} is {describe(value)}, not a text")
    return default


def read_boolean(entry: dict, key: str, problems: list[str]) -> bool | None:
    """Return a boolean, also for the numbers 0 and 1; None if it can't be read.

    A field that is missing or null is false.
    """
    value: Any = entry.get(key)
    if value is None:
        return False
    if isinstance(value, bool):
        return value
    if type(value) in NUMBER_TYPES and value in (0, 1):
        return bool(value)
    problems.append(f"{key} is {describe(value)}, not true or false")
    return None


def read_object(entry: dict, key: str, problems: list[str]) -> dict:
    """Return an object; an empty one if it is missing or can't be read."""
    value: Any = entry.get(key)
    if isinstance(value, dict):
        return value
    if value is not None:
        problems.append(f"{key} is {describe(value)}, not an object")
    return {}


def read_entries(
    entry: dict,
    key: str,
    problems: list[str],
    decode: Callable[[dict, list[str]], Entry],
) -> list[Entry] | None:
    """Return the decoded objects of a list, without those that can't be used.

    Parameters
    ----------
    decode : callable
        Decodes an object, and adds the problems of its fields to a list; it raises
        `FieldError` if the object can't be used.

    Returns
    -------
    list or None
        None if the field is no list.
    """
    values: Any = entry.get(key)
    if not isinstance(values, list):
        problems.append(f"{key} is {describe(values)}, not a list")
        return None
    decoded = []
    found: list[str] = []
    for number, value in enumerate(values):
        try:
            if not isinstance(value, dict):
                raise FieldError(f"it is {describe(value)}, not an object")
            decoded.append(decode(value, found))
        except FieldError as error:
            found.append(f"left out: {error}")
        if found:
            problems.extend(f"{key}[{number}]: {text}" for text in found)
            found.clear()
    return decoded


def describe(value: Any) -> str:
    """Return a number or boolean as text, and only the type of any other value.

    Examples
    --------
    >>> describe(4.5), describe("secret"), describe(None)
    ('4.5', 'a text', 'null')
    """
    return NAME_BY_TYPE.get(type(value)) or repr(value)[:40]
