"""What a stage call carries, and how it ended."""

import enum
from typing import Any

import attrs
import httpx

__all__ = [
    "Attempt",
    "AttemptEnd",
    "AttemptReport",
    "HandOff",
    "check_answer_headers",
]

NOT_RUN_HEADER = "x-not-run"
LEAVING_HEADER = "x-endpoint-leaving"
LOAD_HEADER = "x-endpoint-load"
REFUSING_STATUSES = frozenset((429, 503))


class AttemptEnd(enum.Enum):
    """How a stage call ended.

    ``NOT_HANDED`` and ``REFUSED`` are proofs that nothing ran.  ``FAILED`` is the
    endpoint's own word that the call ran and failed.  After ``CUT``,
    ``MISMATCHED`` and ``TIMED_OUT`` nobody knows.
    """

    DONE = "done"
    NOT_HANDED = "not_handed"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    MISMATCHED = "mismatched"
    TIMED_OUT = "timed_out"


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
    priority: int = 0

    def headers(self) -> dict[str, str]:
        """Return the headers that the endpoint echoes."""
        return {
            "x-request-id": self.request_id,
            "x-stage": self.stage,
            "x-attempt-id": self.attempt_id,
            "x-priority": str(self.priority),
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
    """

    attempt: Attempt
    end: AttemptEnd
    handed: bool = True
    output: Any = None
    detail: str = ""
    seconds: float = 0.0
    leaving: bool = False
    load: float | None = None


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


def check_answer_headers(
    attempt: Attempt, response: httpx.Response
) -> AttemptReport | None:
    """Return the report of an answer that must not be used, or None.

    An answer counts only if it echoes request id, stage and attempt id; even a
    refusal is believed only then.
    """
    load_text = response.headers.get(LOAD_HEADER, "")
    report = AttemptReport(
        attempt=attempt,
        end=AttemptEnd.FAILED,
        detail=f"status {response.status_code}",
        leaving=response.headers.get(LEAVING_HEADER) == "1",
        load=float(load_text) if load_text.isdecimal() else None,
    )
    sent = attempt.headers()
    for name in ("x-request-id", "x-stage", "x-attempt-id"):
        seen = response.headers.get(name)
        if seen != sent[name]:
            report.end = AttemptEnd.MISMATCHED
            report.detail = f"{name} is {seen!r:.80}, not {sent[name]!r}"
            return report
    if response.status_code == 200:
        return None
    refused = response.headers.get(NOT_RUN_HEADER) == attempt.attempt_id
    if refused and response.status_code in REFUSING_STATUSES:
        report.end = AttemptEnd.REFUSED
    return report
