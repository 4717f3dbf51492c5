"""Answers and failures in their HTTP form."""

import math
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from starlette.responses import Response

from currantdyke.core import Failure
from currantdyke.requests import Exchange
from currantdyke.requests.exchange import failure_body

__all__ = [
    "exchange_response",
    "failure_response",
    "json_response",
    "streamed_events",
]


def json_response(body: Any, status: int, request_id: str = "") -> Response:
    """Return a JSON response that names its request."""
    headers = {"x-request-id": request_id} if request_id else {}
    return Response(
        msgspec.json.encode(body),
        status,
        media_type="application/json",
        headers=headers,
    )


def failure_response(failure: Failure, request_id: str = "") -> Response:
    """Return a failure with its status, and when to come back."""
    body = {"request_id": request_id, "error": failure_body(failure)}
    response = json_response(body, failure.kind.status, request_id)
    _say_when_to_retry(response, failure)
    return response


def exchange_response(exchange: Exchange, status: int | None = None) -> Response:
    """Return the answer or the failure of a request that has ended."""
    failure = exchange.failure
    response = Response(
        exchange.final_body(),
        status or (failure.kind.status if failure else 200),
        media_type="application/json",
        headers={"x-request-id": exchange.request_id},
    )
    _say_when_to_retry(response, failure)
    return response


def _say_when_to_retry(response: Response, failure: Failure | None) -> None:
    if failure is not None and failure.retry_after is not None:
        response.headers["retry-after"] = str(math.ceil(failure.retry_after))


async def streamed_events(exchange: Exchange, first: int) -> AsyncIterator[bytes]:
    """Yield a request's events from ``first`` on as server-sent events."""
    async for event in exchange.read(first):
        yield event.server_sent()
