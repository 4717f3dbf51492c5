"""Refuse a request because of the configuration, if this daemon may decide it."""

from currantdyke.catalog import CatalogPart
from currantdyke.core import Failure, FailureKind
from currantdyke.directory import Directory

__all__ = ["DENIALS", "deny", "refuse_for_now"]

# Kinds of failure that depend on the configuration, and after which callers do not send
# the request again, with the parts of the configuration by which they are decided.
DENIALS = {
    FailureKind.NO_ROUTE: (CatalogPart.ROUTES,),
    FailureKind.UNAUTHORIZED: (CatalogPart.KEYS, CatalogPart.PUBLIC_ROUTES),
    FailureKind.TOO_LARGE: (CatalogPart.BODY_LIMIT,),
    FailureKind.HEADERS_TOO_LARGE: (CatalogPart.HEADER_LIMIT,),
}
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
        Of this kind if the directory is current enough to decide, and all of the parts
        that decide were read; otherwise a temporary one, since a newer configuration,
        or what could not be read, may allow the request.
    """
    if directory.routes is None:
        return refuse_for_now(FailureKind.NOT_READY, "no configuration is known yet")
    if not directory.decides:
        return refuse_for_now(
            FailureKind.STALE_CONFIGURATION,
            f"{detail}, as of {directory.age:.1f} s ago",
        )
    for part in DENIALS[kind]:
        if part in directory.routes.catalog.incomplete:
            return refuse_for_now(
                FailureKind.INCOMPLETE_CONFIGURATION,
                f"{detail}, and not all of its part is known: {part.value}",
            )
    return Failure(kind=kind, detail=detail)


def refuse_for_now(kind: FailureKind, detail: str) -> Failure:
    """Return a failure after which the request may be sent again soon."""
    return Failure(kind=kind, detail=detail, retry_after=TEMPORARY_RETRY_SECONDS)
