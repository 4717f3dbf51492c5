"""Answers: typed facts of an endpoint's, and a failure of our own on the wire."""

import attrs
import h11
import msgspec

from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.http1 import header_values
from currantdyke.platform.requests import ATTEMPT_ID, HOP_BY_HOP

__all__ = ["AnswerFacts", "answer_facts", "failure_answer", "passed_on_headers"]

SIGNATURE = b"x-server-signature"
NOT_EXECUTED = b"x-not-executed"
MISDIRECTED = 421
# Statuses that promise that a request has not run and never will.
PROMISE_STATUSES = frozenset((408, 421, 429, 503))
UNAVAILABLE = 503
BAD_GATEWAY = 502


@attrs.frozen(kw_only=True)
class AnswerFacts:
    """What an endpoint says of its answer.

    Attributes
    ----------
    signed : bool
        Whether it bears the signature that a success must have.
    not_run : bool
        Whether the endpoint states that it did not run the request.
    misdirected : bool
        Whether another endpoint than the one expected has the address.
    """

    status: int
    attempt_id: str | None
    signed: bool
    not_run: bool
    misdirected: bool
    closes: bool
    keep_alive: float | None

    @property
    def success(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


def answer_facts(response: h11.Response) -> AnswerFacts:
    """Decode the head of an endpoint's answer."""
    headers = response.headers
    attempt_ids = header_values(headers, ATTEMPT_ID)
    misdirected = response.status_code == MISDIRECTED
    connection = b",".join(header_values(headers, b"connection")).lower()
    return AnswerFacts(
        status=response.status_code,
        attempt_id=attempt_ids[0].decode("latin-1") if attempt_ids else None,
        signed=bool(header_values(headers, SIGNATURE)),
        not_run=misdirected or bool(header_values(headers, NOT_EXECUTED)),
        misdirected=misdirected,
        closes=b"close" in connection,
        keep_alive=_keep_alive(header_values(headers, b"keep-alive")),
    )


def _keep_alive(values: list[bytes]) -> float | None:
    for value in values:
        for field in value.split(b","):
            name, _, number = field.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                return float(number)
    return None


def passed_on_headers(response: h11.Response) -> list[tuple[bytes, bytes]]:
    """Return an endpoint's headers without those of its connection."""
    return [(key, value) for key, value in response.headers if key not in HOP_BY_HOP]


def failure_answer(
    failure: Failure, attempt_id: str | None
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return the status, the headers and the body that tell of a failure.

    Only a request that has not run gets a status that promises so.
    """
    status = _status(failure)
    document = {
        "error": failure.kind.code,
        "detail": failure.message,
        "outcome": failure.outcome.value,
    }
    body = msgspec.json.encode(document)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    if attempt_id:
        headers.append((ATTEMPT_ID, attempt_id.encode("latin-1")))
    if failure.retry_after is not None and status in PROMISE_STATUSES:
        headers.append((b"retry-after", b"%.2f" % failure.retry_after))
    if status == 401:
        headers.append((b"www-authenticate", b"Token"))
    return status, headers, body


def _status(failure: Failure) -> int:
    status = failure.kind.status
    if failure.outcome is Outcome.NOT_RUN:
        # A deadline that passed before anything ran is still a promise; a request
        # that crashes endpoints must not look like one that is not allowed.
        late_or_crashing = (FailureKind.DEADLINE_PASSED, FailureKind.QUARANTINED)
        if failure.kind in late_or_crashing or status == BAD_GATEWAY:
            return UNAVAILABLE
        return status
    if status in PROMISE_STATUSES:
        return BAD_GATEWAY
    return status
