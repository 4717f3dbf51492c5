"""Checked files: read one, or show what is wrong with it and exit."""

import pathlib
from collections.abc import Callable
from typing import TypeVar

import click
from expression import Result

from currantdyke.documents import Problem

__all__ = ["EXIT_INVALID", "read_checked"]

EXIT_INVALID = 2

T = TypeVar("T")


def read_checked(file: str, check: Callable[[str], Result[T, list[Problem]]]) -> T:
    """Return what ``check`` makes of a file; exit 2 where it is not valid."""
    checked = check(pathlib.Path(file).read_text())
    if checked.is_ok():
        return checked.ok
    for problem in checked.error:
        click.echo(f"{file}: {problem}", err=True)
    raise SystemExit(EXIT_INVALID)
