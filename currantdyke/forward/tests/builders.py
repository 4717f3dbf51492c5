"""Requests in progress for tests."""

import h11

from currantdyke.catalog import Repeatability, Route
from currantdyke.forward.exchange import Exchange
from currantdyke.platform.requests import decode_request_metadata

__all__ = ["build_exchange"]


def build_exchange(**changes):
    """Return a request that has not been sent to any endpoint."""
    request = h11.Request(
        method="GET",
        target="/plain/",
        headers=[("host", "one.example"), ("x-attempt-id", "a1")],
    )
    route = Route(
        name="r",
        host="one.example",
        prefix="/plain/",
        repeatability=Repeatability.IDEMPOTENT,
        targets=(("plain", 1.0),),
    )
    values = {
        "request": request,
        "body": b"",
        "facts": decode_request_metadata(request),
        "route": route,
        "service": "plain",
        "workspace": None,
        "rank": 0,
        "crash_keys": frozenset({"request:f"}),
        "configuration": 1,
        "caller": None,
        "arrived_at": 0.0,
        "target_at": 0.3,
        "deadline_at": 2.0,
        "caller_timeout_at": 2.0,
    }
    return Exchange(**(values | changes))
