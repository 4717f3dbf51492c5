"""Decode the operator configuration into a catalog."""

import msgspec
from expression import Error, Ok, Result

from currantdyke.catalog import (
    CallerLimits,
    Catalog,
    EngineLimits,
    Repeatability,
    Route,
    Service,
    StageLimits,
    StageStep,
    Workspace,
)

__all__ = ["decode_catalog"]

REPEATABILITY_BY_TYPE = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.AT_MOST_ONCE,
    "streaming": Repeatability.STREAM,
}
BYTES_PER_MB = 1_000_000

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


def decode_catalog(data: bytes) -> Result[Catalog, str]:
    """Decode the value of the configuration key.

    Returns
    -------
    Result
        The catalog, or the reason why the document cannot be decoded.
    """
    try:
        return Ok(_decode_document(msgspec.json.decode(data)))
    except DECODE_ERRORS as error:
        return Error(f"{type(error).__name__}: {error}")


def _decode_document(document: dict) -> Catalog:
    services = (_decode_service(entry) for entry in document.get("services") or ())
    tenants = document.get("tenants")
    return Catalog(
        version=int(document["version"]),
        routes=tuple(_decode_route(entry) for entry in document["route_list"]),
        services={service.name: service for service in services},
        limits=_decode_caller_limits(document.get("limits") or {}),
        workspaces=None if not tenants else tuple(map(_decode_workspace, tenants)),
    )


def _decode_route(entry: dict) -> Route:
    # A route names either one service, or several with weights.
    split = entry.get("traffic_split")
    targets = (
        tuple((str(row["service"]), float(row["weight"])) for row in split)
        if split
        else ((str(entry["service"]), 1.0),)
    )
    timeout = entry.get("timeout_ms")
    pause = entry.get("target_itl_ms")
    return Route(
        name=str(entry.get("name", "")),
        host=str(entry["host"]),
        prefix=str(entry["prefix"]),
        # A request of an unknown type runs at most once.
        repeatability=REPEATABILITY_BY_TYPE.get(
            entry.get("type", ""), Repeatability.AT_MOST_ONCE
        ),
        targets=targets,
        timeout=None if timeout is None else timeout / 1_000,
        target_latency=float(entry.get("target_latency_ms") or 1_000) / 1_000,
        target_inter_token_latency=None if pause is None else pause / 1_000,
        max_attempts=max(1, int(entry.get("max_attempts") or 1)),
        rank=int(entry.get("priority") or 0),
        stages=tuple(_decode_stage(stage) for stage in entry.get("stages") or ()),
        public=bool(entry.get("public", False)),
        prefix_affinity=bool(entry.get("session_affinity", False)),
        resumable=bool(entry.get("stream_resume", False)),
    )


def _decode_stage(entry: dict) -> StageStep:
    return StageStep(
        service=str(entry["service"]),
        after=tuple(int(number) for number in entry.get("after") or ()),
        result_bytes=int(entry.get("size_bytes") or 0),
    )


def _decode_service(entry: dict) -> Service:
    stage = entry.get("segments")
    engine = entry.get("engine")
    connections = entry.get("max_connections")
    return Service(
        name=str(entry["name"]),
        health_path=str(entry.get("health_path", "/healthz")),
        max_connections=None if connections is None else int(connections),
        stage=None if not stage else _decode_stage_limits(stage),
        engine=None if not engine else _decode_engine_limits(engine),
    )


def _decode_stage_limits(entry: dict) -> StageLimits:
    return StageLimits(
        slots=max(1, int(entry.get("slots") or 1)),
        queue=int(entry.get("queue") or 0),
        batch=max(1, int(entry.get("batch") or 1)),
        call_seconds=float(entry.get("call_ms") or 0) / 1_000,
        piece_seconds=float(entry.get("item_ms") or 0) / 1_000,
        # Despite its name, the field is the total memory for results, not the free one.
        result_memory_bytes=int(float(entry.get("headroom_mb") or 0) * BYTES_PER_MB),
        result_ttl=float(entry.get("handle_ttl_s") or 0),
    )


def _decode_engine_limits(entry: dict) -> EngineLimits:
    return EngineLimits(
        slots=max(1, int(entry.get("slots") or 1)),
        cache_tokens=int(entry.get("kv_capacity_tokens") or 0),
    )


def _decode_workspace(entry: dict) -> Workspace:
    rank = entry.get("priority")
    return Workspace(
        name=str(entry["name"]),
        keys=frozenset(str(key) for key in entry.get("api_keys") or ()),
        rank=None if rank is None else int(rank),
    )


def _decode_caller_limits(entry: dict) -> CallerLimits:
    default = CallerLimits()
    header_ms = entry.get("header_timeout_ms")
    idle_ms = entry.get("idle_timeout_ms")
    return CallerLimits(
        header_bytes=int(entry.get("max_header_bytes") or default.header_bytes),
        body_bytes=int(entry.get("max_body_bytes") or default.body_bytes),
        header_timeout=header_ms / 1_000 if header_ms else default.header_timeout,
        idle_timeout=idle_ms / 1_000 if idle_ms else default.idle_timeout,
    )
