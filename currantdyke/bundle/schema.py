"""Schema and validation of the configuration bundle."""

import collections
import hashlib
from typing import Any

import attrs
from expression import Error, Result

from currantdyke.documents import Problem, check_document
from currantdyke.documents.validators import between, one_of, valid_name

__all__ = [
    "Bundle",
    "EndpointSpec",
    "Pipeline",
    "Policy",
    "Service",
    "Stage",
    "StageKind",
    "Workspace",
    "bundle_problems",
    "check_bundle",
    "hash_key",
]

MAX_STAGES = 12


class StageKind:
    """Kinds of services that a stage can call."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    PLAIN = "plain"
    ALL = frozenset((ENCODE, RETRIEVE, RERANK, GENERATE, PLAIN))


@attrs.frozen(kw_only=True)
class EndpointSpec:
    """Endpoint of a service: the VM's name, URL, availability zone and slots."""

    name: str = attrs.field(validator=valid_name)
    url: str
    availability_zone: str = ""
    slots: int = attrs.field(default=8, validator=between(1, 10_000))


@attrs.frozen(kw_only=True)
class Service:
    """Pool of interchangeable endpoints.

    Attributes
    ----------
    idempotent : bool
        Whether a call may run more than once; if not, it is repeated only if it is
        known not to have run.
    path : str
        Path of the URL that calls are posted to; ignored for the kind ``generate``,
        whose calls are posted to ``/v1/completions``.
    """

    kind: str = attrs.field(validator=one_of(StageKind.ALL))
    endpoints: tuple[EndpointSpec, ...]
    path: str = "/v1/call"
    model: str = ""
    idempotent: bool = True
    typical_seconds: float = attrs.field(
        default=0.2, validator=between(0.0, 600.0, "seconds")
    )


@attrs.frozen(kw_only=True)
class Stage:
    """Step of a pipeline: a call to a service that runs after other stages."""

    name: str = attrs.field(validator=valid_name)
    service: str
    after: tuple[str, ...] = ()
    optional: bool = False
    max_tokens: int = attrs.field(default=256, validator=between(1, 100_000))


@attrs.frozen(kw_only=True)
class Pipeline:
    """Stages that share one deadline; the last stage produces the answer."""

    stages: tuple[Stage, ...]
    deadline: float = attrs.field(default=6.0, validator=between(0.05, 600, "seconds"))


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer: its key hashes, fair-share weight and rate limit."""

    key_hashes: tuple[str, ...] = ()
    share: float = attrs.field(default=1.0, validator=between(0.0, 1e6))
    requests_per_second: float = attrs.field(
        default=1e6, validator=between(0.0, 1e6, "requests a second")
    )


def _by_objective(*, attainment: float, cost: float) -> Any:
    return attrs.Factory(
        lambda policy: cost if policy.objective == "cost" else attainment,
        takes_self=True,
    )


@attrs.frozen(kw_only=True)
class Policy:
    """Trade-off between deadline attainment and the cost of each stage.

    The defaults of ``wait_share``, ``borrow_wait_share`` and ``affinity_bound``
    depend on ``objective``.

    Attributes
    ----------
    max_attempts : int
        Attempts per stage of a request, including the first.
    retry_budget_share : float
        Repeated attempts earned per first attempt, over all requests of the daemon.
    wait_share : float
        Share of a request's slack, the time to its deadline beyond the expected run
        time, that it may spend in queues.
    borrow_wait_share : float
        The same for a workspace that uses more than its fair share.
    spread_factor : float
        Number of mean deviations added to the expected run time.
    affinity_bound : float
        Load, in calls per slot, up to which a ``generate`` call goes to an endpoint for
        its prefix cache; raised if the mean load is high; 0 disables it.
    """

    objective: str = attrs.field(
        default="attainment", validator=one_of(("attainment", "cost"))
    )
    max_attempts: int = attrs.field(default=3, validator=between(1, 10))
    retry_budget_share: float = attrs.field(default=0.1, validator=between(0.0, 1.0))
    wait_share: float = attrs.field(
        default=_by_objective(attainment=0.4, cost=0.3), validator=between(0.0, 1.0)
    )
    borrow_wait_share: float = attrs.field(
        default=_by_objective(attainment=0.1, cost=0.05), validator=between(0.0, 1.0)
    )
    spread_factor: float = attrs.field(default=1.0, validator=between(0.0, 5.0))
    affinity_bound: float = attrs.field(
        default=_by_objective(attainment=0.7, cost=1.1), validator=between(0.0, 4.0)
    )


@attrs.frozen(kw_only=True)
class Bundle:
    """One complete version of the configuration."""

    services: dict[str, Service]
    pipelines: dict[str, Pipeline] = attrs.field(factory=dict)
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    policy: Policy = attrs.field(factory=Policy)


def hash_key(key: str) -> str:
    """Return the hash under which a bundle stores a workspace's key.

    Examples
    --------
    >>> hash_key("secret")[:14]
    'sha256:2bb80d5'
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def check_bundle(text: str) -> Result[Bundle, list[Problem]]:
    """Check the YAML text of a bundle: each field, then the consistency of all."""
    checked = check_document(text, Bundle)
    if checked.is_error():
        return checked
    problems = bundle_problems(checked.ok)
    return Error(problems) if problems else checked


def bundle_problems(bundle: Bundle) -> list[Problem]:
    """Return the inconsistencies between the parts of a bundle with valid fields."""
    problems = [
        (f"$.pipelines.{name}", detail, remedy)
        for name, pipeline in bundle.pipelines.items()
        for detail, remedy in _pipeline_problems(pipeline, bundle)
    ]
    problems += [
        (f"$.services.{name}", detail, "give each endpoint a name of its own")
        for name, service in bundle.services.items()
        for detail in _endpoint_problems(service)
    ]
    return [Problem(path=p, line=1, detail=d, remedy=r) for p, d, r in problems]


def _endpoint_problems(service: Service):
    counts = collections.Counter(endpoint.name for endpoint in service.endpoints)
    for name, count in counts.items():
        if count > 1:
            yield f"{count} endpoints are named {name!r}"


def _pipeline_problems(pipeline: Pipeline, bundle: Bundle):
    if not 1 <= len(pipeline.stages) <= MAX_STAGES:
        yield f"{len(pipeline.stages)} stages", f"use 1 to {MAX_STAGES} stages"
    seen: set[str] = set()
    for stage in pipeline.stages:
        if stage.name in seen:
            yield f"two stages are named {stage.name!r}", "rename one of them"
        if stage.service not in bundle.services:
            yield (
                f"stage {stage.name!r} calls the unknown service {stage.service!r}",
                "define the service or correct its name",
            )
        for earlier in stage.after:
            if earlier not in seen:
                yield (
                    f"stage {stage.name!r} comes after {earlier!r}, "
                    "which is not an earlier stage",
                    "list stages in the order they run",
                )
        seen.add(stage.name)
