"""Reading of validated files."""

import pathlib
from collections.abc import Callable
from typing import TypeVar

import click
from expression import Result

from currantdyke.documents import Problem

__all__ = ["EXIT_INVALID", "read_valid_file"]

EXIT_INVALID = 2

T = TypeVar("T")


def read_valid_file(file: str, check: Callable[[str], Result[T, list[Problem]]]) -> T:
    """Return the result of ``check`` on a file; print problems and exit 2 if any."""
    result = check(pathlib.Path(file).read_text())
    if result.is_ok():
        return result.ok
    for problem in result.error:
        click.echo(f"{file}: {problem}", err=True)
    raise SystemExit(EXIT_INVALID)
