"""Outcomes of requests and kinds of failure."""

import enum

import attrs

__all__ = ["Failure", "FailureKind", "Outcome"]

UNKNOWN_REMEDY = (
    "it may have run: send it again only if it may run twice, "
    "or with the same idempotency key"
)


class Outcome(enum.Enum):
    """Outcome of a request, as reported to its caller.

    ``NOT_RUN`` guarantees that no endpoint ran any part of the request. If a part may
    have run without a known end, the outcome is ``UNKNOWN``.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class FailureKind(enum.Enum):
    """Kinds of failure, each with a stable code, an HTTP status and a remedy."""

    MALFORMED = ("malformed", 400, "correct the request and send it again")
    TOO_LARGE = ("too_large", 413, "send a smaller body or fewer headers")
    HEADERS_TOO_LARGE = ("headers_too_large", 431, "send fewer or shorter headers")
    SLOW_REQUEST = ("slow_request", 408, "send the whole request without a pause")
    NO_ROUTE = ("no_route", 404, "use a host and a path that a route serves")
    NO_SUCH_PATH = ("no_such_path", 404, "use a path and a method of the interface")
    UNAUTHORIZED = ("unauthorized", 401, "send a valid workspace key")
    UNKNOWN_PIPELINE = (
        "unknown_pipeline",
        404,
        "use a pipeline or service that the bundle in force defines",
    )
    UNKNOWN_REQUEST = (
        "unknown_request",
        404,
        "check the request id; answers are kept only for a while",
    )
    OVERLOADED = ("overloaded", 429, "try again after the stated time")
    DEADLINE_TOO_SHORT = (
        "deadline_too_short",
        429,
        "allow a longer deadline or try again after the stated time",
    )
    DEADLINE_PASSED = ("deadline_passed", 504, "allow a longer deadline")
    STAGE_FAILED = (
        "stage_failed",
        502,
        "try again; if it persists, look at the stage's endpoints",
    )
    NO_ENDPOINT = (
        "no_endpoint",
        503,
        "try again after the stated time; add endpoints to the service",
    )
    REQUEST_LOST = (
        "request_lost",
        410,
        "send the request again, with the same idempotency key if it had one",
    )
    CANCELLED = ("cancelled", 499, "send the request again if it is still wanted")
    SHUTTING_DOWN = ("shutting_down", 503, "send the request to another daemon")
    NOT_READY = (
        "not_ready",
        503,
        "wait until the daemon holds a bundle, or send to another daemon",
    )
    STALE_CONFIGURATION = (
        "stale_configuration",
        503,
        "try again after the stated time, or send to another daemon",
    )
    INCOMPLETE_CONFIGURATION = (
        "incomplete_configuration",
        503,
        "try again after the stated time; correct what the configuration leaves open",
    )
    QUARANTINED = (
        "quarantined",
        422,
        "change the request: earlier copies of it crashed endpoints",
    )
    KEY_IN_USE = (
        "key_in_use",
        409,
        "the idempotency key was used before: ask for that request's result",
    )
    KEY_MISMATCH = (
        "key_mismatch",
        422,
        "use a new idempotency key for a request that differs",
    )
    INTERNAL = ("internal", 500, "report it with the request id")

    def __init__(self, code: str, status: int, remedy: str):
        self.code = code
        self.status = status
        self.remedy = remedy


@attrs.frozen(kw_only=True)
class Failure:
    """A failure as reported to a caller.

    Parameters
    ----------
    kind : FailureKind
        The kind of failure, which gives the code, the status and the remedy.
    detail : str
        What was observed, including the offending value.
    outcome : Outcome
        The outcome of the request. In a failure of a stage or of the run,
        ``run_request`` replaces it by the outcome that follows from the attempts.
    retry_after : float or None
        Time in seconds after which a retry may succeed.

    Examples
    --------
    >>> failure = Failure(kind=FailureKind.OVERLOADED, detail="200 in flight")
    >>> failure.message
    '200 in flight; try again after the stated time'
    """

    kind: FailureKind
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None

    @property
    def message(self) -> str:
        """The detail and the remedy on one line, with resend advice if ``UNKNOWN``."""
        if self.outcome is Outcome.UNKNOWN:
            return f"{self.detail}; {self.kind.remedy}; {UNKNOWN_REMEDY}"
        return f"{self.detail}; {self.kind.remedy}"
