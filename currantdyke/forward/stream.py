"""Forward a request whose response is a stream of events."""

import math

import anyio
import anyio.lowlevel

from currantdyke.catalog import Endpoint
from currantdyke.core import FailureKind
from currantdyke.forward.attempt import (
    EndpointResponse,
    MaybeRanError,
    NotSentError,
    attempt,
)
from currantdyke.forward.context import ForwardContext, build_outgoing_request
from currantdyke.forward.events import EventSplitter, EventTooLongError
from currantdyke.forward.exchange import Exchange
from currantdyke.platform.answers import end_to_end_headers
from currantdyke.scheduler.client import SchedulerClient
from currantdyke.scheduler.messages import (
    Placement,
    PlacementRequest,
    ProgressKind,
    Refusal,
)

__all__ = ["StreamBrokenError", "forward_stream"]

# Limit per request of attempts that no engine ran: refusals, failed connections,
# missing stage results, and engines that may no longer be used.
MAX_NOT_RUN_ATTEMPTS = 3
# Time without data after which a resumable stream moves to another engine. Callers
# wait for at least two seconds.
SILENCE_TIMEOUT_SECONDS = 1.4
# Time-out of the first event as a multiple of the target latency; it includes the wait
# for a place in the batch.
START_TIMEOUT_TARGETS = 1.5
LOWEST_URGENCY = 9
# A full engine has room again after about the time of one stage call.
RETRY_AFTER_SECONDS = 0.25


class StreamBrokenError(Exception):
    """A started stream can't be completed; the caller's connection must be closed."""


async def forward_stream(
    exchange: Exchange, context: ForwardContext, scheduler: SchedulerClient
) -> None:
    """Run the stages, send the request to an engine, and relay its events.

    Raises
    ------
    RequestFailedError
        If the response has not started and the request failed.
    StreamBrokenError
        If the response has started and can't be completed.
    """
    context.budget(exchange.service).earn()
    stream = ForwardedStream(exchange, context, scheduler)
    await stream.run()


class ForwardedStream:
    """A stream to a caller that one or more engines produce in turn."""

    def __init__(
        self, exchange: Exchange, context: ForwardContext, scheduler: SchedulerClient
    ):
        self.exchange = exchange
        self.context = context
        self.scheduler = scheduler
        self.last_event_id: bytes | None = None
        self.ended = False

    async def run(self) -> None:
        """Forward the stream until it ends."""
        while True:
            placement = await self._place()
            await self._run_attempt(placement)
            if self.ended:
                return
            self._check_may_retry()

    async def _place(self) -> Placement:
        exchange = self.exchange
        now = anyio.current_time()
        answer = await self.scheduler.place(
            PlacementRequest(
                attempt_id=exchange.facts.attempt_id,
                service=exchange.service,
                steps=exchange.route.stages,
                pieces=self._pieces(),
                stage_key=exchange.facts.stage_key,
                target=max(0.0, exchange.target_at - now),
                deadline=max(0.0, self._placement_deadline() - now),
                rank=exchange.rank,
                sheddable=exchange.sheddable,
                prompt_tokens=exchange.facts.prompt_tokens,
                output_tokens=exchange.facts.max_output_tokens,
                parts=exchange.facts.prompt_parts,
                availability_zone=self.context.availability_zone,
                excluded=tuple(exchange.excluded),
                is_retry=exchange.sends > 0,
            )
        )
        if isinstance(answer, Refusal):
            if exchange.caller.response_started:
                raise StreamBrokenError(answer.detail)
            detail = f"{answer.code}: {answer.detail}"
            raise exchange.failure(
                FailureKind.NO_ENDPOINT, detail, retry_after=answer.retry_after
            )
        return answer

    def _placement_deadline(self) -> float:
        exchange = self.exchange
        if exchange.caller.response_started:
            return exchange.deadline_at
        return min(exchange.deadline_at, exchange.caller_timeout_at)

    def _pieces(self) -> tuple[int, ...]:
        """Return the number of pieces of each stage, 0 where the caller gives none."""
        named = self.exchange.facts.stage_pieces
        count = len(self.exchange.route.stages)
        return (named + (0,) * count)[:count]

    async def _run_attempt(self, placement: Placement) -> None:
        exchange = self.exchange
        started = anyio.current_time()
        outcome = "cancelled"
        progress = ProgressKind.CANCELLED
        endpoint = self.context.directory.endpoints.usable(placement.instance)
        try:
            if endpoint is None:
                outcome, progress = "leaving", ProgressKind.ENGINE_FULL
                exchange.not_run_attempts += 1
                return
            outcome, progress = await self._send(endpoint, placement)
        except NotSentError as error:
            outcome, progress = f"not sent: {error}", ProgressKind.ENGINE_LOST
            exchange.not_run_attempts += 1
        except (MaybeRanError, EventTooLongError) as error:
            outcome, progress = str(error), ProgressKind.ENGINE_LOST
            if endpoint is not None:
                self.context.crashes.start_probe(exchange.fingerprint, endpoint)
        finally:
            if not self.ended:
                exchange.excluded.add(placement.instance)
            self.scheduler.report_progress(exchange.facts.attempt_id, progress)
            seconds = anyio.current_time() - started
            exchange.record_attempt(placement.instance, outcome, seconds)

    async def _send(
        self, endpoint: Endpoint, placement: Placement
    ) -> tuple[str, ProgressKind]:
        """Send to an engine; return the outcome for the log and the scheduler."""
        exchange = self.exchange
        request = build_outgoing_request(
            exchange,
            endpoint,
            stage_inputs=placement.handles if exchange.route.stages else None,
            rank=min(LOWEST_URGENCY, exchange.rank),
            last_event_id=self.last_event_id,
        )
        with anyio.CancelScope() as timeout_scope:
            self._set_start_timeout(timeout_scope)
            async with attempt(
                self.context.connections,
                endpoint,
                request,
                on_send=exchange.record_send,
            ) as response:
                if response.facts.success:
                    await self._relay_events(response, timeout_scope)
                    return "finished", ProgressKind.FINISHED
                return await self._relay_failure(response)
        raise MaybeRanError("the engine is silent")

    def _set_start_timeout(self, timeout_scope: anyio.CancelScope) -> None:
        if self._may_run_again():
            seconds = START_TIMEOUT_TARGETS * self.exchange.route.target_latency
            timeout_scope.deadline = anyio.current_time() + seconds

    def _set_event_timeout(self, timeout_scope: anyio.CancelScope) -> None:
        if self._may_run_again():
            timeout_scope.deadline = anyio.current_time() + SILENCE_TIMEOUT_SECONDS

    def _may_run_again(self) -> bool:
        exchange = self.exchange
        # `runs` counts an attempt only once its sending starts. Before that, an attempt
        # is counted here only if `runs` is 0.
        runs = max(exchange.runs, 1)
        return exchange.route.may_repeat and runs < exchange.route.max_attempts

    async def _relay_events(
        self, response: EndpointResponse, timeout_scope: anyio.CancelScope
    ) -> None:
        """Relay complete events; return at the end of the stream."""
        caller = self.exchange.caller
        splitter = EventSplitter()
        started = False
        while (data := await response.read()) is not None:
            # The time-out is suspended during writes, so that a slow caller is not
            # taken for a silent engine. If the time-out expired as the data arrived,
            # the checkpoint raises the cancellation here; raised during a write, it
            # could lose bytes that the framing already counts as sent.
            timeout_scope.deadline = math.inf
            await anyio.lowlevel.checkpoint_if_cancelled()
            events, last_id = splitter.feed(data)
            if not events:
                self._set_event_timeout(timeout_scope)
                continue
            if not started:
                started = True
                self._report_start()
            if not caller.response_started:
                await caller.begin(
                    response.facts.status, end_to_end_headers(response.head)
                )
                self.exchange.first_event_at = anyio.current_time()
            await caller.write(events)
            self.last_event_id = last_id or self.last_event_id
            self._set_event_timeout(timeout_scope)
        if splitter.has_partial_event:
            raise MaybeRanError("the stream ended within an event")
        if not caller.response_started:
            await caller.begin(response.facts.status, end_to_end_headers(response.head))
        self.ended = True
        self.context.crashes.table.clear(self.exchange.fingerprint)
        await caller.finish()

    def _report_start(self) -> None:
        attempt_id = self.exchange.facts.attempt_id
        self.scheduler.report_progress(attempt_id, ProgressKind.STARTED)

    async def _relay_failure(
        self, response: EndpointResponse
    ) -> tuple[str, ProgressKind]:
        """Relay an engine's failure unless another engine may serve the request."""
        exchange = self.exchange
        body = b""
        while (data := await response.read()) is not None:
            body += data
        facts = response.facts
        if facts.not_run:
            exchange.record_not_run()
            retryable = facts.misdirected or facts.status in (409, 429, 503)
            if retryable and exchange.not_run_attempts < MAX_NOT_RUN_ATTEMPTS:
                return f"not run: {facts.status}", ProgressKind.ENGINE_FULL
            if retryable and not exchange.caller.response_started:
                detail = f"engines answered {facts.status}"
                raise exchange.failure(
                    FailureKind.NO_ENDPOINT, detail, retry_after=RETRY_AFTER_SECONDS
                )
        elif facts.status >= 500 and self._may_run_again():
            return f"failed: {facts.status}", ProgressKind.FINISHED
        if exchange.caller.response_started:
            raise StreamBrokenError(f"the engine answered {facts.status}")
        self.ended = True
        headers = end_to_end_headers(response.head)
        await exchange.caller.answer(facts.status, headers, body)
        return f"passed on: {facts.status}", ProgressKind.FINISHED

    def _check_may_retry(self) -> None:
        """Raise unless another engine may be tried."""
        exchange = self.exchange
        may_run = exchange.runs == 0 or self._may_run_again()
        allowed = may_run and exchange.not_run_attempts < MAX_NOT_RUN_ATTEMPTS
        if allowed and exchange.sends:
            allowed = self.context.take_retry(exchange.service)
        if allowed:
            return
        detail = exchange.attempts[-1].outcome
        if exchange.caller.response_started:
            raise StreamBrokenError(detail)
        if exchange.runs:
            raise exchange.failure(FailureKind.STAGE_FAILED, detail)
        raise exchange.failure(
            FailureKind.NO_ENDPOINT, detail, retry_after=RETRY_AFTER_SECONDS
        )
