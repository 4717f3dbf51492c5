"""Decode the heads of endpoint responses, and encode failures for callers."""

import math
import re

import attrs
import h11
import msgspec

from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.http1 import header_values
from currantdyke.platform.cold import decode_cold_header
from currantdyke.platform.requests import ATTEMPT_ID, HOP_BY_HOP

__all__ = [
    "EndpointLoad",
    "ResponseMetadata",
    "decode_lifetime",
    "decode_response_metadata",
    "encode_failure_response",
    "end_to_end_headers",
]

SIGNATURE = b"x-server-signature"
NOT_EXECUTED = b"x-not-executed"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
SERVER_BRITTLE = b"server-brittle"
INSTANCE_LOAD = b"x-instance-load"
COLD = b"x-cold-ms"
RETRY_AFTER = b"retry-after"
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,18}(\.[0-9]{1,18})?")
FIGURE_PATTERN = re.compile(rb"[0-9]{1,18}")
# No endpoint has more requests or slots than this; higher figures are errors.
MAX_LOAD_REQUESTS = 100_000
# Work that takes 100 times as long as normal is an error of the endpoint.
MAX_DURATION_PERCENT = 10_000
NORMAL_DURATION_PERCENT = 100
# Bytes of an unreadable load that are reported.
MAX_REPORTED_BYTES = 80
MISDIRECTED = 421
# Statuses that guarantee to a caller that its request has not run and never will. An
# endpoint guarantees it only with status 421 or the header X-Not-Executed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Kinds of failure whose status guarantees nothing.
KINDS_WITHOUT_GUARANTEE = frozenset(
    (FailureKind.DEADLINE_PASSED, FailureKind.INTERNAL, FailureKind.QUARANTINED)
)
UNAVAILABLE = 503
BAD_GATEWAY = 502


@attrs.frozen(kw_only=True)
class EndpointLoad:
    """The load that an endpoint states in a response.

    Attributes
    ----------
    running, waiting : int
        Requests at the endpoint.
    duration_factor : float or None
        How long work takes now, relative to the normal duration; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    duration_factor: float | None


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """The decoded head of an endpoint's response.

    Attributes
    ----------
    signed : bool
        Whether it has the signature header that a success must have.
    not_run : bool
        Whether the endpoint reports that it did not run the request.
    misdirected : bool
        Whether the address belongs to another endpoint than the expected one.
    request_rate_limit : float or None
        Requests per second that the endpoint accepts from all daemons together, the
        lowest of several values; None if it names no limit.
    unreadable_limit : str or None
        What it names instead of a number.
    leaving : bool
        Whether the endpoint says that it is leaving.
    pause : float or None
        Seconds for which the endpoint wants no requests from this daemon.
    fragile : bool
        Whether the endpoint crashes if it must turn many requests away.
    load : EndpointLoad or None
        The load of the endpoint; None if it states none that can be used.
    unreadable_load : str or None
        What it states instead of a load.
    cold_remaining : float or None
        Seconds for which the endpoint stays cold; None if it does not say.
    """

    status: int
    attempt_id: str | None
    signed: bool
    not_run: bool
    misdirected: bool
    closes: bool
    keep_alive: float | None
    request_rate_limit: float | None = None
    unreadable_limit: str | None = None
    leaving: bool = False
    pause: float | None = None
    fragile: bool = False
    load: EndpointLoad | None = None
    unreadable_load: str | None = None
    cold_remaining: float | None = None

    @property
    def success(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


def decode_response_metadata(response: h11.Response) -> ResponseMetadata:
    """Decode the head of an endpoint's response."""
    headers = response.headers
    attempt_ids = header_values(headers, ATTEMPT_ID)
    misdirected = response.status_code == MISDIRECTED
    connection = b",".join(header_values(headers, b"connection")).lower()
    limit, unreadable = _decode_limit(header_values(headers, SERVER_LIMIT))
    load, unreadable_load = _decode_load(header_values(headers, INSTANCE_LOAD))
    return ResponseMetadata(
        status=response.status_code,
        attempt_id=attempt_ids[0].decode("latin-1") if attempt_ids else None,
        signed=bool(header_values(headers, SIGNATURE)),
        not_run=misdirected or bool(header_values(headers, NOT_EXECUTED)),
        misdirected=misdirected,
        closes=b"close" in connection,
        keep_alive=_decode_keep_alive(header_values(headers, b"keep-alive")),
        request_rate_limit=limit,
        unreadable_limit=unreadable,
        leaving=b"1" in header_values(headers, SERVER_LEAVING),
        pause=_decode_pause(response),
        fragile=any(map(bytes.isdigit, header_values(headers, SERVER_BRITTLE))),
        load=load,
        unreadable_load=unreadable_load,
        cold_remaining=decode_cold_header(header_values(headers, COLD)),
    )


def decode_lifetime(body: bytes) -> int | None:
    """Return when an engine that reports its state started, in Unix milliseconds.

    None if it does not say so.
    """
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return None
    born = document.get("born") if isinstance(document, dict) else None
    return born if type(born) is int and born > 0 else None


def _decode_pause(response: h11.Response) -> float | None:
    """Return the pause that an endpoint which turns a request away asks for."""
    if response.status_code != UNAVAILABLE:
        return None
    values = header_values(response.headers, RETRY_AFTER)
    seconds = [float(value) for value in values if DECIMAL_PATTERN.fullmatch(value)]
    return max(seconds, default=None)


def _decode_limit(values: list[bytes]) -> tuple[float | None, str | None]:
    """Return the lowest limit, or else the text that names none."""
    if not values:
        return None, None
    names = [name.strip() for value in values for name in value.split(b",")]
    limits = [float(name) for name in names if DECIMAL_PATTERN.fullmatch(name)]
    lowest = min(limits, default=math.inf)
    if math.isinf(lowest):
        return None, b", ".join(values).decode("latin-1")
    return lowest, None


def _decode_load(values: list[bytes]) -> tuple[EndpointLoad | None, str | None]:
    """Return the load, or else the text that states none."""
    if not values:
        return None, None
    names = [name.strip() for value in values for name in value.split(b",")]
    if len(names) in (3, 4) and all(map(FIGURE_PATTERN.fullmatch, names)):
        running, waiting, slots, *percents = map(int, names)
        if max(running, waiting, slots) <= MAX_LOAD_REQUESTS and all(
            0 < percent <= MAX_DURATION_PERCENT for percent in percents
        ):
            factors = [percent / NORMAL_DURATION_PERCENT for percent in percents]
            load = EndpointLoad(
                running=running,
                waiting=waiting,
                slots=slots,
                duration_factor=factors[0] if factors else None,
            )
            return load, None
    return None, b", ".join(values)[:MAX_REPORTED_BYTES].decode("latin-1")


def _decode_keep_alive(values: list[bytes]) -> float | None:
    for value in values:
        for field in value.split(b","):
            name, _, number = field.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                return float(number)
    return None


def end_to_end_headers(response: h11.Response) -> list[tuple[bytes, bytes]]:
    """Return the headers of an endpoint's response without the hop-by-hop ones."""
    return [(key, value) for key, value in response.headers if key not in HOP_BY_HOP]


def encode_failure_response(
    failure: Failure, attempt_id: str | None
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return the status, headers and body of the response that reports a failure.

    Only a request that has not run gets a status that guarantees this.
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
    if failure.retry_after is not None and status in NOT_RUN_STATUSES:
        headers.append((RETRY_AFTER, b"%.2f" % failure.retry_after))
    if status == 401:
        headers.append((b"www-authenticate", b"Token"))
    return status, headers, body


def _status(failure: Failure) -> int:
    status = failure.kind.status
    if failure.outcome is Outcome.NOT_RUN:
        # Statuses 504, 422, 500 and 502 do not guarantee that the request has not run;
        # 503 does. A request whose deadline passed or whose handling failed before it
        # ran keeps the guarantee; one that crashes endpoints must not be answered like
        # an invalid request.
        if failure.kind in KINDS_WITHOUT_GUARANTEE or status == BAD_GATEWAY:
            return UNAVAILABLE
        return status
    if status in NOT_RUN_STATUSES:
        return BAD_GATEWAY
    return status
