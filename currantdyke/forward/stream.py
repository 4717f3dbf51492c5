"""Forward a request whose response is a stream of events."""

from collections.abc import Iterator

import anyio
import attrs

from currantdyke.catalog import Endpoint, max_event_gap
from currantdyke.core import FailureKind
from currantdyke.crashes import EndpointRun
from currantdyke.directory.endpoints import EVACUATED_RETRY_SECONDS
from currantdyke.endpointslots.client import Slot
from currantdyke.forward.attempt import (
    EndpointResponse,
    EvacuatedError,
    MaybeRanError,
    NotSentError,
    attempt,
)
from currantdyke.forward.context import ForwardContext, build_outgoing_request
from currantdyke.forward.events import EventSplitter, EventTooLongError
from currantdyke.forward.exchange import (
    KEPT_FAILURE_MARGIN_SECONDS,
    Exchange,
    StreamBrokenError,
)
from currantdyke.forward.quarantine import quarantine_failure, settle, start_run
from currantdyke.forward.race import CANCELLED, INTERNAL_ERROR, Race, Run
from currantdyke.forward.resumption import find_version, record_version
from currantdyke.http1 import header_values
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
# Time without an event after which a resumable stream is sent to another engine too.
# Callers wait for at least two seconds.
SILENCE_TIMEOUT_SECONDS = 1.4
# The same before the first event, as a multiple of the target latency; it includes the
# wait for a place in the batch.
START_TIMEOUT_TARGETS = 1.5
LOWEST_URGENCY = 9
# Statuses with which an engine that did not run a request says why.
RESULTS_GONE_STATUS = 409
FULL_STATUS = 503
RETRIED_ELSEWHERE = (RESULTS_GONE_STATUS, 429, FULL_STATUS)
# A full engine has room again after about the time of one stage call.
RETRY_AFTER_SECONDS = 0.25

# Status, headers and body of an engine's failure.
Failure = tuple[int, list[tuple[bytes, bytes]], bytes]


@attrs.frozen(kw_only=True)
class RunEnd:
    """How a run at an engine ended.

    Attributes
    ----------
    outcome : str
        For the log.
    progress : ProgressKind
        For the scheduler.
    rejected : bool
        Whether the engine had no room for the request.
    results_gone : bool
        Whether the engine did not find the results of the stages.
    """

    outcome: str
    progress: ProgressKind = ProgressKind.CANCELLED
    rejected: bool = False
    results_gone: bool = False


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
    version = None
    if exchange.facts.last_event_id is not None:
        version = await find_version(exchange, context)
    stream = ForwardedStream(exchange, context, scheduler, version)
    await stream.run()


class ForwardedStream:
    """A stream to a caller that one or more engines produce in turn.

    Attributes
    ----------
    last_event_id : bytes or None
        Id of the last event that was relayed from an engine.
    serving : Run or None
        The run of which events were relayed last.
    ended : bool
        Whether a response was relayed to its end.
    final_error : Exception or None
        Error of the last live run after which no other one may follow.
    failure : tuple or None
        Status, headers and body of an engine's failure, relayed if no other engine
        serves the request.
    kept_failure : tuple or None
        The same after which no other engine is tried, relayed if none of the live runs
        serves the request.
    retry_after : float
        Seconds after which the caller of a refused stream should come back.
    version : str or None
        The version of the engines that may go on with the stream; None until its first
        event.
    media_type : list of bytes
        Values of the content type of the first response.
    """

    def __init__(
        self,
        exchange: Exchange,
        context: ForwardContext,
        scheduler: SchedulerClient,
        version: str | None = None,
    ):
        self.exchange = exchange
        self.context = context
        self.scheduler = scheduler
        self.race = Race(log=context.log)
        self.last_event_id: bytes | None = None
        self.serving: Run | None = None
        self.ended = False
        self.final_error: Exception | None = None
        self.failure: Failure | None = None
        self.kept_failure: Failure | None = None
        self.retry_after = RETRY_AFTER_SECONDS
        self.version = version
        self.media_type: list[bytes] = []

    async def run(self) -> None:
        """Forward the stream until it ends."""
        try:
            await self.race.run(self._control)
        finally:
            # No report is due unless the last run ended beside another one.
            self._report(ProgressKind.CANCELLED)

    async def _control(self) -> None:
        self.race.start(self._run)
        while True:
            await self.race.wait()
            if self.race.live:
                if not self.ended and self.race.is_silent():
                    await self._handle_silence()
            elif not self.ended:
                await self._retry_or_fail()
            if self.ended and not self.race.live:
                return

    async def _handle_silence(self) -> None:
        """Start a run at another engine, if that is allowed; the live runs go on."""
        if self.kept_failure is not None and not self.exchange.caller.response_started:
            await self._await_live_runs(self.kept_failure)
            return
        if not self._may_run_again():
            self.race.stop_measuring()
            return
        self.race.extend(SILENCE_TIMEOUT_SECONDS)
        if (
            self._has_other_engine()
            and self.exchange.not_run_attempts < MAX_NOT_RUN_ATTEMPTS
            and self.context.take_retry(self.exchange.service)
        ):
            self.race.start(self._run)

    async def _await_live_runs(self, failure: Failure) -> None:
        """Relay a kept failure only once the deadline is near."""
        end = self._placement_deadline() - KEPT_FAILURE_MARGIN_SECONDS
        left = end - anyio.current_time()
        if left > 0:
            self.race.extend(left)
        else:
            self.race.give_up_all()
            await self._relay_failure(failure)

    async def _relay_failure(self, failure: Failure) -> None:
        self.ended = True
        await self.exchange.caller.answer(*failure)

    def _tried_engines(self) -> set[str]:
        return self.exchange.excluded | {run.instance for run in self.race.live}

    def _engines(self) -> Iterator[Endpoint]:
        """Yield the engines at which the stream may begin or go on."""
        known = self.context.directory.endpoints.of_service(self.exchange.service)
        return filter(self._is_of_version, known.values())

    def _has_other_engine(self) -> bool:
        tried = self._tried_engines()
        paused = self.context.pauses.paused(self._engines(), anyio.current_time())
        return any(
            engine.instance not in tried and engine.instance not in paused
            for engine in self._engines()
        )

    def _is_of_version(self, engine: Endpoint) -> bool:
        return self.version is None or engine.version == self.version

    async def _place(self) -> Placement | Refusal:
        exchange = self.exchange
        now = anyio.current_time()
        live = {run.instance for run in self.race.live if run.instance}
        paused = self.context.pauses.paused(self._engines(), now)
        if paused and all(engine.instance in paused for engine in self._engines()):
            return Refusal(
                code="paused",
                detail="all engines have asked for a pause",
                retry_after=self.context.pauses.retry_after(paused),
            )
        endpoints = self.context.directory.endpoints
        withheld = endpoints.withheld_of(exchange.service)
        if withheld and not any(self._engines()):
            return Refusal(
                code="evacuated",
                detail="the zones of all engines are evacuated",
                retry_after=EVACUATED_RETRY_SECONDS,
            )
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
                # The owner may not know yet that a zone is evacuated.
                excluded=tuple(
                    exchange.excluded | live | paused.keys() | withheld.keys()
                ),
                is_retry=exchange.sends > 0,
                version=self.version,
            )
        )
        if isinstance(answer, Placement) and answer.instance in live:
            return Refusal(
                code="no_other_engine",
                detail="the only engine runs the request already",
                retry_after=RETRY_AFTER_SECONDS,
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

    async def _run(self, run: Run) -> None:
        """Place the request and send it to the engine."""
        try:
            answer = await self._place()
        except anyio.get_cancelled_exc_class():
            # The scheduler may have placed the request here nevertheless.
            if run.given_up and self.serving is not None:
                self._report_start(self.serving)
            raise
        if isinstance(answer, Placement):
            run.instance = answer.instance
            await self._run_attempt(run, answer)
            return
        detail = f"{answer.code}: {answer.detail}"
        self._end_with(self._failure(detail, answer.retry_after))

    async def _run_attempt(self, run: Run, placement: Placement) -> None:
        exchange = self.exchange
        started = anyio.current_time()
        end = RunEnd(outcome=CANCELLED)
        evidence: EndpointRun | None = None
        slot = Slot()
        endpoint = self.context.directory.endpoints.usable(placement.instance)
        try:
            if endpoint is None:
                end = self._end_unsent("leaving")
                return
            if not self._is_of_version(endpoint):
                # The owner is of an earlier build, or knows another entry.
                end = self._end_unsent("another version")
                return
            pause = self.context.pauses.left(endpoint, anyio.current_time())
            if pause:
                # It is the only one, or the owner knows no other.
                end = self._end_unsent("asked for a pause")
                self.retry_after = pause
                return
            if not await self._may_send(endpoint, placement):
                end = self._end_unsent("at its limit")
                return
            if not placement.has_slot:
                left = exchange.deadline_at - started
                granted = await self.context.slots.acquire(endpoint, left)
                if isinstance(granted, float):
                    end = self._end_unsent("no slot")
                    self.retry_after = granted
                    return
                slot = granted
            refusal = quarantine_failure(exchange, self.context)
            if refusal is not None:
                end = RunEnd(outcome=FailureKind.QUARANTINED.code)
                self._end_with(refusal)
                return
            evidence = start_run(exchange, self.context, endpoint)
            run.version = endpoint.version
            end = await self._send(run, endpoint, placement, evidence)
        except EvacuatedError:
            end = self._end_unsent("its zone is evacuated")
        except NotSentError as error:
            end = RunEnd(
                outcome=f"not sent: {error}", progress=ProgressKind.ENGINE_LOST
            )
            exchange.not_run_attempts += 1
        except (MaybeRanError, EventTooLongError) as error:
            end = RunEnd(outcome=str(error), progress=ProgressKind.ENGINE_LOST)
            if evidence is not None:
                evidence.lose()
        except anyio.get_cancelled_exc_class():
            end = RunEnd(outcome=run.cancelled_outcome())
            if run.is_stuck():
                # Its caller has left, but the next one need not wait there.
                end = attrs.evolve(end, progress=ProgressKind.ENGINE_LOST)
            if run.sent and evidence is not None:
                if run.given_up:
                    evidence.lose(abandoned=True)
                else:
                    evidence.stop()
            raise
        except Exception:
            end = RunEnd(outcome=INTERNAL_ERROR)
            raise
        finally:
            self.context.slots.release(slot, rejected=end.rejected)
            # An engine that was given up unheard has not failed: another run was first.
            if not self.ended and (run.heard or not run.given_up):
                exchange.excluded.add(placement.instance)
            self._report_end(run, end)
            seconds = anyio.current_time() - started
            exchange.record_attempt(placement.instance, end.outcome, seconds)

    def _end_unsent(self, outcome: str) -> RunEnd:
        """Return the end of a run that was not sent, and count the attempt."""
        self.exchange.not_run_attempts += 1
        return RunEnd(outcome=outcome, progress=ProgressKind.ENGINE_FULL)

    async def _may_send(self, endpoint: Endpoint, placement: Placement) -> bool:
        """Return whether the engine's limit allows the request."""
        limits = self.context.limits
        if placement.rate_limit is not None:
            limits.learn(endpoint, placement.rate_limit)
            return True
        wait = await limits.admit(endpoint, sheddable=self.exchange.sheddable)
        self.retry_after = wait or RETRY_AFTER_SECONDS
        return not wait

    async def _send(
        self, run: Run, endpoint: Endpoint, placement: Placement, evidence: EndpointRun
    ) -> RunEnd:
        """Send to an engine, and relay its events or handle its failure."""
        exchange = self.exchange
        request = build_outgoing_request(
            exchange,
            endpoint,
            stage_inputs=placement.handles if exchange.route.stages else None,
            rank=min(LOWEST_URGENCY, exchange.rank),
            last_event_id=self.last_event_id,
        )

        def on_send() -> None:
            exchange.record_send()
            seconds = START_TIMEOUT_TARGETS * exchange.route.target_latency
            self.race.record_sent(run, seconds)

        async with attempt(
            self.context.connections, endpoint, request, on_send=on_send
        ) as response:
            if response.facts.success:
                await self._relay_events(run, response, evidence)
                return RunEnd(outcome="finished", progress=ProgressKind.FINISHED)
            return await self._handle_failure(run, response)

    def _may_run_again(self) -> bool:
        exchange = self.exchange
        # `runs` counts an attempt only once its sending starts. Before that, an attempt
        # is counted here only if `runs` is 0.
        runs = max(exchange.runs, 1)
        return exchange.route.may_repeat and runs < exchange.route.max_attempts

    def _check_continues(self, response: EndpointResponse) -> None:
        """Raise MaybeRanError if a response can't be a part of the stream.

        The caller has the head of the first one, which determines the media type.
        """
        media_type = header_values(response.head.headers, b"content-type")
        if not self.exchange.caller.response_started:
            self.media_type = media_type
        elif media_type != self.media_type:
            raise MaybeRanError("the answer has another type than the stream")

    def _bind_version(self, version: str) -> None:
        """Let the stream go on at engines of a version only, at any daemon."""
        self.version = version
        record_version(self.exchange, self.context, version)

    async def _relay_events(
        self,
        run: Run,
        response: EndpointResponse,
        evidence: EndpointRun,
    ) -> None:
        """Relay complete events; return at the end of the stream."""
        caller = self.exchange.caller
        splitter = EventSplitter()
        started = False
        parts = 0
        while (data := await response.read()) is not None:
            new_parts, parts = response.parts_read - parts, response.parts_read
            events, last_id = splitter.feed(data, new_parts)
            if not events:
                if splitter.has_foreign_bytes:
                    raise MaybeRanError("bytes that are no event")
                run.record_partial_event()
                self._check_event_ends(run)
                continue
            run.record_heard()
            evidence.record_data()
            if not started:
                self._check_continues(response)
            if not self.race.claim(run):
                return
            # A slow caller is not taken for a silent engine.
            self.race.paused = True
            if not started:
                started = True
                self.serving = run
                self._bind_version(run.version)
                self._report_start(run)
            if not caller.response_started:
                await caller.begin(
                    response.facts.status, end_to_end_headers(response.head)
                )
                self.exchange.first_event_at = anyio.current_time()
            await caller.write(events)
            self.last_event_id = last_id or self.last_event_id
            self.race.extend(SILENCE_TIMEOUT_SECONDS)
            self.race.paused = False
            if splitter.has_foreign_bytes:
                raise MaybeRanError("bytes that are no event")
        if splitter.has_partial_event:
            raise MaybeRanError("the stream ended within an event")
        if not started:
            self._check_continues(response)
        if not self.race.claim(run):
            return
        self.ended = True
        if not caller.response_started:
            await caller.begin(response.facts.status, end_to_end_headers(response.head))
        evidence.finish()
        await caller.finish()

    def _check_event_ends(self, run: Run) -> None:
        """Raise MaybeRanError if an event takes longer than callers wait for one."""
        limit = max_event_gap(self.exchange.route)
        if run.partial_seconds() > limit:
            raise MaybeRanError(f"an event did not end within {limit:g} s")

    async def _handle_failure(self, run: Run, response: EndpointResponse) -> RunEnd:
        """Relay an engine's failure unless another engine may serve the request."""
        exchange = self.exchange
        body = await response.read_short_body()
        facts = response.facts
        if facts.not_run:
            exchange.record_not_run()
            if facts.misdirected or facts.status in RETRIED_ELSEWHERE:
                return RunEnd(
                    outcome=f"not run: {facts.status}",
                    progress=ProgressKind.ENGINE_FULL,
                    rejected=facts.status == FULL_STATUS,
                    results_gone=facts.status == RESULTS_GONE_STATUS,
                )
        failed = RunEnd(
            outcome=f"failed: {facts.status}", progress=ProgressKind.FINISHED
        )
        headers = end_to_end_headers(response.head)
        if not facts.not_run and facts.status >= 500:
            self.failure = (facts.status, headers, body)
            return failed
        if exchange.caller.response_started:
            self._end_with(StreamBrokenError(f"the engine answered {facts.status}"))
        elif self.race.has_others(run):
            self.kept_failure = (facts.status, headers, body)
            return failed
        elif self.race.claim(run):
            await self._relay_failure((facts.status, headers, body))
        return attrs.evolve(failed, outcome=f"passed on: {facts.status}")

    async def _retry_or_fail(self) -> None:
        """Start another run, or relay a failure or raise if none may follow."""
        exchange = self.exchange
        begun = exchange.caller.response_started
        if self.kept_failure is not None and not begun:
            await self._relay_failure(self.kept_failure)
            return
        if self.final_error is not None:
            raise self.final_error
        await settle(exchange)
        refusal = quarantine_failure(exchange, self.context)
        if refusal is not None:
            raise refusal
        may_run = exchange.runs == 0 or self._may_run_again()
        allowed = may_run and exchange.not_run_attempts < MAX_NOT_RUN_ATTEMPTS
        if allowed and exchange.sends:
            allowed = self.context.take_retry(exchange.service)
        if allowed:
            self.race.start(self._run)
        elif self.failure is not None and not begun:
            await self._relay_failure(self.failure)
        else:
            raise self._failure(exchange.attempts[-1].outcome, self.retry_after)

    def _failure(self, detail: str, retry_after: float) -> Exception:
        """Return the error by which the request ends without a whole response."""
        exchange = self.exchange
        if exchange.caller.response_started:
            return StreamBrokenError(detail)
        kind = FailureKind.STAGE_FAILED if exchange.runs else FailureKind.NO_ENDPOINT
        return exchange.failure(kind, detail, retry_after=retry_after)

    def _end_with(self, error: Exception) -> None:
        """End the request after this run, unless another one is live."""
        if len(self.race.live) == 1:
            self.final_error = error

    def _report_start(self, run: Run) -> None:
        self.scheduler.report_progress(
            self.exchange.facts.attempt_id,
            ProgressKind.STARTED,
            instance=run.instance,
        )

    def _report_end(self, run: Run, end: RunEnd) -> None:
        """Report the end of a run, and of the request's runs if it is the last."""
        others = [
            other for other in self.race.live if other is not run and not other.given_up
        ]
        if not others:
            self._report(end.progress)
            return
        being_placed = any(not other.instance for other in others)
        pending = any(not other.sent for other in others)
        fetched = self.exchange.caller.response_started and not pending
        self.scheduler.report_progress(
            self.exchange.facts.attempt_id,
            end.progress,
            instance=run.instance,
            keeps_results=being_placed or not (fetched or end.results_gone),
        )

    def _report(self, kind: ProgressKind) -> None:
        self.scheduler.report_progress(self.exchange.facts.attempt_id, kind)
