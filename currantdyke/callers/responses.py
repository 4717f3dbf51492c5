"""HTTP responses for answers and failures."""

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
    "ended_response",
    "exchange_response",
    "failure_response",
    "json_response",
]

KEEP_ALIVE_INTERVAL_SECONDS = 3.0
KEEP_ALIVE_COMMENT = b": keep-alive\n"
MAX_READERS_PER_REQUEST = 16
READERS_RETRY_SECONDS = 1.0


def json_response(body: Any, status: int, request_id: str = "") -> Response:
    """Return a JSON response that carries the request id in a header."""
    headers = {"x-request-id": request_id} if request_id else {}
    return Response(
        msgspec.json.encode(body),
        status,
        media_type="application/json",
        headers=headers,
    )


def failure_response(failure: Failure, request_id: str = "") -> Response:
    """Return the response for a failure, with ``Retry-After`` where known."""
    body = {
        "request_id": request_id,
        "outcome": failure.outcome.value,
        "error": failure_body(failure),
    }
    response = json_response(body, failure.kind.status, request_id)
    _set_retry_after(response, failure)
    return response


def ended_response(exchange: Exchange, status: int | None = None) -> Response:
    """Return the response with the answer or failure of a request that has ended."""
    failure = exchange.failure
    response = Response(
        exchange.final_body(),
        status or (failure.kind.status if failure else 200),
        media_type="application/json",
        headers={"x-request-id": exchange.request_id},
    )
    _set_retry_after(response, failure)
    return response


def accepted_response(exchange: Exchange) -> Response:
    """Return a 202 response with the location of a running request's answer."""
    body = {"request_id": exchange.request_id}
    response = json_response(body, 202, exchange.request_id)
    response.headers["location"] = f"/v1/requests/{exchange.request_id}"
    return response


async def exchange_response(
    exchange: Exchange, *, streamed: bool, first: int, wait_seconds: float
) -> Response:
    """Return a request's event stream or whole answer, a 202 response, or a failure.

    Parameters
    ----------
    exchange : Exchange
        The request.
    streamed : bool
        Whether to stream events.
    first : int
        Number of the first event to stream.
    wait_seconds : float
        How long to wait for the whole answer before responding with status 202.
    """
    if not streamed:
        if await exchange.wait_until_ended(wait_seconds):
            return ended_response(exchange)
        return accepted_response(exchange)
    if first > len(exchange.events):
        detail = f"event {first} is past the next, {len(exchange.events)}"
        return failure_response(
            Failure(kind=FailureKind.MALFORMED, detail=detail, outcome=Outcome.UNKNOWN)
        )
    if exchange.readers >= MAX_READERS_PER_REQUEST:
        return failure_response(_too_many_readers(exchange))
    return EventStream(exchange=exchange, first=first)


class EventStream(StreamingResponse):
    """Response that streams a request's events to one of its readers.

    `exchange_response` limits the number of concurrent readers of a request.
    """

    def __init__(self, *, exchange: Exchange, first: int):
        self.exchange = exchange
        super().__init__(
            _event_stream_chunks(exchange, first),
            media_type="text/event-stream",
            headers={
                "x-request-id": exchange.request_id,
                "cache-control": "no-store",
            },
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the events, and count as a reader of the request meanwhile."""
        self.exchange.readers += 1
        try:
            await super().__call__(scope, receive, send)
        finally:
            self.exchange.readers -= 1


async def _event_stream_chunks(exchange: Exchange, first: int) -> AsyncIterator[bytes]:
    """Yield server-sent events; all that are available are sent in one chunk."""
    position = first
    while True:
        new_events = exchange.events.since(position)
        position = len(exchange.events)
        if new_events:
            yield new_events
        elif exchange.outcome is not None:
            return
        # The keep-alive comment is not followed by a blank line, because some clients
        # would dispatch the comment as an event.
        elif not await exchange.wait_for_event(position, KEEP_ALIVE_INTERVAL_SECONDS):
            yield KEEP_ALIVE_COMMENT


def _too_many_readers(exchange: Exchange) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail=f"{exchange.readers} callers read this request already",
        outcome=Outcome.UNKNOWN,
        retry_after=READERS_RETRY_SECONDS,
    )


def _set_retry_after(response: Response, failure: Failure | None) -> None:
    if failure is not None and failure.retry_after is not None:
        response.headers["retry-after"] = str(math.ceil(failure.retry_after))
