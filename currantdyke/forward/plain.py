"""Forward a request whose response is not streamed."""

import math

import anyio
import anyio.lowlevel
import attrs
import h11

from currantdyke.catalog import Endpoint
from currantdyke.core import FailureKind
from currantdyke.forward.attempt import (
    EndpointResponse,
    MaybeRanError,
    NotSentError,
    attempt,
)
from currantdyke.forward.choose import choose_endpoint
from currantdyke.forward.context import ForwardContext, build_outgoing_request
from currantdyke.forward.exchange import Exchange, RequestFailedError
from currantdyke.platform.answers import ResponseMetadata, end_to_end_headers

__all__ = ["forward_plain"]

# Limit per request of attempts that no endpoint ran: failed connections and refusals.
MAX_NOT_RUN_ATTEMPTS = 3
# A repeatable request is retried elsewhere after this multiple of its target latency
# without progress, that is without a further part of the response.
ATTEMPT_TIMEOUT_TARGETS = 2.0
# Bodies up to this size are buffered before the response is relayed, so that a request
# with an incomplete response can be retried; longer ones are relayed as they arrive.
MAX_BUFFERED_BYTES = 1_048_576
# A full endpoint has room again after about the time of one request.
FULL_AVOID_SECONDS = 0.1
RETRY_AFTER_SECONDS = 0.1


@attrs.frozen(kw_only=True)
class BufferedResponse:
    """Complete response of an endpoint that has not been relayed yet."""

    head: h11.Response
    facts: ResponseMetadata
    body: bytes


async def forward_plain(exchange: Exchange, context: ForwardContext) -> None:
    """Send a request to endpoints until one responds, and relay its response.

    Raises
    ------
    RequestFailedError
        If no endpoint's response can be relayed.
    """
    context.budget(exchange.service).earn()
    last_response: BufferedResponse | None = None
    while True:
        endpoint = _choose(exchange, context)
        if endpoint is None:
            await _relay_last_or_fail(
                exchange, last_response, "no endpoint is left to try"
            )
            return
        response = await _try_endpoint(exchange, context, endpoint)
        if response is not None:
            last_response = response
            if _is_final(response):
                await _relay(exchange, response)
                return
        # A long response was relayed as it arrived, completely or in part.
        if exchange.caller.response_started:
            return
        if not _may_retry(exchange, context):
            await _relay_last_or_fail(
                exchange, last_response, "no further attempt is allowed"
            )
            return


def _choose(exchange: Exchange, context: ForwardContext) -> Endpoint | None:
    return choose_endpoint(
        context.directory.endpoints.of_service(exchange.service).values(),
        health=context.health,
        availability_zone=context.availability_zone,
        excluded=exchange.excluded,
        now=anyio.current_time(),
        random_source=context.random_source,
    )


def _is_final(response: BufferedResponse) -> bool:
    if response.facts.not_run:
        # With these statuses every endpoint would refuse the request.
        return response.facts.status in (400, 404, 409, 413, 431)
    return response.facts.status < 500


def _may_retry(exchange: Exchange, context: ForwardContext) -> bool:
    if exchange.runs >= exchange.route.max_attempts:
        return False
    if exchange.runs and not exchange.route.may_repeat:
        return False
    if exchange.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS:
        return False
    # Until something was sent to an endpoint, another attempt needs no budget.
    return exchange.sends == 0 or context.take_retry(exchange.service)


async def _try_endpoint(
    exchange: Exchange, context: ForwardContext, endpoint: Endpoint
) -> BufferedResponse | None:
    """Send to one endpoint and return its response.

    None means that there is no complete response, or that it was relayed as it arrived.
    """
    exchange.excluded.add(endpoint.instance)
    health = context.health.of(endpoint.instance)
    started = anyio.current_time()
    outcome = "cancelled"
    health.in_flight += 1
    try:
        with anyio.move_on_after(_attempt_timeout(exchange)) as timeout_scope:
            response = await _send(exchange, context, endpoint, timeout_scope)
        now = anyio.current_time()
        if timeout_scope.cancelled_caught:
            outcome = "silent"
            health.record_failure(now)
            return None
        if response is None:
            outcome = "passed on"
            return None
        outcome = str(response.facts.status)
        if response.facts.not_run:
            exchange.record_not_run()
            if response.facts.misdirected:
                health.record_unreachable(now)
            else:
                health.record_full(now, FULL_AVOID_SECONDS)
        elif response.facts.status >= 500:
            health.record_failure(now)
        else:
            health.record_success(now - started, now)
            context.crashes.table.clear(exchange.fingerprint)
        return response
    except NotSentError as error:
        outcome = f"not sent: {error}"
        exchange.not_run_attempts += 1
        health.record_unreachable(anyio.current_time())
        return None
    except MaybeRanError as error:
        outcome = str(error)
        health.record_unreachable(anyio.current_time())
        context.crashes.start_probe(exchange.fingerprint, endpoint)
        return None
    finally:
        health.in_flight -= 1
        exchange.record_attempt(
            endpoint.instance, outcome, anyio.current_time() - started
        )


def _attempt_timeout(exchange: Exchange) -> float:
    """Return an attempt's time-out in seconds; infinite if no other run may follow."""
    more_runs = exchange.runs + 1 < exchange.route.max_attempts
    if exchange.route.may_repeat and more_runs:
        return ATTEMPT_TIMEOUT_TARGETS * exchange.route.target_latency
    return float("inf")


async def _send(
    exchange: Exchange,
    context: ForwardContext,
    endpoint: Endpoint,
    timeout_scope: anyio.CancelScope,
) -> BufferedResponse | None:
    request = build_outgoing_request(exchange, endpoint)
    async with attempt(
        context.connections, endpoint, request, on_send=exchange.record_send
    ) as response:
        parts: list[bytes] = []
        size = 0
        while (data := await response.read()) is not None:
            parts.append(data)
            size += len(data)
            timeout_scope.deadline = anyio.current_time() + _attempt_timeout(exchange)
            if size > MAX_BUFFERED_BYTES:
                # From here on the body is relayed without a time-out of the attempt. If
                # it has expired already, the checkpoint raises the cancellation before
                # a write.
                timeout_scope.deadline = math.inf
                await anyio.lowlevel.checkpoint_if_cancelled()
                await _relay_long(exchange, response, b"".join(parts))
                return None
        return BufferedResponse(
            head=response.head, facts=response.facts, body=b"".join(parts)
        )


async def _relay(exchange: Exchange, response: BufferedResponse) -> None:
    headers = end_to_end_headers(response.head)
    await exchange.caller.answer(response.facts.status, headers, response.body)


async def _relay_long(
    exchange: Exchange, response: EndpointResponse, first: bytes
) -> None:
    headers = end_to_end_headers(response.head)
    await exchange.caller.begin(response.facts.status, headers)
    await exchange.caller.write(first)
    while (data := await response.read()) is not None:
        await exchange.caller.write(data)
    await exchange.caller.finish()


async def _relay_last_or_fail(
    exchange: Exchange, last_response: BufferedResponse | None, detail: str
) -> None:
    """Relay the last response of an endpoint, or raise the request's failure."""
    if last_response is not None and not last_response.facts.not_run:
        await _relay(exchange, last_response)
        return
    if exchange.runs:
        raise exchange.failure(FailureKind.STAGE_FAILED, detail)
    raise _refusal(exchange, detail)


def _refusal(exchange: Exchange, detail: str) -> RequestFailedError:
    return exchange.failure(
        FailureKind.NO_ENDPOINT, detail, retry_after=RETRY_AFTER_SECONDS
    )
