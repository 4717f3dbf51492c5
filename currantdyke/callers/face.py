"""What the callers' face needs from its daemon."""

from collections.abc import Callable

import attrs

from currantdyke.bundle import Bundle, BundleInForce, Pipeline
from currantdyke.core import DaemonIdentity, Failure
from currantdyke.requests import Exchange, RequestTable

__all__ = ["CallersFace"]


@attrs.define(kw_only=True, eq=False)
class CallersFace:
    """What the face needs from its daemon.

    Attributes
    ----------
    submit : callable
        Admits a request and starts it; returns a failure or None.
    identity : DaemonIdentity
        This daemon; a request id tells which daemon runs the request.
    is_draining : callable
        Whether new requests are refused because the daemon shuts down.
    """

    in_force: BundleInForce
    requests: RequestTable
    identity: DaemonIdentity
    max_body_bytes: int
    new_request_id: Callable[[], str]
    submit: Callable[[Bundle, Pipeline, Exchange], Failure | None]
    is_draining: Callable[[], bool]
