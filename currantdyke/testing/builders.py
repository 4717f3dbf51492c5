"""Builders of test data; every argument except ``urls`` has a default."""

from typing import Any

import anyio

from currantdyke.bundle import (
    Bundle,
    EndpointSpec,
    Pipeline,
    Policy,
    Service,
    Stage,
    Workspace,
    hash_key,
)
from currantdyke.requests import Exchange
from currantdyke.settings import DaemonSettings
from currantdyke.stagecalls import Attempt, AttemptEnd, AttemptReport, TrackedAttempt

__all__ = [
    "CHAIN",
    "WORKSPACE_KEY",
    "build_attempt",
    "build_bundle",
    "build_exchange",
    "build_tracked_attempt",
    "build_pipeline",
    "build_report",
    "build_settings",
]

WORKSPACE_KEY = "key-of-jos"
CHAIN = (
    ("encoder", "encode"),
    ("retriever", "retrieve"),
    ("reranker", "rerank"),
    ("generator", "generate"),
)


def build_settings(**changes: Any) -> DaemonSettings:
    """Return the settings of a daemon."""
    values: dict[str, Any] = {
        "name": "entry-1",
        "availability_zone": "jos-a",
        "bundle_file": "/nowhere/bundle.yaml",
        "leave_seconds": 0.0,
    }
    return DaemonSettings(**(values | changes))


def build_pipeline(**changes: Any) -> Pipeline:
    """Return a chain of four stages: encode, retrieve, rerank, generate."""
    stages = tuple(
        Stage(name=kind, service=name, after=(CHAIN[i - 1][1],) if i else ())
        for i, (name, kind) in enumerate(CHAIN)
    )
    values: dict[str, Any] = {"stages": stages, "deadline": 6.0}
    return Pipeline(**(values | changes))


def build_bundle(
    urls: dict[str, list[str]], services: dict[str, Any] | None = None, **changes: Any
) -> Bundle:
    """Return a bundle.

    Parameters
    ----------
    urls : dict
        Base URLs of the endpoints, by service.
    services : dict, optional
        Attributes that replace the defaults, by service.
    """
    kinds = dict(CHAIN)
    built_services = {
        name: Service(
            **{
                "kind": kinds.get(name, "plain"),
                "endpoints": tuple(
                    EndpointSpec(name=f"{name}-{i + 1}", url=url)
                    for i, url in enumerate(endpoint_urls)
                ),
            }
            | (services or {}).get(name, {})
        )
        for name, endpoint_urls in urls.items()
    }
    values: dict[str, Any] = {
        "services": built_services,
        "pipelines": {"notes": build_pipeline()} if "encoder" in urls else {},
        "workspaces": {"jos": Workspace(key_hashes=(hash_key(WORKSPACE_KEY),))},
        "policy": Policy(),
    }
    return Bundle(**(values | changes))


def build_exchange(**changes: Any) -> Exchange:
    """Return a request with six seconds left."""
    now = anyio.current_time()
    values: dict[str, Any] = {
        "request_id": "entry-1.ab.1.cd",
        "workspace": "jos",
        "pipeline": "notes",
        "input": "flight 12",
        "started": now,
        "deadline": now + 6.0,
    }
    return Exchange(**(values | changes))


def build_attempt(**changes: Any) -> Attempt:
    """Return a stage call."""
    values: dict[str, Any] = {
        "request_id": "entry-1.ab.1.cd",
        "stage": "encode",
        "attempt_id": "entry-1.ab.a1",
        "service": "encoder",
        "endpoint": "encoder-1",
        "url": "http://encoder-1:1",
        "path": "/v1/call",
        "body": {"input": 1},
        "seconds": 1.0,
    }
    return Attempt(**(values | changes))


def build_tracked_attempt(
    end: AttemptEnd | None = None, handed: bool = False
) -> TrackedAttempt:
    """Return an attempt in progress, or a settled one if ``end`` is given."""
    attempt = TrackedAttempt(attempt=build_attempt())
    attempt.hand_off.handed = handed
    if end is not None:
        attempt.settle(build_report(end))
    return attempt


def build_report(end: AttemptEnd = AttemptEnd.DONE, **changes: Any) -> AttemptReport:
    """Return the report of an attempt."""
    values: dict[str, Any] = {"attempt": build_attempt(), "end": end}
    return AttemptReport(**(values | changes))
