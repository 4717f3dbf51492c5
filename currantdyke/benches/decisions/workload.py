"""Configurations of the two users, and randomly drawn requests of their callers."""

import attrs
import numpy as np

from currantdyke.bundle import (
    Bundle,
    EndpointSpec,
    Pipeline,
    Policy,
    Service,
    Stage,
    Workspace,
)

__all__ = [
    "NG_WEST",
    "SK_WEST",
    "USERS",
    "SimulatedRequest",
    "User",
    "draw_requests",
    "make_bundle",
]

ZONE_COUNT = 4
WORKSPACE_COUNT = 5
PREFIX_COUNT = 40
PREFIX_TOKENS = 800
PREFILL_SECONDS_PER_TOKEN = 0.00012
ENGINE_SLOTS = 8
STEP_BASE_SECONDS = 0.020
STEP_SECONDS_PER_SEQUENCE = 0.00125
POOL_ENDPOINTS = 4
POOL_SLOTS = 2
POOL_STAGES = (
    ("encoder", "encode", 0.05),
    ("retriever", "retrieve", 0.08),
    ("reranker", "rerank", 0.12),
)
PLAIN_SECONDS = 0.05
PLAIN_REQUEST_RATIO = 0.2
FLOOD_FACTOR = 10.0


@attrs.frozen(kw_only=True)
class User:
    """Sizes and delays of one user's deployment.

    Attributes
    ----------
    zone_delay, client_delay : float
        One-way network delays in seconds: between a daemon and an endpoint in another
        availability zone, and between a caller and a daemon.
    mean_tokens : float
        Mean number of tokens in an answer.
    deadline : float
        Deadline of the pipeline, in seconds.
    """

    name: str
    engine: str
    engine_count: int
    plain_services: tuple[str, ...]
    zone_delay: float
    client_delay: float
    mean_tokens: float
    deadline: float


NG_WEST = User(
    name="ng-west",
    engine="pomace-llm",
    engine_count=10,
    plain_services=("entry-desk", "score-ledger", "member-roll", "notice-board"),
    zone_delay=0.0005,
    client_delay=0.001,
    mean_tokens=72.0,
    deadline=6.0,
)
SK_WEST = User(
    name="sk-west",
    engine="scribe-llm",
    engine_count=6,
    plain_services=("orders-app", "editor-portal", "subscriber-mail", "billing-desk"),
    zone_delay=0.001,
    client_delay=0.001,
    mean_tokens=108.0,
    deadline=9.0,
)
USERS = {user.name: user for user in (NG_WEST, SK_WEST)}


@attrs.define(kw_only=True, eq=False)
class SimulatedRequest:
    """One caller's request, with the work that it needs at each stage."""

    number: int
    arrived_at: float
    workspace: str
    pipeline: str
    daemon: int
    prefix: int
    suffix_tokens: int
    tokens: int
    stage_seconds: dict[str, float]
    deadline: float

    @property
    def engine_seconds(self) -> float:
        """Return the minimum engine time: cached prefix and full batch."""
        step = STEP_BASE_SECONDS / ENGINE_SLOTS + STEP_SECONDS_PER_SEQUENCE
        return self.suffix_tokens * PREFILL_SECONDS_PER_TOKEN + self.tokens * step


def make_bundle(user: User, policy: Policy) -> Bundle:
    """Return the user's configuration with a policy."""
    services = {
        user.engine: _service(
            "generate", user.engine, user.engine_count, ENGINE_SLOTS, 2.0
        )
    }
    for name, kind, seconds in POOL_STAGES:
        services[name] = _service(kind, name, POOL_ENDPOINTS, POOL_SLOTS, seconds)
    for number, name in enumerate(user.plain_services):
        service = _service("plain", name, POOL_ENDPOINTS, POOL_SLOTS, PLAIN_SECONDS)
        services[name] = attrs.evolve(service, idempotent=number > 0)
    stages = [
        Stage(name="encode", service="encoder"),
        Stage(name="retrieve", service="retriever", after=("encode",)),
        Stage(name="rerank", service="reranker", after=("retrieve",), optional=True),
        Stage(name="generate", service=user.engine, after=("rerank",), max_tokens=256),
    ]
    pipelines = {"notes": Pipeline(stages=tuple(stages), deadline=user.deadline)}
    for name in user.plain_services:
        call = Stage(name="call", service=name)
        pipelines[name] = Pipeline(stages=(call,), deadline=6.0)
    workspaces = {f"workspace-{n}": Workspace() for n in range(WORKSPACE_COUNT)}
    return Bundle(
        services=services, pipelines=pipelines, workspaces=workspaces, policy=policy
    )


def _service(
    kind: str, name: str, count: int, slots: int, typical_seconds: float
) -> Service:
    endpoints = tuple(
        EndpointSpec(
            name=f"{name}-{n}",
            url=f"http://{name}-{n}",
            availability_zone=f"zone-{n % ZONE_COUNT}",
            slots=slots,
        )
        for n in range(count)
    )
    return Service(
        kind=kind,
        endpoints=endpoints,
        model=name if kind == "generate" else "",
        typical_seconds=typical_seconds,
    )


def draw_requests(
    user: User,
    *,
    seed: int,
    load: float,
    seconds: float,
    daemons: int,
    burst: tuple[float, float, float] | None = None,
    flood: bool = False,
) -> list[SimulatedRequest]:
    """Return the callers' requests in order of arrival, determined by the seed.

    Parameters
    ----------
    load : float
        Requested engine work, as a fraction of the engines' capacity at full
        batches with every prefix cached.
    burst : tuple, optional
        Start and end in seconds, and rate factor, of a burst of arrivals.
    flood : bool
        Whether workspace 0 sends, in addition to the load, ten times an equal
        share of the engines' capacity, independently of the load.
    """
    rng = np.random.default_rng(seed)
    sample = [_draw_request(rng, user, 0, 0.0, 0, daemons) for _ in range(2000)]
    mean_work = float(np.mean([request.engine_seconds for request in sample]))
    rate = load * user.engine_count / mean_work
    requests: list[SimulatedRequest] = []
    _add_arrivals(requests, rng, user, rate, seconds, daemons, burst)
    if flood:
        share = user.engine_count / mean_work / WORKSPACE_COUNT
        extra: list[SimulatedRequest] = []
        _add_arrivals(extra, rng, user, FLOOD_FACTOR * share, seconds, daemons, None)
        for request in extra:
            request.workspace = "workspace-0"
        requests += extra
    requests += _draw_plain_requests(
        rng, user, PLAIN_REQUEST_RATIO * rate, seconds, daemons
    )
    requests.sort(key=lambda request: request.arrived_at)
    for number, request in enumerate(requests):
        request.number = number
    return requests


def _add_arrivals(requests, rng, user, rate, seconds, daemons, burst) -> None:
    now = 0.0
    while True:
        factor = burst[2] if burst and burst[0] <= now < burst[1] else 1.0
        now += rng.exponential(1.0 / (rate * factor))
        if now >= seconds:
            return
        requests.append(
            _draw_request(
                rng, user, len(requests), now, rng.integers(WORKSPACE_COUNT), daemons
            )
        )


def _draw_plain_requests(rng, user, rate, seconds, daemons) -> list[SimulatedRequest]:
    requests: list[SimulatedRequest] = []
    _add_arrivals(requests, rng, user, rate, seconds, daemons, None)
    for request in requests:
        request.pipeline = user.plain_services[
            request.number % len(user.plain_services)
        ]
        request.deadline = 6.0
    return requests


def _draw_request(
    rng, user: User, number: int, arrived_at: float, workspace: int, daemons: int
) -> SimulatedRequest:
    tokens = rng.gamma(6.0, user.mean_tokens / 6.0)
    seconds = {name: mean * rng.gamma(6.0, 1 / 6.0) for name, _, mean in POOL_STAGES}
    seconds |= dict.fromkeys(
        user.plain_services, PLAIN_SECONDS * rng.gamma(6.0, 1 / 6.0)
    )
    return SimulatedRequest(
        number=number,
        arrived_at=arrived_at,
        workspace=f"workspace-{workspace}",
        pipeline="notes",
        daemon=int(rng.integers(daemons)),
        prefix=min(int(rng.zipf(1.3)), PREFIX_COUNT) - 1,
        suffix_tokens=int(rng.integers(50, 400)),
        tokens=int(min(max(tokens, 8), 256)),
        stage_seconds=seconds,
        deadline=user.deadline,
    )
