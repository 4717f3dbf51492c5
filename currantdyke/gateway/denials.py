"""Refuse a request because of the configuration, if this daemon may decide it."""

from currantdyke.core import Failure, FailureKind
from currantdyke.directory import Directory

__all__ = ["DENIALS", "deny", "refuse_for_now"]

# Kinds of failure that depend on the configuration, and after which callers do not send
# the request again.
DENIALS = frozenset(
    (
        FailureKind.NO_ROUTE,
        FailureKind.UNAUTHORIZED,
        FailureKind.TOO_LARGE,
        FailureKind.HEADERS_TOO_LARGE,
    )
)
# About the interval at which the store or a peer is read.
TEMPORARY_RETRY_SECONDS = 0.5


def deny(directory: Directory, kind: FailureKind, detail: str) -> Failure:
    """Return the failure of a request that the configuration in force does not allow.

    Parameters
    ----------
    kind : FailureKind
        One of `DENIALS`.

    Returns
    -------
    Failure
        Of this kind if the directory is current enough to decide; otherwise a
        temporary one, since a newer configuration may allow the request.
    """
    if directory.routes is None:
        return refuse_for_now(FailureKind.NOT_READY, "no configuration is known yet")
    if directory.decides:
        return Failure(kind=kind, detail=detail)
    return refuse_for_now(
        FailureKind.STALE_CONFIGURATION, f"{detail}, as of {directory.age:.1f} s ago"
    )


def refuse_for_now(kind: FailureKind, detail: str) -> Failure:
    """Return a failure after which the request may be sent again soon."""
    return Failure(kind=kind, detail=detail, retry_after=TEMPORARY_RETRY_SECONDS)
