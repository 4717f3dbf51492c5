"""Convert YAML text to a validated attrs object, or a list of problems."""

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

# Separates a field's name from its message in a formatted error. attrs runs the
# validators while it constructs the object, so that cattrs reports the path of the
# object without the field; ``_parse_problem`` appends the field to the path.
FIELD_SEPARATOR = "\x1f"
PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(?:'([^']*)'|\"([^\"]*)\"|(\d+))\]")


@attrs.frozen(kw_only=True)
class Problem:
    """Problem in a document: its location, a description and a remedy."""

    path: str
    line: int
    detail: str
    remedy: str

    def __str__(self) -> str:
        """Return the problem in one line."""
        return f"line {self.line}: {self.path}: {self.detail}; {self.remedy}"


def strict_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, bool, int):
        converter.register_structure_hook(kind, _structure_exact_type(kind))
    converter.register_structure_hook(float, _structure_number)
    return converter


def _structure_exact_type(kind: type):
    def structure(value: Any, _: type) -> Any:
        if type(value) is not kind:
            raise TypeError(f"{value!r} is not of type {kind.__name__}")
        return value

    return structure


def _structure_number(value: Any, _: type) -> float:
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
        The object, or all problems found, in the order of the document.

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
        problems = [_parse_problem(line, node) for line in _error_lines(error)]
        return Error(sorted(problems, key=lambda problem: problem.line))


def _error_lines(error: Exception) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error, format_exception=_format_error)
    return [f"{error} @ $"]


def _format_error(error: BaseException, kind: type | None) -> str:
    if isinstance(error, KeyError):
        return f"the required key {error} is missing; add it"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown keys {names}; remove or correct them"
    if isinstance(error, InvalidFieldError):
        return f"{error.field}{FIELD_SEPARATOR}{error}"
    if isinstance(error, TypeError | ValueError):
        return str(error)
    return cattrs.v.format_exception(error, kind)


def _parse_problem(error_line: str, root: yaml.Node | None) -> Problem:
    message, _, path = error_line.rpartition(" @ ")
    field, separator, field_message = message.partition(FIELD_SEPARATOR)
    if separator:
        path, message = f"{path}.{field}", field_message
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
