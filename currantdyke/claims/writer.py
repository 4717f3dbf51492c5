"""The writer of one slice: many claims in one compare-and-swap."""

import functools
import random

import anyio
import attrs
import msgspec
from expression import Error, Ok, Result

from currantdyke.claims.log import DUTY, SliceLog, decode_head, encode
from currantdyke.claims.operations import (
    ClaimError,
    Decision,
    Operation,
    Taken,
    decide_claim,
)
from currantdyke.claims.records import Head, Record
from currantdyke.store import Conflict, Unavailable, Unsettled, settled_swap

__all__ = ["SliceWriter"]

GROUP_SECONDS = 0.1
COMPANY_SECONDS = 0.2
COMMIT_SECONDS = 3.0
GROUP_BYTES = 262_144
RECORD_BYTES = 200
CONTENTION_SECONDS = 0.02


@attrs.define(kw_only=True, eq=False)
class SliceWriter:
    """Takes operations on one slice and writes them in groups.

    Attributes
    ----------
    group_seconds : float
        At least so long lies between the starts of two commits.
    """

    log: SliceLog
    random_source: random.Random
    group_seconds: float = GROUP_SECONDS
    pending: list[Operation] = attrs.field(factory=list)
    last_commit: float = float("-inf")
    working: bool = False
    arrived: anyio.Event = attrs.field(factory=anyio.Event)

    def add(self, operation: Operation) -> bool:
        """Queue an operation; return whether a worker must be started."""
        self.pending.append(operation)
        self.arrived.set()
        start, self.working = not self.working, True
        return start

    async def work(self) -> None:
        """Commit groups until nothing is pending."""
        try:
            while self.pending:
                await self._wait_turn()
                group = self._take_group()
                self.last_commit = anyio.current_time()
                if group:
                    await _Commit(writer=self, group=group).run()
        finally:
            self.working = False

    async def _wait_turn(self) -> None:
        turn = self.last_commit + self.group_seconds
        while True:
            oldest = min(operation.asked for operation in self.pending)
            urgent = any(operation.urgent for operation in self.pending)
            due = turn if urgent else max(turn, oldest + COMPANY_SECONDS)
            wait = due - anyio.current_time()
            if wait <= 0.0:
                return
            self.arrived = anyio.Event()
            with anyio.move_on_after(wait):
                await self.arrived.wait()

    def _take_group(self) -> list[Operation]:
        group, size = [], 0
        while self.pending and size < GROUP_BYTES:
            operation = self.pending.pop(0)
            size += RECORD_BYTES + len(operation.record.result)
            if not operation.given_up:
                group.append(operation)
        return group


@attrs.define(kw_only=True, eq=False)
class _Commit:
    """One group on its way into the store.

    Attributes
    ----------
    may_stand : bool
        A swap was sent, so that an unavailable store proves nothing any more.
    """

    writer: SliceWriter
    group: list[Operation]
    may_stand: bool = False
    refreshed: bool = False

    async def run(self) -> None:
        """Write the group, or tell each of its askers why not."""
        deadline = anyio.current_time() + COMMIT_SECONDS
        error: ClaimError | None = Unsettled(detail="no end of the commit in time")
        try:
            with anyio.CancelScope(deadline=deadline):
                error = await self._attempt_until(deadline)
        except msgspec.MsgspecError as broken:
            error = Unsettled(detail=f"the claims cannot be read: {broken}")
        if error is None:
            return
        self.writer.log.loaded = False
        if isinstance(error, Unavailable) and self.may_stand:
            error = Unsettled(detail=error.detail)
        for operation in self.group:
            if operation.answer is None:
                operation.settle(Error(error))

    async def _attempt_until(self, deadline: float) -> ClaimError | None:
        log = self.writer.log
        while True:
            if not log.loaded:
                loaded = await log.load()
                if loaded.is_error():
                    return loaded.error
                self.refreshed = True
            done = await self._attempt(deadline)
            if done.is_ok():
                if done.ok:
                    return None
                continue
            if not isinstance(done.error, Conflict):
                return done.error
            adopted = await log.adopt(done.error.current)
            if adopted.is_error():
                return adopted.error
            self.refreshed = True
            pause = CONTENTION_SECONDS * self.writer.random_source.random()
            await anyio.sleep(pause)

    async def _attempt(
        self, deadline: float
    ) -> Result[bool, Conflict | Unavailable | Unsettled]:
        """Try once; ``Ok(False)`` asks for another try on a fresh head."""
        log = self.writer.log
        base = await log.seal_if_full(deadline)
        if base.is_error():
            self.may_stand = self.may_stand or not isinstance(base.error, Unavailable)
            return Error(base.error)
        if log.is_incomplete():
            self._refuse_unknown_keys()
        decisions, writes = self._plan()
        if not writes:
            if not self.refreshed:
                log.loaded = False
                return Ok(False)
            return await self._answer(decisions)
        head = Head({**base.ok.active, **writes}, base.ok.sealed)
        value = encode(head)
        swapped = await settled_swap(
            log.store,
            log.head_key(),
            log.revision,
            value,
            is_mine=functools.partial(_holds, writes),
            duty=DUTY,
            deadline=deadline,
        )
        if swapped.is_error():
            sent = not isinstance(swapped.error, Unavailable)
            self.may_stand = self.may_stand or sent
            return Error(swapped.error)
        self.may_stand = True
        adopted = await log.adopt(swapped.ok)
        if adopted.is_error():
            return Error(adopted.error)
        return await self._answer(decisions)

    def _refuse_unknown_keys(self) -> None:
        """Refuse keys that a missing segment may hold."""
        log = self.writer.log
        detail = f"claims of slice {log.number} are missing from the store"
        for operation in self.group:
            if operation.decide is decide_claim and not log.find(operation.digest):
                operation.settle(Error(Unavailable(detail=detail)))
        self.group = [entry for entry in self.group if entry.answer is None]

    def _plan(self) -> tuple[list[Decision], dict[bytes, Record]]:
        log = self.writer.log
        writes: dict[bytes, Record] = {}
        decisions = []
        for operation in self.group:
            decision = operation.decide(
                operation, lambda digest: writes.get(digest) or log.find(digest)
            )
            if decision.write is not None:
                writes[operation.digest] = decision.write
            decisions.append(decision)
        return decisions, writes

    async def _answer(
        self, decisions: list[Decision]
    ) -> Result[bool, Conflict | Unavailable | Unsettled]:
        for operation, decision in zip(self.group, decisions, strict=True):
            answer = decision.answer
            if isinstance(answer, Taken):
                whole = await self.writer.log.whole(operation.digest)
                if whole.is_error():
                    return Error(whole.error)
                if whole.ok is not None and whole.ok.state is answer.record.state:
                    answer = Taken(record=whole.ok)
            operation.settle(Ok(answer))
        return Ok(True)


def _holds(writes: dict[bytes, Record], value: bytes) -> bool:
    active = decode_head(value).active
    return all(active.get(digest) == record for digest, record in writes.items())
