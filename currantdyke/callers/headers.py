"""Parse and validate a caller's headers and query parameters."""

import math
import re
from typing import Any

import attrs
from expression import Error, Ok, Result
from starlette.datastructures import Headers
from starlette.requests import Request

from currantdyke.bundle import ActiveBundle, hash_key
from currantdyke.core import Failure, FailureKind

__all__ = [
    "CallerHeaders",
    "authenticate",
    "check_header_sizes",
    "first_event_number",
    "malformed_error",
    "preferred_wait_seconds",
    "read_headers",
    "wants_stream",
]

MAX_HEADERS = 64
MAX_HEADERS_BYTES = 16_384
MAX_DEADLINE_SECONDS = 600.0
MAX_HEADER_VALUE_LENGTH = 200
PRIORITIES = range(-10, 11)
VISIBLE_ASCII = re.compile(r"[!-~]*")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
INTEGER = re.compile(r"-?[0-9]{1,9}")
PREFER_ASYNC = "respond-async"
PREFER_WAIT = "wait="


@attrs.frozen(kw_only=True)
class CallerHeaders:
    """Validated headers of a caller's request.

    Attributes
    ----------
    wait_seconds : float
        How long to wait for the whole answer before responding with status 202;
        0 for ``Prefer: respond-async``, infinity without a preference.
    """

    workspace: str
    deadline_seconds: float | None
    priority: int
    idempotency_key: str
    streamed: bool
    wait_seconds: float


def malformed_error(detail: str) -> Result[Any, Failure]:
    """Return an error result with a failure of kind ``MALFORMED``."""
    return Error(Failure(kind=FailureKind.MALFORMED, detail=detail))


def check_header_sizes(headers: Headers) -> Failure | None:
    """Return a failure if the headers are too many or too large in total."""
    count = len(headers.raw)
    size = sum(len(name) + len(value) for name, value in headers.raw)
    if count <= MAX_HEADERS and size <= MAX_HEADERS_BYTES:
        return None
    return Failure(
        kind=FailureKind.TOO_LARGE,
        detail=(
            f"{count} headers of {size} bytes are above "
            f"{MAX_HEADERS} or {MAX_HEADERS_BYTES} bytes"
        ),
    )


def authenticate(request: Request, active_bundle: ActiveBundle) -> Result[str, Failure]:
    """Return the workspace that the request's bearer key belongs to."""
    credentials = request.headers.getlist("authorization")
    scheme, _, key = (
        credentials[0].partition(" ") if len(credentials) == 1 else ("", "", "")
    )
    workspace = active_bundle.workspace_by_key_hash.get(hash_key(key.strip()))
    if scheme.lower() != "bearer" or workspace is None:
        return Error(
            Failure(kind=FailureKind.UNAUTHORIZED, detail="no valid workspace key")
        )
    return Ok(workspace)


def read_headers(
    request: Request, active_bundle: ActiveBundle
) -> Result[CallerHeaders, Failure]:
    """Parse and validate the headers of a request."""
    workspace = authenticate(request, active_bundle)
    if workspace.is_error():
        return Error(workspace.error)
    deadline = _deadline(request)
    if deadline.is_error():
        return Error(deadline.error)
    priority = _priority(request)
    if priority.is_error():
        return Error(priority.error)
    key = _single_header(request, "idempotency-key")
    if key.is_error():
        return Error(key.error)
    return Ok(
        CallerHeaders(
            workspace=workspace.ok,
            deadline_seconds=deadline.ok,
            priority=priority.ok,
            idempotency_key=key.ok,
            streamed=wants_stream(request),
            wait_seconds=preferred_wait_seconds(request),
        )
    )


def wants_stream(request: Request) -> bool:
    """Return whether the caller accepts server-sent events."""
    return "text/event-stream" in request.headers.get("accept", "")


def preferred_wait_seconds(request: Request) -> float:
    """Return the shortest wait in the ``Prefer`` headers (RFC 7240), or infinity."""
    wait = math.inf
    for value in request.headers.getlist("prefer"):
        for preference in re.split(r"[,;]", value):
            wait = min(wait, _preferred_wait(preference.strip().lower()))
    return wait


def _preferred_wait(preference: str) -> float:
    if preference == PREFER_ASYNC:
        return 0.0
    seconds = preference.removeprefix(PREFER_WAIT)
    if seconds != preference and DECIMAL.fullmatch(seconds):
        return float(seconds)
    return math.inf


def first_event_number(request: Request) -> Result[int, Failure]:
    """Return the number of the first event to send.

    The query parameter ``from`` gives this number; the header ``Last-Event-ID``
    gives the number of the event before it.  ``from`` takes precedence.
    """
    values = request.query_params.getlist("from")
    last = _single_header(request, "last-event-id")
    if last.is_error():
        return Error(last.error)
    if len(values) > 1:
        return malformed_error(f"from stands {len(values)} times")
    text, offset = (values[0], 0) if values else (last.ok or "-1", 1)
    if not INTEGER.fullmatch(text) or int(text) + offset < 0:
        return malformed_error(f"the event number is {text!r:.40}, not a whole number")
    return Ok(int(text) + offset)


def _single_header(request: Request, name: str) -> Result[str, Failure]:
    values = request.headers.getlist(name)
    if len(values) > 1:
        return malformed_error(f"the header {name} stands {len(values)} times")
    value = values[0].strip() if values else ""
    if len(value) > MAX_HEADER_VALUE_LENGTH:
        return malformed_error(
            f"the header {name} is longer than {MAX_HEADER_VALUE_LENGTH}"
        )
    if not VISIBLE_ASCII.fullmatch(value):
        return malformed_error(f"the header {name} is {value!r:.80}, not visible ASCII")
    return Ok(value)


def _deadline(request: Request) -> Result[float | None, Failure]:
    text = _single_header(request, "x-deadline-seconds")
    if text.is_error():
        return Error(text.error)
    if not text.ok:
        return Ok(None)
    if not DECIMAL.fullmatch(text.ok):
        return malformed_error(f"x-deadline-seconds is {text.ok!r:.80}, not a number")
    value = float(text.ok)
    if not 0.0 < value <= MAX_DEADLINE_SECONDS:
        return malformed_error(
            f"x-deadline-seconds is {value:g}, "
            f"not above 0 and at most {MAX_DEADLINE_SECONDS:g}"
        )
    return Ok(value)


def _priority(request: Request) -> Result[int, Failure]:
    text = _single_header(request, "x-priority")
    if text.is_error():
        return Error(text.error)
    if not INTEGER.fullmatch(text.ok or "0"):
        return malformed_error(f"x-priority is {text.ok!r:.80}, not a whole number")
    value = int(text.ok or "0")
    if value not in PRIORITIES:
        return malformed_error(f"x-priority is {value}, not from -10 to 10")
    return Ok(value)
