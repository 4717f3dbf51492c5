"""Check the deploy file, which tells the platform how to run this system."""

import re
import tomllib

from currantdyke.platform.names import METRICS_PORT, METRICS_TARGET

__all__ = ["check_deploy"]

SERVABLE = frozenset(("edge", "control"))
VARIABLE_NAME = re.compile(r"[A-Z][A-Z0-9_]*")


def check_deploy(text: str) -> list[str]:
    """Return the problems of a deploy file, each with its remedy.

    Examples
    --------
    >>> check_deploy('build = "true"')
    ['roles: missing; add [roles.NAME] with run and on']
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [f"{error}; correct the line"]
    problems = []
    if not isinstance(document.get("build"), str):
        problems.append("build: missing; set the build command")
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        problems.append("roles: missing; add [roles.NAME] with run and on")
        return problems
    for name, role in roles.items():
        problems += [f"roles.{name}.{problem}" for problem in _role_problems(role)]
    served = [one for role in roles.values() for one in role.get("serves", ())]
    if "edge" not in served:
        problems.append("roles: none serves edge; add it to serves of one role")
    return problems


def _role_problems(role: dict) -> list[str]:
    problems = []
    for field in ("run", "on"):
        if not isinstance(role.get(field), str) or not role[field].strip():
            problems.append(f"{field}: missing or empty; set a non-empty string")
    unknown = set(role.get("serves", ())) - SERVABLE
    if unknown:
        problems.append(f"serves: {sorted(unknown)} is unknown; use {sorted(SERVABLE)}")
    share = role.get("share")
    if share is not None and not 0 < share <= 1:
        problems.append(f"share: {share} is not above 0 and at most 1; change it")
    metrics = role.get("metrics")
    expected = f"{METRICS_PORT}{METRICS_TARGET.decode()}"
    if metrics is not None and metrics != expected:
        problems.append(f"metrics: {metrics!r} is not served; use {expected!r}")
    for variable in role.get("env", {}):
        if not VARIABLE_NAME.fullmatch(variable):
            problems.append(
                f"env: {variable!r} is not allowed; use capitals, digits and _"
            )
    return problems
