"""Where a request asks whether it may run, and tells how it ended."""

from typing import Any

import anyio
import attrs
import msgspec

from currantdyke.bundle import Bundle, Pipeline
from currantdyke.claims.operations import Granted, Taken
from currantdyke.claims.records import Record, State, body_digest, key_digest
from currantdyke.claims.service import Claims
from currantdyke.core import Failure, FailureKind, Outcome
from currantdyke.metrics import Metrics
from currantdyke.requests import Exchange, RequestTable

__all__ = ["ClaimGate"]

RESULT_BYTES = 16_384
STORE_RETRY_SECONDS = 1.0
RUNNING_RETRY_SECONDS = 1.0
RUNNER_LATE_SECONDS = 5.0
STATES = {
    Outcome.DONE: State.DONE,
    Outcome.FAILED: State.FAILED,
    Outcome.UNKNOWN: State.UNKNOWN,
    Outcome.NOT_RUN: State.RELEASED,
}
OUTCOMES = {State.FAILED: Outcome.FAILED, State.UNKNOWN: Outcome.UNKNOWN}


@attrs.define(kw_only=True, eq=False)
class ClaimGate:
    """Lets a request run at most once for its idempotency key.

    Attributes
    ----------
    held : dict
        Claims that stand for requests of this daemon, by request id.
    """

    claims: Claims
    requests: RequestTable
    metrics: Metrics
    held: dict[str, tuple[bytes, Record]] = attrs.field(factory=dict)

    async def begin(
        self, bundle: Bundle, pipeline: Pipeline, exchange: Exchange
    ) -> bool:
        """Claim the request's key before anything of it is dispatched.

        Returns
        -------
        bool
            Whether the request may run.  If not, it is settled: with the result of
            the request that holds the key, or with a failure.
        """
        if not needs_claim(bundle, pipeline, exchange):
            return True
        digest = key_digest(exchange.workspace, exchange.idempotency_key)
        asked = self._record(exchange)
        started = anyio.current_time()
        answer = await self.claims.claim(digest, asked, exchange.deadline)
        self.metrics.claim_seconds.observe(anyio.current_time() - started)
        if answer.is_error():
            self._count(type(answer.error).__name__.lower())
            _fail(exchange, _store_unavailable(answer.error.detail))
            return False
        if isinstance(answer.ok, Granted):
            self._count("granted")
            self.held[exchange.request_id] = (digest, asked)
            return True
        assert isinstance(answer.ok, Taken)
        self._count("taken")
        await self._replay(exchange, asked, answer.ok.record)
        return False

    async def finish(self, exchange: Exchange, charges: Outcome) -> None:
        """Record how a request ended that holds a claim.

        Parameters
        ----------
        exchange : Exchange
            The request; it is settled.
        charges : Outcome
            What became of its calls that must not be repeated; where they did not
            run the key is released.
        """
        held = self.held.pop(exchange.request_id, None)
        if held is None:
            return
        digest, claim = held
        assert exchange.outcome is not None
        state = STATES[exchange.outcome]
        if exchange.outcome is not Outcome.DONE and charges is Outcome.NOT_RUN:
            state = State.RELEASED
        record = msgspec.structs.replace(
            claim, state=state, result=_kept_result(exchange, state)
        )
        recorded = await self.claims.end(digest, record)
        self._count("recorded" if recorded else "not_recorded")

    def _record(self, exchange: Exchange) -> Record:
        now = self.claims.wall_clock()
        return Record(
            request_id=exchange.request_id,
            body=body_digest(exchange.pipeline, exchange.input),
            claimed=now,
            until=now + exchange.deadline - anyio.current_time(),
        )

    async def _replay(self, exchange: Exchange, asked: Record, found: Record) -> None:
        if found.body != asked.body:
            _fail(exchange, _mismatch(found))
        elif found.state is State.DONE and found.result:
            output = msgspec.json.decode(found.result)
            exchange.settle(output=output, now=anyio.current_time())
        elif found.state is State.DONE:
            _fail(exchange, _too_long(found))
        elif found.state is State.CLAIMED:
            await self._join(exchange, found)
        else:
            _fail(exchange, _ended(found))

    async def _join(self, exchange: Exchange, found: Record) -> None:
        """Wait for the request that holds the key, where it runs here."""
        holder = self.requests.by_id.get(found.request_id)
        if holder is None:
            _fail(exchange, self._running(found))
            return
        try:
            await holder.wait_end()
        except anyio.get_cancelled_exc_class():
            _fail(exchange, self._running(found))
            raise
        now = anyio.current_time()
        exchange.settle(output=holder.output, failure=holder.failure, now=now)

    def _running(self, found: Record) -> Failure:
        left = found.until + RUNNER_LATE_SECONDS - self.claims.wall_clock()
        if left <= 0.0:
            return Failure(
                kind=FailureKind.CLAIM_EXISTS,
                detail=f"request {found.request_id} holds the key and left no result",
                outcome=Outcome.UNKNOWN,
            )
        return Failure(
            kind=FailureKind.CLAIM_EXISTS,
            detail=f"request {found.request_id} runs under the same key",
            outcome=Outcome.UNKNOWN,
            retry_after=min(left, RUNNING_RETRY_SECONDS),
        )

    def _count(self, result: str) -> None:
        self.metrics.claims.labels(result).inc()


def needs_claim(bundle: Bundle, pipeline: Pipeline, exchange: Exchange) -> bool:
    """Return whether a request has a key and calls that must not be repeated."""
    if not exchange.idempotency_key:
        return False
    services = (bundle.services[stage.service] for stage in pipeline.stages)
    return not all(service.idempotent for service in services)


def _kept_result(exchange: Exchange, state: State) -> bytes:
    content: Any = None
    if state is State.RELEASED:
        return b""
    if state is State.DONE:
        content = exchange.output
    elif exchange.failure is not None:
        content = exchange.failure.detail
    result = msgspec.json.encode(content)
    return result if len(result) <= RESULT_BYTES else b""


def _fail(exchange: Exchange, failure: Failure) -> None:
    exchange.settle(failure=failure, now=anyio.current_time())


def _store_unavailable(detail: str) -> Failure:
    return Failure(
        kind=FailureKind.STORE_UNAVAILABLE,
        detail=f"the idempotency key could not be claimed: {detail}",
        retry_after=STORE_RETRY_SECONDS,
    )


def _mismatch(found: Record) -> Failure:
    return Failure(
        kind=FailureKind.CLAIM_MISMATCH,
        detail=f"request {found.request_id} used the key for another body",
    )


def _too_long(found: Record) -> Failure:
    return Failure(
        kind=FailureKind.CLAIM_EXISTS,
        detail=f"request {found.request_id} is done; its answer was too long to keep",
        outcome=Outcome.DONE,
    )


def _ended(found: Record) -> Failure:
    detail = msgspec.json.decode(found.result) if found.result else "no detail kept"
    return Failure(
        kind=FailureKind.CLAIM_EXISTS,
        detail=f"request {found.request_id} used the key and ended so: {detail}",
        outcome=OUTCOMES[found.state],
    )
