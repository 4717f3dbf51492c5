"""Records of the operator configuration and of endpoint announcements.

They are independent of the format in which the platform stores them.
"""

import enum

import attrs

__all__ = [
    "CallerLimits",
    "Catalog",
    "CatalogPart",
    "Endpoint",
    "EngineLimits",
    "Repeatability",
    "Route",
    "Service",
    "StageLimits",
    "StageStep",
    "Workspace",
    "max_event_gap",
]


# Assumed of endpoints for which the configuration states no memory: it never fills up.
UNSTATED_MEMORY_BYTES = 2**62
# Assumed where the configuration states no time to live of results: longer than the
# requests that use them.
UNSTATED_RESULT_TTL_SECONDS = 30.0


class Repeatability(enum.Enum):
    """Whether the requests of a route may run more than once.

    A request of kind ``STREAM`` may run more than once if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class StageStep:
    """A stage of a route, whose work is done before the request itself can run.

    Attributes
    ----------
    service : str
        Service whose endpoints do the work.
    after : tuple of int
        Indices of the stages whose results it needs.
    result_bytes : int
        Approximate size of one result, in bytes.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@attrs.frozen(kw_only=True)
class Route:
    """The services for a host and a path prefix, and the terms of its requests.

    Attributes
    ----------
    targets : tuple of (str, float)
        Names of services and their weights; each request goes to one of them.
    timeout : float or None
        Seconds until the final answer is due.
    target_latency : float
        Seconds within which the answer, or the first event of a stream, has its full
        value.
    target_inter_token_latency : float or None
        Longest pause between events of a stream, in seconds.
    max_attempts : int
        Maximum number of endpoints that may run one request; one that states that it
        did not run it is not counted.
    rank : int
        Rank of the request's urgency; 0 is the most urgent.
    public : bool or None
        Whether its requests need no key; None if that could not be read, so that they
        need one.
    problem : str or None
        Why its requests can't be served, if they can't.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    targets: tuple[tuple[str, float], ...]
    timeout: float | None = None
    target_latency: float = 1.0
    target_inter_token_latency: float | None = None
    max_attempts: int = 1
    rank: int = 0
    stages: tuple[StageStep, ...] = ()
    public: bool | None = False
    prefix_affinity: bool = False
    resumable: bool = False
    problem: str | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT or (
            self.repeatability is Repeatability.STREAM and self.resumable
        )


def max_event_gap(route: Route) -> float:
    """Return how many seconds a caller waits for the next event of a stream.

    Callers disconnect after a gap of two seconds, four times the target latency, or
    eight times the target inter-token latency, whichever is longest.
    """
    return max(
        2.0, 4.0 * route.target_latency, 8.0 * (route.target_inter_token_latency or 0.0)
    )


@attrs.frozen(kw_only=True)
class StageLimits:
    """Capacity and timing of one endpoint of a stage service.

    Attributes
    ----------
    slots, queue : int
        Calls that run at once, and calls that may wait, at one endpoint.
    batch : int
        Maximum number of pieces in one call.
    call_seconds, piece_seconds : float
        Approximate fixed time of a call, and additional time for each piece.
    result_memory_bytes : int
        Memory of one endpoint for results, in bytes.
    result_ttl : float
        Seconds for which a result is kept after its call.
    """

    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_seconds: float = 0.0
    piece_seconds: float = 0.0
    result_memory_bytes: int = UNSTATED_MEMORY_BYTES
    result_ttl: float = UNSTATED_RESULT_TTL_SECONDS


@attrs.frozen(kw_only=True)
class EngineLimits:
    """Capacity of a model engine.

    Attributes
    ----------
    slots : int
        Maximum number of requests in one batch.
    cache_tokens : int
        Capacity for running requests and cached prompt parts together, in tokens.
    """

    slots: int
    cache_tokens: int


@attrs.frozen(kw_only=True)
class Service:
    """A pool of equivalent endpoints.

    Attributes
    ----------
    cold_seconds : float
        Approximate time for which an endpoint is slow after its start.
    cold_rate : float
        Requests per second that an endpoint tolerates while it is cold; 0 if any.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: int | None = None
    stage: StageLimits | None = None
    engine: EngineLimits | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer with its keys and, optionally, a rank that replaces the route's.

    Attributes
    ----------
    has_all_keys : bool
        Whether all of its keys could be read.
    """

    name: str
    keys: frozenset[str]
    rank: int | None = None
    has_all_keys: bool = True


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the sizes and the timing of what a caller sends; times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class CatalogPart(enum.Enum):
    """A part of a configuration by which requests are refused for good."""

    ROUTES = "routes"
    PUBLIC_ROUTES = "public routes"
    KEYS = "keys"
    HEADER_LIMIT = "header limit"
    BODY_LIMIT = "body limit"


@attrs.frozen(kw_only=True)
class Catalog:
    """One version of the operator configuration.

    Attributes
    ----------
    workspaces : tuple of Workspace or None
        None if requests need no key.
    incomplete : frozenset of CatalogPart
        Parts of which something is not stated or could not be read, so that what it
        would allow is not known.
    problems : tuple of str
        What could not be used, with its place in the document.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.field(factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None
    incomplete: frozenset[CatalogPart] = frozenset()
    problems: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Endpoint:
    """An endpoint as announced by its entry in the store.

    Attributes
    ----------
    instance : str
        Identifier of the endpoint; it may stay the same after a restart.
    born : int
        Start time of this incarnation, in Unix milliseconds; 0 if not announced.
    leaving : bool
        Whether the endpoint is draining and must receive no new requests.
    version : str
        Version of its software, without an order; empty if not announced.
    cold_remaining : float
        Seconds for which it stays cold, from the time at which its entry is read. It
        is no part of the comparison of endpoints, since each heartbeat changes it.
    unreadable_cold : str or None
        What its entry states in place of such a time.
    """

    instance: str
    service: str
    address: str
    availability_zone: str
    slots: int = 1
    leaving: bool = False
    born: int = 0
    version: str = ""
    cold_remaining: float = attrs.field(default=0.0, eq=False)
    unreadable_cold: str | None = attrs.field(default=None, eq=False)
