"""Decode the operator configuration into a catalog.

Only a document of which nothing can be used is rejected. An entry or a field that can't
be used is left out, and the catalog states what may be missing because of it; see
docs/design/configurations.md.
"""

import re
from typing import Any

import attrs
import msgspec
from expression import Error, Ok, Result

from currantdyke.catalog import (
    CallerLimits,
    Catalog,
    CatalogPart,
    EngineLimits,
    Repeatability,
    Route,
    Service,
    StageLimits,
    StageStep,
    Workspace,
    find_problem,
)
from currantdyke.platform.fields import (
    FieldError,
    describe,
    read_boolean,
    read_entries,
    read_integer,
    read_number,
    read_object,
    read_text,
)

__all__ = ["decode_catalog"]

REPEATABILITY_BY_TYPE = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.AT_MOST_ONCE,
    "streaming": Repeatability.STREAM,
}
BYTES_PER_MB = 1_000_000
MAX_VERSION_DIGITS = 18
# What fits in a header: the name of a workspace is sent to endpoints.
HEADER_TEXT = re.compile(r"(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?")

# Raised for documents that are not valid JSON, or have missing fields or fields of an
# unexpected type or structure.
DECODE_ERRORS = (
    msgspec.DecodeError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


@attrs.frozen(kw_only=True)
class DecodedWorkspaces:
    """The workspaces of a document.

    Attributes
    ----------
    has_all : bool
        Whether all workspaces and keys could be read.
    problems : list of str
        What could not be read.
    """

    workspaces: tuple[Workspace, ...]
    has_all: bool
    problems: list[str]


def decode_catalog(data: bytes) -> Result[Catalog, str]:
    """Decode the value of the configuration key.

    Returns
    -------
    Result
        The catalog, or the reason why nothing of the document can be used.
    """
    try:
        document = msgspec.json.decode(data)
        if not isinstance(document, dict):
            return Error(f"the document is {describe(document)}, not an object")
        return Ok(_decode_document(document))
    except FieldError as error:
        return Error(str(error))
    except DECODE_ERRORS as error:
        return Error(f"{type(error).__name__}: {error}")


def _decode_document(document: dict) -> Catalog:
    version = _read_version(document)
    problems: list[str] = []
    incomplete = set()
    routes = read_entries(document, "route_list", problems, _decode_route)
    if routes is None:
        raise FieldError(problems[-1])
    if len(routes) < len(document["route_list"]):
        incomplete.add(CatalogPart.ROUTES)
        public_count = sum(route.public is not False for route in routes)
        if public_count < sum(map(_may_be_public, document["route_list"])):
            incomplete.add(CatalogPart.PUBLIC_ROUTES)
    services: list[Service] | None = None
    if document.get("services") is not None:
        services = read_entries(document, "services", problems, _decode_service)
    limits, unnamed_limits = _decode_caller_limits(document, problems)
    decoded = _decode_workspaces(document)
    if decoded is not None:
        problems += decoded.problems
        if not decoded.has_all:
            incomplete.add(CatalogPart.KEYS)
    route_by_place = {(route.host.lower(), route.prefix): route for route in routes}
    _report_replaced("route_list", len(routes) - len(route_by_place), problems)
    service_by_name = {service.name: service for service in services or ()}
    _report_replaced("services", len(services or ()) - len(service_by_name), problems)
    return Catalog(
        version=version,
        routes=tuple(route_by_place.values()),
        services=service_by_name,
        limits=limits,
        workspaces=None if decoded is None else decoded.workspaces,
        incomplete=frozenset(incomplete | unnamed_limits),
        problems=tuple(problems),
    )


def _may_be_public(entry: object) -> bool:
    """Return whether an entry may be a route that needs no key."""
    return isinstance(entry, dict) and read_boolean(entry, "public", []) is not False


def _report_replaced(key: str, count: int, problems: list[str]) -> None:
    """Report entries that a later one of the same name replaces."""
    if count:
        problems.append(f"{key}: entries replaced by later ones: {count}")


def _read_version(document: dict) -> int:
    """Return the version, which may be written as a text of digits."""
    version: Any = document.get("version")
    if isinstance(version, str) and len(version) <= MAX_VERSION_DIGITS:
        if version.isascii() and version.isdigit():
            return int(version)
    elif isinstance(version, float) and version.is_integer() and version >= 0:
        return int(version)
    elif type(version) is int and version >= 0:
        return version
    raise FieldError(f"version is {describe(version)}, not an integer from 0 on")


def _decode_route(entry: dict, problems: list[str]) -> Route:
    pause = read_number(entry, "target_itl_ms", problems)
    timeout = read_number(entry, "timeout_ms", problems)
    targets = _decode_targets(entry, problems)
    stages = _decode_stages(entry, problems)
    problem = "a stage can't be read" if stages is None else None
    problem = problem or find_problem(targets, stages or ())
    if problem:
        problems.append(f"its requests get 503: {problem}")
    return Route(
        name=read_text(entry, "name", problems, default=""),
        host=_read_required_text(entry, "host"),
        prefix=_read_required_text(entry, "prefix"),
        # A request of an unknown type runs at most once.
        repeatability=REPEATABILITY_BY_TYPE.get(
            read_text(entry, "type", problems, default=""), Repeatability.AT_MOST_ONCE
        ),
        targets=targets,
        timeout=None if timeout is None else timeout / 1_000,
        target_latency=_seconds(entry, "target_latency_ms", problems, 1.0),
        target_inter_token_latency=None if pause is None else pause / 1_000,
        max_attempts=read_integer(entry, "max_attempts", problems, default=1, lowest=1),
        rank=read_integer(entry, "priority", problems, default=0),
        stages=stages or (),
        public=read_boolean(entry, "public", problems),
        prefix_affinity=bool(read_boolean(entry, "session_affinity", problems)),
        resumable=bool(read_boolean(entry, "stream_resume", problems)),
        problem=problem,
    )


def _decode_targets(entry: dict, problems: list[str]) -> tuple[tuple[str, float], ...]:
    """Return the service that a route names, or several with their weights.

    A split that can't be read is not replaced by the service, which the operator may
    have left there although the route is split.
    """
    split = entry.get("traffic_split")
    if split is not None and split != []:
        rows = read_entries(entry, "traffic_split", problems, _decode_split_row)
        return tuple(rows or ())
    service = read_text(entry, "service", problems, default=None)
    return () if service is None else ((service, 1.0),)


def _decode_split_row(entry: dict, problems: list[str]) -> tuple[str, float]:
    weight = read_number(entry, "weight", problems)
    if weight is None:
        raise FieldError("it has no weight that can be used")
    return _read_required_text(entry, "service"), float(weight)


def _decode_stages(entry: dict, problems: list[str]) -> tuple[StageStep, ...] | None:
    """Return the stages of a route, or None if one of them can't be read.

    Without it, the others would have other numbers, and the results for the engine
    would not be complete.
    """
    values = entry.get("stages")
    if not values and (values is None or isinstance(values, list)):
        return ()
    stages = read_entries(entry, "stages", problems, _decode_stage)
    if stages is None or len(stages) < len(entry["stages"]):
        return None
    return tuple(stages)


def _decode_stage(entry: dict, problems: list[str]) -> StageStep:
    after = entry.get("after")
    if after is None:
        after = []
    if not isinstance(after, list):
        raise FieldError(f"after is {describe(after)}, not a list")
    for number in after:
        if type(number) not in (int, float) or number != int(number):
            raise FieldError(f"after has {describe(number)}, not an integer")
    return StageStep(
        service=_read_required_text(entry, "service"),
        # A result that is named twice is passed on once.
        after=tuple(dict.fromkeys(map(int, after))),
        result_bytes=int(read_number(entry, "size_bytes", problems, default=0)),
    )


def _decode_service(entry: dict, problems: list[str]) -> Service:
    stage = read_object(entry, "segments", problems)
    engine = read_object(entry, "engine", problems)
    health_path = read_text(entry, "health_path", problems, default="")
    return Service(
        name=_read_required_text(entry, "name"),
        health_path=health_path or "/healthz",
        max_connections=read_integer(entry, "max_connections", problems),
        stage=_decode_stage_limits(stage, problems) if stage else None,
        engine=_decode_engine_limits(engine, problems) if engine else None,
        cold_seconds=float(read_number(entry, "cold_start_s", problems, default=0)),
        cold_rate=float(read_number(entry, "cold_per_s", problems, default=0)),
    )


def _decode_stage_limits(entry: dict, problems: list[str]) -> StageLimits:
    default = StageLimits()
    # Despite its name, the field is the total memory for results, not the free one.
    memory = read_number(entry, "headroom_mb", problems, default=0)
    ttl = read_number(entry, "handle_ttl_s", problems, default=0)
    return StageLimits(
        slots=read_integer(entry, "slots", problems, default=1, lowest=1),
        queue=read_integer(entry, "queue", problems, default=0),
        batch=read_integer(entry, "batch", problems, default=1, lowest=1),
        call_seconds=_seconds(entry, "call_ms", problems, 0.0),
        piece_seconds=_seconds(entry, "item_ms", problems, 0.0),
        result_memory_bytes=int(memory * BYTES_PER_MB) or default.result_memory_bytes,
        result_ttl=float(ttl) or default.result_ttl,
    )


def _decode_engine_limits(entry: dict, problems: list[str]) -> EngineLimits:
    tokens = read_integer(entry, "kv_capacity_tokens", problems, default=0)
    return EngineLimits(
        slots=read_integer(entry, "slots", problems, default=1, lowest=1),
        cache_tokens=tokens,
    )


def _decode_workspaces(document: dict) -> DecodedWorkspaces | None:
    """Return the workspaces, or None if the document names no such field.

    Only then do requests need no key.
    """
    if "tenants" not in document:
        return None
    problems: list[str] = []
    workspaces = read_entries(document, "tenants", problems, _decode_workspace)
    if workspaces is None:
        return DecodedWorkspaces(workspaces=(), has_all=False, problems=problems)
    return DecodedWorkspaces(
        workspaces=tuple(workspaces),
        has_all=len(workspaces) == len(document["tenants"])
        and all(workspace.has_all_keys for workspace in workspaces),
        problems=problems,
    )


def _decode_workspace(entry: dict, problems: list[str]) -> Workspace:
    name = _read_required_text(entry, "name")
    if HEADER_TEXT.fullmatch(name) is None:
        raise FieldError("name fits in no header")
    keys, has_all_keys = _read_keys(entry, problems)
    return Workspace(
        name=name,
        keys=keys,
        rank=read_integer(entry, "priority", problems),
        has_all_keys=has_all_keys,
    )


def _read_keys(entry: dict, problems: list[str]) -> tuple[frozenset[str], bool]:
    """Return the keys of a workspace that can be read, and whether these are all."""
    values: Any = entry.get("api_keys")
    if not isinstance(values, list):
        problems.append(f"api_keys is {describe(values)}, not a list")
        return frozenset(), False
    keys = [value for value in values if isinstance(value, str)]
    if len(keys) < len(values):
        problems.append("api_keys has an entry that is no text")
    return frozenset(keys), len(keys) == len(values)


def _decode_caller_limits(
    document: dict, problems: list[str]
) -> tuple[CallerLimits, set[CatalogPart]]:
    """Return the limits on callers, and which of the sizes are defaults."""
    entry = read_object(document, "limits", problems)
    header_bytes = read_integer(entry, "max_header_bytes", problems, default=0)
    body_bytes = read_integer(entry, "max_body_bytes", problems, default=0)
    default = CallerLimits()
    limits = CallerLimits(
        header_bytes=header_bytes or default.header_bytes,
        body_bytes=body_bytes or default.body_bytes,
        header_timeout=_seconds(
            entry, "header_timeout_ms", problems, default.header_timeout
        ),
        idle_timeout=_seconds(entry, "idle_timeout_ms", problems, default.idle_timeout),
    )
    unnamed = set()
    if not header_bytes:
        unnamed.add(CatalogPart.HEADER_LIMIT)
    if not body_bytes:
        unnamed.add(CatalogPart.BODY_LIMIT)
    return limits, unnamed


def _read_required_text(entry: dict, key: str) -> str:
    value = entry.get(key)
    if isinstance(value, str):
        return value
    raise FieldError(f"{key} is {describe(value)}, not a text")


def _seconds(entry: dict, key: str, problems: list[str], default: float) -> float:
    """Return the seconds that a field gives in milliseconds; 0 for the default."""
    milliseconds = read_number(entry, key, problems, default=0)
    return milliseconds / 1_000 if milliseconds else default
