"""Turn YAML text into a checked attrs object, or a list of problems."""

import re
from typing import Any, TypeVar

import attrs
import cattrs
import cattrs.v
import yaml
from expression import Error, Ok, Result

from currantdyke.documents.validators import InvalidFieldError

__all__ = ["Problem", "check_document"]

T = TypeVar("T")

# Stands between a field's name and its message while problems are collected: a
# validator runs on the whole object, so that the path ends a step too early.
FIELD_MARK = "\x1f"
PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(?:'([^']*)'|\"([^\"]*)\"|(\d+))\]")


@attrs.frozen(kw_only=True)
class Problem:
    """One thing that is wrong with a document, and how to mend it."""

    path: str
    line: int
    detail: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem in one line."""
        return f"line {self.line}: {self.path}: {self.detail}; {self.remedy}"


def strict_converter() -> cattrs.Converter:
    """Return a converter that refuses unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, bool, int):
        converter.register_structure_hook(kind, _exactly(kind))
    converter.register_structure_hook(float, _number)
    return converter


def _exactly(kind: type):
    def structure(value: Any, _: type) -> Any:
        if type(value) is not kind:
            raise TypeError(f"{value!r} is not of type {kind.__name__}")
        return value

    return structure


def _number(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


def check_document(text: str, kind: type[T]) -> Result[T, list[Problem]]:
    """Check YAML text against an attrs class.

    Parameters
    ----------
    text : str
        The document.
    kind : type
        An attrs class; its validators raise ``ValueError`` with a remedy after
        a semicolon.

    Returns
    -------
    Result[T, list[Problem]]
        The object, or everything that is wrong, in the order of the document.

    Examples
    --------
    >>> @attrs.frozen(kw_only=True)
    ... class Box:
    ...     width: int
    >>> check_document("width: 3", Box).ok
    Box(width=3)
    >>> print(check_document("width: wide", Box).error[0])
    line 1: $.width: 'wide' is not of type int; correct the value
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        detail = str(getattr(error, "problem", None) or error).splitlines()[0]
        return Error(
            [Problem(path="$", line=line, detail=detail, remedy="write valid YAML")]
        )
    if not isinstance(value, dict):
        detail = f"the document is {str(value)!r:.40}, not a mapping"
        remedy = "write keys and values"
        return Error([Problem(path="$", line=1, detail=detail, remedy=remedy)])
    try:
        return Ok(strict_converter().structure(value, kind))
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        found = [_problem(line, node) for line in _transformed(error)]
        return Error(sorted(found, key=lambda problem: problem.line))


def _transformed(error: Exception) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error, format_exception=_format)
    return [f"{error} @ $"]


def _format(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return f"the required key {error} is missing; add it"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown keys {names}; remove or correct them"
    if isinstance(error, InvalidFieldError):
        return f"{error.field}{FIELD_MARK}{error}"
    if isinstance(error, TypeError | ValueError):
        return str(error)
    return cattrs.v.format_exception(error, kind)


def _problem(line_text: str, root: yaml.Node | None) -> Problem:
    message, _, path = line_text.rpartition(" @ ")
    field, marked, rest = message.partition(FIELD_MARK)
    if marked:
        path, message = f"{path}.{field}", rest
    detail, _, remedy = message.partition("; ")
    return Problem(
        path=path or "$",
        line=_line_of(path, root),
        detail=detail,
        remedy=remedy or "correct the value",
    )


def _line_of(path: str, root: yaml.Node | None) -> int:
    if root is None:
        return 1
    node, line = root, root.start_mark.line + 1
    for match in PATH_STEP.finditer(path):
        step = next(group for group in match.groups() if group is not None)
        found = _child(node, step)
        if found is None:
            return line
        node, line = found, found.start_mark.line + 1
    return line


def _child(node: yaml.Node, step: str) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        return next((v for k, v in node.value if k.value == step), None)
    if isinstance(node, yaml.SequenceNode) and step.isdecimal():
        index = int(step)
        return node.value[index] if index < len(node.value) else None
    return None
