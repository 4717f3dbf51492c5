"""Field validators whose messages state the value and a remedy."""

from collections.abc import Callable, Collection
from typing import Any

import attrs

__all__ = ["InvalidFieldError", "between", "valid_name", "one_of"]

NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-_")
MAX_NAME_LENGTH = 64


class InvalidFieldError(ValueError):
    """Raised for an invalid value, with the name of its field."""

    def __init__(self, field: str, message: str):
        super().__init__(message)
        self.field = field


def between(low: float, high: float, unit: str = "") -> Callable:
    """Return a validator for numbers from ``low`` to ``high`` inclusive."""

    def validate(_: Any, attribute: attrs.Attribute, value: float) -> None:
        if not low <= value <= high:
            raise InvalidFieldError(
                attribute.name,
                f"{attribute.name} is {value!r}; "
                f"use a value from {low} to {high} {unit}".rstrip(),
            )

    return validate


def one_of(allowed: Collection[str]) -> Callable:
    """Return a validator that accepts only the strings in ``allowed``."""

    def validate(_: Any, attribute: attrs.Attribute, value: str) -> None:
        if value not in allowed:
            choices = ", ".join(sorted(allowed))
            raise InvalidFieldError(
                attribute.name, f"{attribute.name} is {value!r}; use one of {choices}"
            )

    return validate


def valid_name(_: Any, attribute: attrs.Attribute, value: str) -> None:
    """Check a name: 1 to 64 lower case letters, digits, ``-`` and ``_``."""
    if not value or len(value) > MAX_NAME_LENGTH or not set(value) <= NAME_CHARACTERS:
        raise InvalidFieldError(
            attribute.name,
            f"{attribute.name} is {value[:80]!r}; use 1 to {MAX_NAME_LENGTH} "
            "lower case letters, digits, '-' and '_'",
        )
