"""Answers and failures in their HTTP form."""

import math
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from starlette.responses import Response, StreamingResponse
from starlette.types import Receive, Scope, Send

from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.requests import Exchange
from currantdyke.requests.exchange import failure_body

__all__ = [
    "accepted_response",
    "answer",
    "ended_response",
    "failure_response",
    "json_response",
]

KEEP_ALIVE_SECONDS = 3.0
KEEP_ALIVE_COMMENT = b": keep-alive\n"
MAX_READERS = 16
READERS_RETRY_SECONDS = 1.0


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
    body = {
        "request_id": request_id,
        "outcome": failure.outcome.value,
        "error": failure_body(failure),
    }
    response = json_response(body, failure.kind.status, request_id)
    _say_when_to_retry(response, failure)
    return response


def ended_response(exchange: Exchange, status: int | None = None) -> Response:
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


def accepted_response(exchange: Exchange) -> Response:
    """Return where to ask for the answer of a request that still runs."""
    body = {"request_id": exchange.request_id}
    response = json_response(body, 202, exchange.request_id)
    response.headers["location"] = f"/v1/requests/{exchange.request_id}"
    return response


async def answer(
    exchange: Exchange, *, streamed: bool, first: int, wait_seconds: float
) -> Response:
    """Return a request's events from ``first`` on, or its whole answer."""
    if not streamed:
        if await exchange.wait_end(wait_seconds):
            return ended_response(exchange)
        return accepted_response(exchange)
    if first > len(exchange.events):
        detail = f"event {first} is past the next, {len(exchange.events)}"
        return failure_response(
            Failure(kind=FailureKind.MALFORMED, detail=detail, outcome=Outcome.UNKNOWN)
        )
    if exchange.readers >= MAX_READERS:
        return failure_response(_too_many_readers(exchange))
    return EventStream(exchange=exchange, first=first)


class EventStream(StreamingResponse):
    """A request's events, as one of a bounded number of readers gets them."""

    def __init__(self, *, exchange: Exchange, first: int):
        self.exchange = exchange
        super().__init__(
            _streamed_events(exchange, first),
            media_type="text/event-stream",
            headers={
                "x-request-id": exchange.request_id,
                "cache-control": "no-store",
            },
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the events, counted as a reader all the while."""
        self.exchange.readers += 1
        try:
            await super().__call__(scope, receive, send)
        finally:
            self.exchange.readers -= 1


async def _streamed_events(exchange: Exchange, first: int) -> AsyncIterator[bytes]:
    """Yield the events as server-sent events; those at hand travel together."""
    position = first
    while True:
        fresh = exchange.events.since(position)
        position = len(exchange.events)
        if fresh:
            yield fresh
        elif exchange.outcome is not None:
            return
        # One line: a blank one after it would be an event to some readers.
        elif not await exchange.wait_grown(position, KEEP_ALIVE_SECONDS):
            yield KEEP_ALIVE_COMMENT


def _too_many_readers(exchange: Exchange) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail=f"{exchange.readers} callers read this request already",
        outcome=Outcome.UNKNOWN,
        retry_after=READERS_RETRY_SECONDS,
    )


def _say_when_to_retry(response: Response, failure: Failure | None) -> None:
    if failure is not None and failure.retry_after is not None:
        response.headers["retry-after"] = str(math.ceil(failure.retry_after))
