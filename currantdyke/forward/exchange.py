"""State of a caller's request while it is served."""

from typing import Protocol

import attrs
import h11

from currantdyke.catalog import Route
from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.crashes import EndpointRun
from currantdyke.platform.requests import RequestMetadata

__all__ = [
    "KEPT_FAILURE_MARGIN_SECONDS",
    "AttemptRecord",
    "Exchange",
    "RequestFailedError",
    "ResponseWriter",
    "StreamBrokenError",
]

# Used where nothing is known of the time at which an endpoint will be free. Short
# compared with the deadlines of callers, which wait at most a third of what is left.
DEFAULT_RETRY_SECONDS = 0.5
# A failure that waits for another run of the request is relayed this long before the
# deadline.
KEPT_FAILURE_MARGIN_SECONDS = 0.1


class ResponseWriter(Protocol):
    """Interface that sends a response to the caller."""

    response_started: bool

    async def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""

    async def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response whose length is not known."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """Send the end of a complete body."""


class RequestFailedError(Exception):
    """The request ends with a failure that the gateway reports itself."""

    def __init__(self, failure: Failure):
        super().__init__(failure.message)
        self.failure = failure


class StreamBrokenError(Exception):
    """A started response can't be completed; the caller's connection must be closed."""


@attrs.frozen(kw_only=True)
class AttemptRecord:
    """Log record of one attempt.

    Attributes
    ----------
    seconds : float
        Duration of the attempt.
    """

    endpoint: str
    outcome: str
    seconds: float


@attrs.define(kw_only=True, eq=False)
class Exchange:
    """A request with its limits and its progress.

    Attributes
    ----------
    service : str
        The service of the route to which this request goes.
    workspace : str or None
        Workspace name that endpoints get in place of the caller's key.
    rank : int
        Urgency; 0 is the most urgent.
    sheddable : bool
        Whether other routes to the service are more urgent.
    arrived_at, target_at, deadline_at : float
        Monotonic times in seconds of the arrival, of the end of the route's target
        latency, and of the deadline less the margin for the final answer.
    caller_timeout_at : float
        Time at which the caller of a stream disconnects if it has received no event.
    runs : int
        Endpoints that may have run the request.
    sends : int
        Attempts whose sending has started.
    crash_keys : frozenset of str
        Keys under which crashes of endpoints are counted.
    trial_of : frozenset of str
        Refused groups of requests for which this one is the fleet's trial.
    crash_runs : list of EndpointRun
        The attempts, for the detection of crashes.
    not_run_attempts : int
        Attempts that no endpoint ran: refusals, failed connections, and endpoints that
        may no longer be used.
    """

    request: h11.Request
    body: bytes
    facts: RequestMetadata
    route: Route
    service: str
    workspace: str | None
    rank: int
    crash_keys: frozenset[str]
    configuration: int
    caller: ResponseWriter
    arrived_at: float
    target_at: float
    deadline_at: float
    caller_timeout_at: float
    sheddable: bool = False
    runs: int = 0
    sends: int = 0
    not_run_attempts: int = 0
    attempts: list[AttemptRecord] = attrs.field(factory=list)
    first_event_at: float | None = None
    excluded: set[str] = attrs.field(factory=set)
    trial_of: frozenset[str] = frozenset()
    crash_runs: list[EndpointRun] = attrs.field(factory=list)

    def record_send(self) -> None:
        """Record that the request is being sent, so that an endpoint may run it."""
        self.runs += 1
        self.sends += 1

    def record_not_run(self) -> None:
        """Record that the last endpoint stated that it did not run the request."""
        self.runs -= 1
        self.not_run_attempts += 1

    def record_attempt(self, endpoint: str, outcome: str, seconds: float) -> None:
        """Add an attempt to those that are logged."""
        self.attempts.append(
            AttemptRecord(endpoint=endpoint, outcome=outcome, seconds=seconds)
        )

    def failure(
        self, kind: FailureKind, detail: str, *, retry_after: float | None = None
    ) -> RequestFailedError:
        """Return a failure whose outcome states whether the request may have run.

        Parameters
        ----------
        retry_after : float or None
            Seconds after which a request that has not run may be sent again; None for
            `DEFAULT_RETRY_SECONDS`.
        """
        outcome = Outcome.UNKNOWN if self.runs else Outcome.NOT_RUN
        if retry_after is None and outcome is Outcome.NOT_RUN:
            retry_after = DEFAULT_RETRY_SECONDS
        return RequestFailedError(
            Failure(kind=kind, detail=detail, outcome=outcome, retry_after=retry_after)
        )
