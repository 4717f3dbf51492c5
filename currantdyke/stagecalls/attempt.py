"""Stage call attempts: what they send and how they end."""

import enum
import math
from collections.abc import Callable
from typing import Any

import attrs
import httpx

__all__ = [
    "Attempt",
    "AttemptEnd",
    "AttemptReport",
    "EndpointState",
    "HandOff",
    "TrackedAttempt",
    "check_answer_headers",
    "read_load",
    "read_endpoint_state",
]

NOT_RUN_HEADER = "x-not-run"
LEAVING_HEADER = "x-endpoint-leaving"
INCARNATION_HEADER = "x-endpoint-incarnation"
MAX_INCARNATION_CHARACTERS = 64
LOAD_HEADER = "x-endpoint-load"
REFUSING_STATUSES = frozenset((429, 503))
AMBIGUOUS_STATUSES = frozenset((408, 425, 429, 502, 503, 504))
MAX_LOAD_DIGITS = 9


class AttemptEnd(enum.Enum):
    """How a stage call ended.

    ``NOT_HANDED`` and ``REFUSED`` prove that the call did not run. ``FAILED`` means
    that the endpoint reported an error of a call that ran. After the other ends
    except ``DONE`` it is unknown whether it ran: ``CUT`` (connection lost, malformed
    answer, or a status that does not tell), ``MISMATCHED`` (answer of another request,
    stage or attempt), ``TIMED_OUT``, and ``ABANDONED`` (cancelled after the hand-off).
    """

    DONE = "done"
    NOT_HANDED = "not_handed"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    MISMATCHED = "mismatched"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"


@attrs.frozen(kw_only=True)
class Attempt:
    """One call to one endpoint.

    Attributes
    ----------
    url : str
        The endpoint's base URL.
    path : str
        The path of the call, relative to ``url``.
    body : dict
        The JSON body.
    seconds : float
        Timeout of the call.
    idle_seconds : float
        Maximum time between chunks of a streamed answer, after its first token.
    """

    request_id: str
    stage: str
    attempt_id: str
    service: str
    endpoint: str
    url: str
    path: str
    body: dict[str, Any]
    seconds: float
    idle_seconds: float = math.inf
    priority: int = 0

    def headers(self) -> dict[str, str]:
        """Return the headers; the endpoint echoes request id, stage and attempt id."""
        return {
            "x-request-id": self.request_id,
            "x-stage": self.stage,
            "x-attempt-id": self.attempt_id,
            "x-priority": str(self.priority),
            "accept-encoding": "identity",
            "content-type": "application/json",
        }


@attrs.define(kw_only=True)
class AttemptReport:
    """Report of how an attempt ended, with its output.

    Attributes
    ----------
    handed : bool
        Whether any byte of the call may have been written to a connection.
    seconds : float
        Duration of the call.
    load : float or None
        Load reported in the endpoint's answer.
    claimed_attempt : str
        Attempt id carried by a mismatched answer.
    """

    attempt: Attempt
    end: AttemptEnd
    handed: bool = True
    output: Any = None
    detail: str = ""
    seconds: float = 0.0
    leaving: bool = False
    load: float | None = None
    claimed_attempt: str = ""


@attrs.define(kw_only=True)
class HandOff:
    """Record of whether a call's first byte may have been sent.

    The HTTP client reports its progress through the ``trace`` request extension;
    ``handed`` is set before the first byte is written.
    """

    handed: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Handle one progress event of the client."""
        if event.endswith("send_request_headers.started"):
            self.handed = True

    def extensions(self) -> dict[str, Any]:
        """Return the request extensions that register ``trace``."""
        return {"trace": self.trace}


@attrs.define(kw_only=True, eq=False)
class TrackedAttempt:
    """An attempt with its hand-off and, once it is settled, its report.

    It is registered with the request before the call begins, so that an attempt
    cancelled by its caller, the deadline or a parallel stage still counts in the
    outcome of the request.

    Attributes
    ----------
    on_endpoint_state : callable
        Called with the state that the endpoint reports, once the headers of its
        answer have arrived.
    report : AttemptReport or None
        The report; None until the attempt is settled.
    """

    attempt: Attempt
    on_endpoint_state: Callable[["EndpointState"], None] = lambda state: None
    hand_off: HandOff = attrs.field(factory=HandOff)
    report: AttemptReport | None = None

    def settle(self, report: AttemptReport) -> bool:
        """Store the first report; discard any later one and return False."""
        if self.report is not None:
            return False
        self.report = report
        return True

    def abandon(self) -> bool:
        """Settle an attempt that was cancelled; return whether it was unsettled.

        An attempt that was never handed to a connection is proved not to have run.
        """
        handed = self.hand_off.handed
        end = AttemptEnd.ABANDONED if handed else AttemptEnd.NOT_HANDED
        return self.settle(
            AttemptReport(
                attempt=self.attempt,
                end=end,
                handed=handed,
                detail="ended before its answer",
            )
        )


@attrs.frozen(kw_only=True)
class EndpointState:
    """State that an endpoint reports in the headers of an answer."""

    leaving: bool = False
    incarnation: str = ""


def read_endpoint_state(response: httpx.Response) -> EndpointState:
    """Return the state that an endpoint reports in the headers of an answer."""
    incarnation = response.headers.get(INCARNATION_HEADER, "")
    return EndpointState(
        leaving=response.headers.get(LEAVING_HEADER) == "1",
        incarnation=incarnation[:MAX_INCARNATION_CHARACTERS],
    )


def check_answer_headers(
    attempt: Attempt, response: httpx.Response
) -> AttemptReport | None:
    """Return the report of an answer that must not be used, or None.

    An answer, including a refusal, is accepted only if it echoes the request id, the
    stage and the attempt id.
    """
    report = AttemptReport(
        attempt=attempt,
        end=AttemptEnd.FAILED,
        detail=f"status {response.status_code}",
        leaving=response.headers.get(LEAVING_HEADER) == "1",
        load=read_load(response),
    )
    sent = attempt.headers()
    for name in ("x-request-id", "x-stage", "x-attempt-id"):
        seen = response.headers.get(name)
        if seen != sent[name]:
            report.end = AttemptEnd.MISMATCHED
            report.detail = f"{name} is {seen!r:.80}, not {sent[name]!r}"
            report.claimed_attempt = response.headers.get("x-attempt-id", "")
            return report
    if response.status_code == 200:
        return None
    report.end = _end_by_status(attempt, response)
    return report


def _end_by_status(attempt: Attempt, response: httpx.Response) -> AttemptEnd:
    status = response.status_code
    refused = response.headers.get(NOT_RUN_HEADER) == attempt.attempt_id
    if refused and status in REFUSING_STATUSES:
        return AttemptEnd.REFUSED
    if status < 400 or status in AMBIGUOUS_STATUSES:
        return AttemptEnd.CUT
    return AttemptEnd.FAILED


def read_load(response: httpx.Response) -> float | None:
    """Return the load reported in an answer, or None."""
    text = response.headers.get(LOAD_HEADER, "")
    if not text.isdecimal() or len(text) > MAX_LOAD_DIGITS:
        return None
    return float(text)
