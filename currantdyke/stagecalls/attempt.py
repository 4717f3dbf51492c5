"""What a stage call carries, and how it ended."""

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
    "EndpointWord",
    "HandOff",
    "OpenAttempt",
    "check_answer_headers",
    "read_load",
    "read_word",
]

NOT_RUN_HEADER = "x-not-run"
LEAVING_HEADER = "x-endpoint-leaving"
INCARNATION_HEADER = "x-endpoint-incarnation"
MAX_INCARNATION_CHARACTERS = 64
LOAD_HEADER = "x-endpoint-load"
REFUSING_STATUSES = frozenset((429, 503))
UNCLEAR_STATUSES = frozenset((408, 425, 429, 502, 503, 504))
MAX_LOAD_DIGITS = 9


class AttemptEnd(enum.Enum):
    """How a stage call ended.

    ``NOT_HANDED`` and ``REFUSED`` are proofs that nothing ran.  ``FAILED`` is the
    endpoint's own word that the call ran and failed.  After ``CUT``,
    ``MISMATCHED``, ``TIMED_OUT`` and ``ABANDONED`` nobody knows.
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
        The path of the call there.
    body : dict
        The JSON body.
    seconds : float
        Time left for it.
    idle_seconds : float
        Longest silence within a streamed answer, after its first token.
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
        """Return the headers that the endpoint echoes."""
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
    """How an attempt ended, and what came of it.

    Attributes
    ----------
    handed : bool
        Whether any byte of it may have reached a connection.
    load : float or None
        The load that the endpoint's answer told.
    claimed_attempt : str
        The attempt that a mismatched answer said it belongs to.
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
    """Whether a request's first byte may have left; set by the transport.

    The client tells of its steps through the ``trace`` extension; the mark is set
    before the bytes are written.
    """

    handed: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Take note of one step of the client."""
        if event.endswith("send_request_headers.started"):
            self.handed = True

    def extensions(self) -> dict[str, Any]:
        """Return the request extensions that call ``trace``."""
        return {"trace": self.trace}


@attrs.define(kw_only=True, eq=False)
class OpenAttempt:
    """An attempt from before its call until it is settled, once.

    It is registered with the request before the call begins, so that an attempt
    cut short by its caller, the deadline or a sibling still proves what it can.

    Attributes
    ----------
    report : AttemptReport or None
        How it ended; None while it is open.
    on_word : callable
        Called with what the endpoint says of itself, as soon as the answer begins.
    """

    attempt: Attempt
    on_word: Callable[["EndpointWord"], None] = lambda word: None
    hand_off: HandOff = attrs.field(factory=HandOff)
    report: AttemptReport | None = None

    def settle(self, report: AttemptReport) -> bool:
        """Take the first report; return False for any later one, which is dropped."""
        if self.report is not None:
            return False
        self.report = report
        return True

    def abandon(self) -> bool:
        """Settle an attempt that was ended from outside; return whether it was open.

        One that was never handed to a connection is proved not to have run.
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
class EndpointWord:
    """What an endpoint says of itself with the head of an answer."""

    leaving: bool = False
    incarnation: str = ""


def read_word(response: httpx.Response) -> EndpointWord:
    """Return what an endpoint says of itself."""
    incarnation = response.headers.get(INCARNATION_HEADER, "")
    return EndpointWord(
        leaving=response.headers.get(LEAVING_HEADER) == "1",
        incarnation=incarnation[:MAX_INCARNATION_CHARACTERS],
    )


def check_answer_headers(
    attempt: Attempt, response: httpx.Response
) -> AttemptReport | None:
    """Return the report of an answer that must not be used, or None.

    An answer counts only if it echoes request id, stage and attempt id; even a
    refusal is believed only then.
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
    if status < 400 or status in UNCLEAR_STATUSES:
        return AttemptEnd.CUT
    return AttemptEnd.FAILED


def read_load(response: httpx.Response) -> float | None:
    """Return the load that an answer tells, if it tells one."""
    text = response.headers.get(LOAD_HEADER, "")
    if not text.isdecimal() or len(text) > MAX_LOAD_DIGITS:
        return None
    return float(text)
