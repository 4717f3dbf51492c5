"""Idempotency keys: a request runs at most once for its key while its daemon lives."""

import collections
from collections.abc import Callable

import anyio
import attrs
import msgspec

from currantdyke.core import Failure, FailureKind, Outcome, digest_of
from currantdyke.requests.exchange import Exchange

__all__ = ["KeyTable"]

# Callers are promised that a key counts for a day; an older one is a new one.
KEEP_SECONDS = 86_400.0
# Bounds the memory: some 400 bytes a key without its answer.
MAX_KEYS = 50_000
MAX_ANSWER_BYTES = 16_384
MAX_ANSWERS_BYTES = 16_000_000
FULL_RETRY_SECONDS = 60.0
DIGEST_BYTES = 16


@attrs.define(kw_only=True, eq=False)
class KeyRecord:
    """The request that a key was used for.

    Attributes
    ----------
    holder : Exchange or None
        The request while it runs.
    body : bytes
        Digest of what it asked for.
    began : float
        When the key was first used.
    outcome : Outcome or None
        How the request ended.
    detail : str
        Why it did not end well.
    answer : bytes or None
        Its output as JSON, where that is kept.
    """

    request_id: str
    holder: Exchange | None
    body: bytes
    began: float
    outcome: Outcome | None = None
    detail: str = ""
    answer: bytes | None = None


class KeyTable:
    """The keys of requests with calls that must not be repeated.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    count : callable
        Called with what became of a request that has a key.
    max_keys : int
        Keys held at most; requests with others are refused until some lapse.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        count: Callable[[str], None] = lambda result: None,
        max_keys: int = MAX_KEYS,
    ):
        self.now = now
        self.count = count
        self.max_keys = max_keys
        self.records: collections.OrderedDict[bytes, KeyRecord] = (
            collections.OrderedDict()
        )
        self.answers: collections.deque[KeyRecord] = collections.deque()
        self.answers_bytes = 0

    async def begin(self, exchange: Exchange) -> bool:
        """Take a request's key before anything of it is dispatched.

        Returns
        -------
        bool
            Whether the request may run.  If not, it is settled: with the result of
            the request that holds the key, or with a failure.
        """
        self._forget_old()
        digest = _key_digest(exchange)
        found = self.records.get(digest)
        if found is not None:
            self.count("in use")
            await self._replay(exchange, found)
            return False
        if len(self.records) >= self.max_keys:
            self.count("refused")
            self._fail(exchange, _full(len(self.records)))
            return False
        self.count("new")
        self.records[digest] = KeyRecord(
            request_id=exchange.request_id,
            holder=exchange,
            body=_body_digest(exchange),
            began=self.now(),
        )
        return True

    def finish(self, exchange: Exchange, charges: Outcome) -> None:
        """Record how a request ended that holds its key.

        Parameters
        ----------
        exchange : Exchange
            The request; it is settled.
        charges : Outcome
            What became of its calls that must not be repeated; where they did not
            run the key is free again.
        """
        digest = _key_digest(exchange)
        record = self.records.get(digest)
        if record is None or record.holder is not exchange:
            return
        if exchange.outcome is not Outcome.DONE and charges is Outcome.NOT_RUN:
            del self.records[digest]
            return
        record.holder = None
        record.outcome = exchange.outcome
        if exchange.failure is not None:
            record.detail = exchange.failure.detail
        elif exchange.outcome is Outcome.DONE:
            self._keep_answer(record, msgspec.json.encode(exchange.output))

    def _keep_answer(self, record: KeyRecord, answer: bytes) -> None:
        if len(answer) > MAX_ANSWER_BYTES:
            return
        record.answer = answer
        self.answers.append(record)
        self.answers_bytes += len(answer)
        while self.answers_bytes > MAX_ANSWERS_BYTES:
            oldest = self.answers.popleft()
            self.answers_bytes -= len(oldest.answer or b"")
            oldest.answer = None

    def _forget_old(self) -> None:
        horizon = self.now() - KEEP_SECONDS
        while self.records:
            digest, oldest = next(iter(self.records.items()))
            if oldest.began > horizon or oldest.holder is not None:
                return
            del self.records[digest]
            if oldest.answer is not None:
                self.answers.remove(oldest)
                self.answers_bytes -= len(oldest.answer)

    async def _replay(self, exchange: Exchange, found: KeyRecord) -> None:
        if found.body != _body_digest(exchange):
            self._fail(exchange, _mismatch(found))
        elif found.holder is not None:
            await self._join(exchange, found.holder)
        elif found.answer is not None:
            output = msgspec.json.decode(found.answer)
            exchange.settle(output=output, now=self.now())
        else:
            self._fail(exchange, _ended(found))

    async def _join(self, exchange: Exchange, holder: Exchange) -> None:
        try:
            await holder.wait_end()
        except anyio.get_cancelled_exc_class():
            self._fail(exchange, _running(holder))
            raise
        failure = holder.failure
        exchange.settle(output=holder.output, failure=failure, now=self.now())

    def _fail(self, exchange: Exchange, failure: Failure) -> None:
        exchange.settle(failure=failure, now=self.now())


def _key_digest(exchange: Exchange) -> bytes:
    workspace, key = exchange.workspace, exchange.idempotency_key
    return digest_of(workspace.encode(), key.encode(), size=DIGEST_BYTES)


def _body_digest(exchange: Exchange) -> bytes:
    content = msgspec.json.encode(exchange.input, order="sorted")
    return digest_of(exchange.pipeline.encode(), content, size=DIGEST_BYTES)


def _full(count: int) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail=f"{count} idempotency keys are held here",
        retry_after=FULL_RETRY_SECONDS,
    )


def _mismatch(found: KeyRecord) -> Failure:
    return Failure(
        kind=FailureKind.KEY_MISMATCH,
        detail=f"request {found.request_id} used the key for another body",
    )


def _running(holder: Exchange) -> Failure:
    return Failure(
        kind=FailureKind.KEY_IN_USE,
        detail=f"request {holder.request_id} runs under the same key",
        outcome=Outcome.UNKNOWN,
    )


def _ended(found: KeyRecord) -> Failure:
    assert found.outcome is not None
    why = found.detail or "its answer was too long to keep or is too old"
    return Failure(
        kind=FailureKind.KEY_IN_USE,
        detail=f"request {found.request_id} used the key and ended so: {why}",
        outcome=found.outcome,
    )
