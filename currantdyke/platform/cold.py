"""Decode for how long an endpoint says that it stays cold."""

import re
from typing import Any

from currantdyke.platform.fields import describe

__all__ = ["decode_cold_entry", "decode_cold_header"]

# Of one day: no endpoint takes that long to warm up, so that the figure is wrong.
MAX_COLD_MILLISECONDS = 86_400_000
INTEGER_PATTERN = re.compile(rb"[0-9]{1,18}")


def decode_cold_entry(value: Any) -> tuple[float, str | None]:
    """Return the seconds that an entry states, or 0 and the text that states none.

    Examples
    --------
    >>> decode_cold_entry(1_500), decode_cold_entry(None), decode_cold_entry(-1)
    ((1.5, None), (0.0, None), (0.0, '-1'))
    """
    if value is None:
        return 0.0, None
    if type(value) in (int, float) and 0 <= value <= MAX_COLD_MILLISECONDS:
        return value / 1_000, None
    return 0.0, describe(value)


def decode_cold_header(values: list[bytes]) -> float | None:
    """Return the longest time that a response states; None if it states none."""
    numbers = [
        int(value) for value in values if INTEGER_PATTERN.fullmatch(value.strip())
    ]
    usable = [number for number in numbers if number <= MAX_COLD_MILLISECONDS]
    return max(usable) / 1_000 if usable else None
