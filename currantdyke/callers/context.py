"""State and functions of the daemon that the callers' API uses."""

from collections.abc import Callable

import attrs

from currantdyke.bundle import ActiveBundle, Bundle, Pipeline
from currantdyke.core import DaemonIdentity, Failure
from currantdyke.requests import Exchange, RequestTable

__all__ = ["CallersContext"]


@attrs.define(kw_only=True, eq=False)
class CallersContext:
    """State and functions of the daemon that the callers' API uses.

    Attributes
    ----------
    submit : callable
        Admits and starts a request; returns a failure if it is refused, else None.
    identity : DaemonIdentity
        Identity of this daemon; a request id names the daemon that runs the request.
    is_draining : callable
        Whether new requests are refused because the daemon shuts down.
    """

    active_bundle: ActiveBundle
    requests: RequestTable
    identity: DaemonIdentity
    max_body_bytes: int
    new_request_id: Callable[[], str]
    submit: Callable[[Bundle, Pipeline, Exchange], Failure | None]
    is_draining: Callable[[], bool]
