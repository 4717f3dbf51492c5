"""Forward a request whose response is not streamed."""

import math

import anyio
import anyio.lowlevel
import attrs
import h11

from currantdyke.catalog import Endpoint
from currantdyke.core import FailureKind
from currantdyke.forward.attempt import (
    Answer,
    MaybeRanError,
    NotSentError,
    attempt,
)
from currantdyke.forward.choose import choose_endpoint
from currantdyke.forward.context import ForwardContext, outgoing
from currantdyke.forward.exchange import Exchange, RequestFailedError
from currantdyke.platform.answers import AnswerFacts, passed_on_headers

__all__ = ["forward_plain"]

# Limit per request of attempts that no endpoint ran: failed connections and refusals.
MAX_REFUSED_SENDS = 3
# A repeatable request is retried elsewhere after this multiple of its target latency.
SILENT_TARGETS = 2.0
# Bodies up to this size are buffered before the response is relayed, so that a request
# with an incomplete response can be retried; longer ones are relayed as they arrive.
MAX_HELD_BYTES = 1_048_576
# A full endpoint has room again after about the time of one request.
BUSY_SECONDS = 0.1
RETRY_AFTER_SECONDS = 0.1


@attrs.frozen(kw_only=True)
class HeldAnswer:
    """Complete response of an endpoint that has not been relayed yet."""

    response: h11.Response
    facts: AnswerFacts
    body: bytes


async def forward_plain(exchange: Exchange, context: ForwardContext) -> None:
    """Send a request to endpoints until one responds, and relay its response.

    Raises
    ------
    RequestFailedError
        If no endpoint's response can be relayed.
    """
    context.budget(exchange.service).earn()
    held: HeldAnswer | None = None
    while True:
        endpoint = _choose(exchange, context)
        if endpoint is None:
            await _give_up(exchange, held, "no endpoint is left to try")
            return
        answer = await _try_endpoint(exchange, context, endpoint)
        if answer is not None:
            held = answer
            if _is_final(answer):
                await _pass_on(exchange, answer)
                return
        if exchange.caller.begun:
            return
        if not _may_go_on(exchange, context):
            await _give_up(exchange, held, "no further attempt is allowed")
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


def _is_final(answer: HeldAnswer) -> bool:
    if answer.facts.not_run:
        # With these statuses every endpoint would refuse the request.
        return answer.facts.status in (400, 404, 409, 413, 431)
    return answer.facts.status < 500


def _may_go_on(exchange: Exchange, context: ForwardContext) -> bool:
    if exchange.runs >= exchange.route.max_attempts:
        return False
    if exchange.runs and not exchange.route.may_repeat:
        return False
    if exchange.refused_sends >= MAX_REFUSED_SENDS:
        return False
    # Failed connections sent nothing to an endpoint and need no budget.
    return exchange.sends == 0 or context.may_repeat(exchange.service)


async def _try_endpoint(
    exchange: Exchange, context: ForwardContext, endpoint: Endpoint
) -> HeldAnswer | None:
    """Send to one endpoint; return its response, or None if there is none to relay."""
    exchange.excluded.add(endpoint.instance)
    health = context.health.of(endpoint.instance)
    started = anyio.current_time()
    outcome = "cancelled"
    health.in_flight += 1
    try:
        with anyio.move_on_after(_patience(exchange)) as patience:
            answer = await _send(exchange, context, endpoint, patience)
        now = anyio.current_time()
        if patience.cancelled_caught:
            outcome = "silent"
            health.failed(now)
            return None
        if answer is None:
            outcome = "passed on"
            return None
        outcome = str(answer.facts.status)
        if answer.facts.not_run:
            exchange.not_run()
            if answer.facts.misdirected:
                health.unreachable(now)
            else:
                health.busy(now, BUSY_SECONDS)
        elif answer.facts.status >= 500:
            health.failed(now)
        else:
            health.answered(now - started, now)
            context.crashes.table.clear(exchange.fingerprint)
        return answer
    except NotSentError as error:
        outcome = f"not sent: {error}"
        exchange.refused_sends += 1
        health.unreachable(anyio.current_time())
        return None
    except MaybeRanError as error:
        outcome = str(error)
        health.unreachable(anyio.current_time())
        context.crashes.lost(exchange.fingerprint, endpoint)
        return None
    finally:
        health.in_flight -= 1
        exchange.record(endpoint.instance, outcome, anyio.current_time() - started)


def _patience(exchange: Exchange) -> float:
    """Return the time-out of one attempt in seconds."""
    more_runs = exchange.runs + 1 < exchange.route.max_attempts
    if exchange.route.may_repeat and more_runs:
        return SILENT_TARGETS * exchange.route.target_latency
    return float("inf")


async def _send(
    exchange: Exchange,
    context: ForwardContext,
    endpoint: Endpoint,
    patience: anyio.CancelScope,
) -> HeldAnswer | None:
    request = outgoing(exchange, endpoint)
    async with attempt(
        context.connections, endpoint, request, sending=exchange.sending
    ) as answer:
        parts: list[bytes] = []
        size = 0
        while (data := await answer.read()) is not None:
            parts.append(data)
            size += len(data)
            if size > MAX_HELD_BYTES:
                # From here on the body is relayed without a time-out of the attempt.
                patience.deadline = math.inf
                await anyio.lowlevel.checkpoint_if_cancelled()
                await _pass_on_long(exchange, answer, b"".join(parts))
                return None
        return HeldAnswer(
            response=answer.response, facts=answer.facts, body=b"".join(parts)
        )


async def _pass_on(exchange: Exchange, answer: HeldAnswer) -> None:
    headers = passed_on_headers(answer.response)
    await exchange.caller.answer(answer.facts.status, headers, answer.body)


async def _pass_on_long(exchange: Exchange, answer: Answer, first: bytes) -> None:
    headers = passed_on_headers(answer.response)
    await exchange.caller.begin(answer.facts.status, headers)
    await exchange.caller.write(first)
    while (data := await answer.read()) is not None:
        await exchange.caller.write(data)
    await exchange.caller.finish()


async def _give_up(exchange: Exchange, held: HeldAnswer | None, why: str) -> None:
    """Relay the last response of an endpoint, or raise the request's failure."""
    if held is not None and not held.facts.not_run:
        await _pass_on(exchange, held)
        return
    if exchange.runs:
        raise exchange.failure(FailureKind.STAGE_FAILED, why)
    raise _refusal(exchange, why)


def _refusal(exchange: Exchange, why: str) -> RequestFailedError:
    return exchange.failure(
        FailureKind.NO_ENDPOINT, why, retry_after=RETRY_AFTER_SECONDS
    )
