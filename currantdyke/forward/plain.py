"""Forward a request whose response is not streamed."""

import functools

import anyio
import attrs
import h11

from currantdyke.catalog import Endpoint
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
from currantdyke.forward.choose import choose_endpoint
from currantdyke.forward.context import ForwardContext, build_outgoing_request
from currantdyke.forward.exchange import (
    KEPT_FAILURE_MARGIN_SECONDS,
    Exchange,
    StreamBrokenError,
)
from currantdyke.forward.quarantine import (
    check_not_quarantined,
    quarantine_failure,
    settle,
    start_run,
)
from currantdyke.forward.race import CANCELLED, INTERNAL_ERROR, Race, Run
from currantdyke.platform.answers import ResponseMetadata, end_to_end_headers

__all__ = ["forward_plain"]

# Limit per request of attempts that no endpoint ran: failed connections and refusals.
MAX_NOT_RUN_ATTEMPTS = 3
# A repeatable request is also sent elsewhere after this multiple of its target latency
# without progress, that is without a further part of a success.
SILENCE_TARGETS = 2.0
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
    StreamBrokenError
        If a long response has started and can't be completed.
    """
    context.budget(exchange.service).earn()
    request = ForwardedRequest(exchange, context)
    await request.race.run(request.serve)


class ForwardedRequest:
    """A request to which one or more endpoints respond.

    Attributes
    ----------
    final : BufferedResponse or None
        The response that ends the request.
    last_failure : BufferedResponse or None
        A failure that is relayed if no endpoint serves the request.
    kept_failure : BufferedResponse or None
        A failure after which the request is sent nowhere else, relayed if none of the
        live runs serves the request.
    broken : str
        Why a long response that has started can't be completed; empty if it can.
    retry_after : float
        Seconds after which the caller of a refused request should come back.
    slots : dict of str to Slot
        Slots of the endpoints to which a run is about to be sent, by instance.
    """

    def __init__(self, exchange: Exchange, context: ForwardContext):
        self.exchange = exchange
        self.context = context
        self.race = Race(log=context.log)
        self.final: BufferedResponse | None = None
        self.last_failure: BufferedResponse | None = None
        self.kept_failure: BufferedResponse | None = None
        self.broken = ""
        self.retry_after = RETRY_AFTER_SECONDS
        self.slots: dict[str, Slot] = {}
        self.silence_seconds = SILENCE_TARGETS * exchange.route.target_latency

    async def serve(self) -> None:
        """Run the request until there is a response, and relay it."""
        caller = self.exchange.caller
        while True:
            if not self.race.live and not await self._start_run():
                await self._relay_last_or_fail("no endpoint is left to try")
                return
            await self.race.wait()
            if self.race.live and self.race.is_silent():
                await self._handle_silence()
            if not (self.race.live or caller.response_started):
                self.final = self.final or self.kept_failure
            if self.final is not None:
                await self._relay(self.final)
                return
            if self.race.live:
                continue
            if self.broken:
                raise StreamBrokenError(self.broken)
            if caller.response_started:
                return
            if not await self._may_retry_after_loss():
                await self._relay_last_or_fail("no further attempt is allowed")
                return

    async def _may_retry_after_loss(self) -> bool:
        await settle(self.exchange)
        check_not_quarantined(self.exchange, self.context)
        return _may_retry(self.exchange, self.context)

    async def _start_run(self) -> bool:
        """Send the request to another endpoint; return False if none is left."""
        check_not_quarantined(self.exchange, self.context)
        endpoint = await self._choose_endpoint()
        if endpoint is None:
            return False
        if self.final is not None or self.exchange.caller.response_started:
            # A run has served the request while the owner of a limit was asked.
            self._release_slot(endpoint, rejected=False)
            return True
        self.exchange.excluded.add(endpoint.instance)
        self.race.start(functools.partial(self._run, endpoint))
        return True

    async def _choose_endpoint(self) -> Endpoint | None:
        """Return the best endpoint whose limit allows the request, or None."""
        context, exchange = self.context, self.exchange
        waits: dict[str, float] = {}
        while True:
            now = anyio.current_time()
            known = context.directory.endpoints.of_service(exchange.service).values()
            paused = context.pauses.paused(known, now)
            endpoint = choose_endpoint(
                known,
                health=context.health,
                availability_zone=context.availability_zone,
                excluded=exchange.excluded | waits.keys() | paused.keys(),
                now=now,
                random_source=context.random_source,
                loads=context.loads,
            )
            if endpoint is None:
                delays = list(waits.values())
                if paused:
                    delays.append(context.pauses.retry_after(paused))
                if context.directory.endpoints.has_only_withheld(exchange.service):
                    delays.append(EVACUATED_RETRY_SECONDS)
                self.retry_after = min(delays, default=RETRY_AFTER_SECONDS)
                return None
            wait = await context.limits.admit(endpoint, sheddable=exchange.sheddable)
            wait = wait or await self._take_slot(endpoint)
            if not wait and context.directory.endpoints.usable(endpoint.instance):
                return endpoint
            self._release_slot(endpoint, rejected=False)
            waits[endpoint.instance] = wait or RETRY_AFTER_SECONDS

    async def _take_slot(self, endpoint: Endpoint) -> float:
        """Take a slot of a fragile endpoint; return the seconds to wait for one."""
        left = self.exchange.deadline_at - anyio.current_time()
        slot = await self.context.slots.acquire(endpoint, left)
        if isinstance(slot, float):
            return slot
        self.slots[endpoint.instance] = slot
        return 0.0

    def _release_slot(self, endpoint: Endpoint, *, rejected: bool) -> None:
        slot = self.slots.pop(endpoint.instance, None)
        if slot is not None:
            self.context.slots.release(slot, rejected=rejected)

    async def _handle_silence(self) -> None:
        """Send the request elsewhere too, if that is allowed; the live runs go on."""
        if self.kept_failure is not None:
            self._await_live_runs(self.kept_failure)
            return
        route = self.exchange.route
        if not route.may_repeat or self.exchange.runs >= route.max_attempts:
            self.race.stop_measuring()
            return
        for run in self.race.live:
            self.context.health.of(run.instance).record_failure(anyio.current_time())
        self.race.extend(self.silence_seconds)
        if (
            self._has_other_endpoint()
            and quarantine_failure(self.exchange, self.context) is None
            and _may_retry(self.exchange, self.context)
        ):
            await self._start_run()

    def _await_live_runs(self, failure: BufferedResponse) -> None:
        """Relay a kept failure only once the deadline is near."""
        end = self.exchange.deadline_at - KEPT_FAILURE_MARGIN_SECONDS
        left = end - anyio.current_time()
        if left > 0:
            self.race.extend(left)
        else:
            self.race.give_up_all()
            self.final = failure

    def _has_other_endpoint(self) -> bool:
        known = self.context.directory.endpoints.of_service(self.exchange.service)
        return not self.exchange.excluded.issuperset(known)

    async def _run(self, endpoint: Endpoint, run: Run) -> None:
        """Send to one endpoint and record its response."""
        run.instance = endpoint.instance
        health = self.context.health.of(endpoint.instance)
        started = anyio.current_time()
        outcome = CANCELLED
        evidence = start_run(self.exchange, self.context, endpoint)
        health.in_flight += 1
        rejected = False
        try:
            response = await self._send(endpoint, run, evidence)
            outcome = "passed on"
            if response is not None:
                outcome = str(response.facts.status)
                rejected = response.facts.not_run and response.facts.status == 503
                self._record_response(response, endpoint, started)
                if response.facts.success:
                    evidence.finish()
                self._handle_response(response, run)
        except EvacuatedError as error:
            outcome = f"not sent: {error}"
        except NotSentError as error:
            outcome = f"not sent: {error}"
            self.exchange.not_run_attempts += 1
            health.record_unreachable(anyio.current_time())
        except MaybeRanError as error:
            outcome = str(error)
            health.record_unreachable(anyio.current_time())
            evidence.lose()
            if self.exchange.caller.response_started and not run.given_up:
                self.broken = outcome
        except anyio.get_cancelled_exc_class():
            outcome = run.cancelled_outcome()
            if run.sent:
                evidence.stop()
            raise
        except Exception:
            outcome = INTERNAL_ERROR
            raise
        finally:
            self._release_slot(endpoint, rejected=rejected)
            health.in_flight -= 1
            self.exchange.record_attempt(
                endpoint.instance, outcome, anyio.current_time() - started
            )

    def _record_response(
        self, response: BufferedResponse, endpoint: Endpoint, started: float
    ) -> None:
        now = anyio.current_time()
        health = self.context.health.of(endpoint.instance)
        if response.facts.not_run:
            self.exchange.record_not_run()
            if response.facts.misdirected:
                health.record_unreachable(now)
            else:
                health.record_full(now, FULL_AVOID_SECONDS)
        elif response.facts.status >= 500:
            health.record_failure(now)
        else:
            health.record_success(now - started, now)

    def _handle_response(self, response: BufferedResponse, run: Run) -> None:
        if _is_final(response):
            if not response.facts.success and self.race.has_others(run):
                self.kept_failure = response
            elif self.race.claim(run):
                self.final = response
        elif not response.facts.not_run:
            self.last_failure = response

    async def _send(
        self, endpoint: Endpoint, run: Run, evidence: EndpointRun
    ) -> BufferedResponse | None:
        """Return an endpoint's response, or None if it was relayed as it arrived."""
        request = build_outgoing_request(self.exchange, endpoint)

        def on_send() -> None:
            self.exchange.record_send()
            self.race.record_sent(run, self.silence_seconds)

        async with attempt(
            self.context.connections, endpoint, request, on_send=on_send
        ) as response:
            if not response.facts.success:
                return _buffered(response, await response.read_short_body())
            body = bytearray()
            while (data := await response.read()) is not None:
                run.record_heard()
                evidence.record_data()
                body += data
                self.race.extend(self.silence_seconds)
                if len(body) > MAX_BUFFERED_BYTES:
                    await self._relay_long(response, run, bytes(body))
                    return None
            return _buffered(response, bytes(body))

    async def _relay(self, response: BufferedResponse) -> None:
        headers = end_to_end_headers(response.head)
        await self.exchange.caller.answer(response.facts.status, headers, response.body)

    async def _relay_long(
        self, response: EndpointResponse, run: Run, first: bytes
    ) -> None:
        if not self.race.claim(run):
            return
        self.race.paused = True
        caller = self.exchange.caller
        await caller.begin(response.facts.status, end_to_end_headers(response.head))
        await caller.write(first)
        while (data := await response.read()) is not None:
            await caller.write(data)
        await caller.finish()

    async def _relay_last_or_fail(self, detail: str) -> None:
        """Relay the last failure of an endpoint, or raise the request's failure."""
        if self.last_failure is not None:
            await self._relay(self.last_failure)
            return
        if self.exchange.runs:
            raise self.exchange.failure(FailureKind.STAGE_FAILED, detail)
        raise self.exchange.failure(
            FailureKind.NO_ENDPOINT, detail, retry_after=self.retry_after
        )


def _may_retry(exchange: Exchange, context: ForwardContext) -> bool:
    if exchange.runs >= exchange.route.max_attempts:
        return False
    if exchange.runs and not exchange.route.may_repeat:
        return False
    if exchange.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS:
        return False
    # Until something was sent to an endpoint, another attempt needs no budget.
    return exchange.sends == 0 or context.take_retry(exchange.service)


def _buffered(response: EndpointResponse, body: bytes) -> BufferedResponse:
    return BufferedResponse(head=response.head, facts=response.facts, body=body)


def _is_final(response: BufferedResponse) -> bool:
    if response.facts.not_run:
        # With these statuses every endpoint would refuse the request.
        return response.facts.status in (400, 404, 409, 413, 431)
    return response.facts.status < 500
