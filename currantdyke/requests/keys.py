"""Idempotency keys of requests with non-idempotent calls, in one daemon's memory.

Until a key expires, only one request with this key runs. The key of a failed request
is released early if its non-idempotent calls did not run.
"""

import collections
from collections.abc import Callable

import anyio
import attrs
import msgspec

from currantdyke.core import Failure, FailureKind, Outcome, digest_of
from currantdyke.requests.exchange import Exchange

__all__ = ["KeyTable"]

# The interface guarantees that a key is valid for one day; after that it is new.
KEY_RETENTION_SECONDS = 86_400.0
# Bounds the memory: about 400 bytes per key without its answer.
MAX_KEYS = 50_000
MAX_ANSWER_BYTES = 16_384
MAX_TOTAL_ANSWER_BYTES = 16_000_000
TABLE_FULL_RETRY_SECONDS = 60.0
DIGEST_BYTES = 16


@attrs.define(kw_only=True, eq=False)
class KeyRecord:
    """Record of the request that a key was used for.

    Attributes
    ----------
    holder : Exchange or None
        The request while it runs.
    body_digest : bytes
        Digest of its pipeline and input.
    first_used_at : float
        Monotonic time in seconds at which the key was first used.
    outcome : Outcome or None
        Outcome of the request; None while it runs.
    detail : str
        Detail of its failure; empty if it succeeded.
    answer : bytes or None
        Its output as JSON, if that is kept.
    """

    request_id: str
    holder: Exchange | None
    body_digest: bytes
    first_used_at: float
    outcome: Outcome | None = None
    detail: str = ""
    answer: bytes | None = None


class KeyTable:
    """Table of the idempotency keys of requests with non-idempotent calls.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    count : callable
        Called with the result of each lookup: ``new``, ``in use`` or ``refused``.
    max_keys : int
        Maximum number of keys; while the table is full, new keys are refused.
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
        self.total_answer_bytes = 0

    async def begin(self, exchange: Exchange) -> bool:
        """Reserve a request's key before any of its calls is dispatched.

        Returns
        -------
        bool
            Whether the request may run. If not, it is settled with the result of the
            request that holds the key, or with a failure.
        """
        self._drop_expired()
        digest = _key_digest(exchange)
        found = self.records.get(digest)
        if found is not None:
            self.count("in use")
            await self._replay(exchange, found)
            return False
        if len(self.records) >= self.max_keys:
            self.count("refused")
            self._fail(exchange, _table_full_failure(len(self.records)))
            return False
        self.count("new")
        self.records[digest] = KeyRecord(
            request_id=exchange.request_id,
            holder=exchange,
            body_digest=_body_digest(exchange),
            first_used_at=self.now(),
        )
        return True

    def finish(self, exchange: Exchange, non_idempotent_outcome: Outcome) -> None:
        """Record the result of a request that holds its key.

        Parameters
        ----------
        exchange : Exchange
            The request, already settled.
        non_idempotent_outcome : Outcome
            ``NOT_RUN`` if none of its non-idempotent calls ran; the key of a request
            that failed is then released.
        """
        digest = _key_digest(exchange)
        record = self.records.get(digest)
        if record is None or record.holder is not exchange:
            return
        if (
            exchange.outcome is not Outcome.DONE
            and non_idempotent_outcome is Outcome.NOT_RUN
        ):
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
        self.total_answer_bytes += len(answer)
        while self.total_answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest = self.answers.popleft()
            self.total_answer_bytes -= len(oldest.answer or b"")
            oldest.answer = None

    def _drop_expired(self) -> None:
        cutoff = self.now() - KEY_RETENTION_SECONDS
        while self.records:
            digest, oldest = next(iter(self.records.items()))
            if oldest.first_used_at > cutoff or oldest.holder is not None:
                return
            del self.records[digest]
            if oldest.answer is not None:
                self.answers.remove(oldest)
                self.total_answer_bytes -= len(oldest.answer)

    async def _replay(self, exchange: Exchange, found: KeyRecord) -> None:
        if found.body_digest != _body_digest(exchange):
            self._fail(exchange, _mismatch_failure(found))
        elif found.holder is not None:
            await self._wait_for_holder(exchange, found.holder)
        elif found.answer is not None:
            output = msgspec.json.decode(found.answer)
            exchange.settle(output=output, now=self.now())
        else:
            self._fail(exchange, _key_used_failure(found))

    async def _wait_for_holder(self, exchange: Exchange, holder: Exchange) -> None:
        try:
            await holder.wait_until_ended()
        except anyio.get_cancelled_exc_class():
            self._fail(exchange, _still_running_failure(holder))
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


def _table_full_failure(count: int) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail=f"{count} idempotency keys are held here",
        retry_after=TABLE_FULL_RETRY_SECONDS,
    )


def _mismatch_failure(found: KeyRecord) -> Failure:
    return Failure(
        kind=FailureKind.KEY_MISMATCH,
        detail=f"request {found.request_id} used the key for another body",
    )


def _still_running_failure(holder: Exchange) -> Failure:
    return Failure(
        kind=FailureKind.KEY_IN_USE,
        detail=f"request {holder.request_id} runs under the same key",
        outcome=Outcome.UNKNOWN,
    )


def _key_used_failure(found: KeyRecord) -> Failure:
    assert found.outcome is not None
    reason = found.detail or "its answer was too long to keep or is too old"
    return Failure(
        kind=FailureKind.KEY_IN_USE,
        detail=f"request {found.request_id} used the key and ended so: {reason}",
        outcome=found.outcome,
    )
