"""The claims of one daemon: a writer for each slice, and the way to its owner."""

import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec
from expression import Error, Result

from currantdyke.claims.log import KEEP_SECONDS, SliceLog
from currantdyke.claims.operations import (
    ClaimAnswer,
    ClaimError,
    Operation,
    decide_claim,
    decide_end,
)
from currantdyke.claims.records import Record, State, slice_of, slice_owner
from currantdyke.claims.writer import GROUP_SECONDS, SliceWriter
from currantdyke.store import Store, Unavailable, Unsettled

__all__ = ["Claims", "Forward"]

CLAIM_SECONDS = 3.0
RECORD_SECONDS = 60.0
RELEASE_SECONDS = 3_600.0
FORWARD_SECONDS = 1.0
AVOID_SECONDS = 5.0
FIRST_RETRY_SECONDS = 0.25
LONGEST_RETRY_SECONDS = 5.0

Forward = Callable[
    [str, bool, bytes, Record], Awaitable[Result[ClaimAnswer, ClaimError] | None]
]


class Claims:
    """Claims idempotency keys before their requests run.

    Parameters
    ----------
    store : Store
        The platform's store.
    daemon : str
        This daemon's name.
    wall_clock : callable
        Returns the wall clock's time in seconds.
    random_source : random.Random
        Source of jitter.
    live_daemons : callable, optional
        Returns the names of the daemons thought to live, this one included.
    forward : callable, optional
        Carries an operation to a slice's owner: called with the owner, whether
        it is a claim (or an end), the key's digest and the record; returns None
        where the owner cannot be reached.  Without it every daemon writes
        itself: the swap of the head is the fence, whoever sends it.
    """

    def __init__(
        self,
        *,
        store: Store,
        daemon: str,
        wall_clock: Callable[[], float],
        random_source: random.Random,
        live_daemons: Callable[[], tuple[str, ...]] | None = None,
        forward: Forward | None = None,
        keep_seconds: float = KEEP_SECONDS,
        group_seconds: float = GROUP_SECONDS,
    ):
        self.store = store
        self.daemon = daemon
        self.wall_clock = wall_clock
        self.random_source = random_source
        self.live_daemons = live_daemons or (lambda: (daemon,))
        self.forward = forward
        self.keep_seconds = keep_seconds
        self.group_seconds = group_seconds
        self.avoided: dict[str, float] = {}
        self.tasks: anyio.abc.TaskGroup | None = None
        self.writers: dict[int, SliceWriter] = {}

    async def claim(
        self, digest: bytes, record: Record, deadline: float
    ) -> Result[ClaimAnswer, ClaimError]:
        """Claim a key for a request.

        Parameters
        ----------
        digest : bytes
            The key's digest.
        record : Record
            The claim, which names the request.
        deadline : float
            Monotonic time after which the answer is worth nothing.

        Returns
        -------
        Result[ClaimAnswer, ClaimError]
            ``Granted``: the claim stands and the request may run.  ``Taken``: it
            must not.  After an error, or if this is cancelled, it must not run
            either; a claim that may stand is then released in the background.
        """
        may_stand = True
        try:
            answer = await self._forwarded(True, digest, record)
            was_sent = self.forward is not None
            if answer is None:
                answer = await self.claim_here(digest, record, deadline)
            else:
                was_sent = False
            if answer.is_ok():
                may_stand = False
            elif isinstance(answer.error, Unavailable):
                may_stand = was_sent
            return answer
        finally:
            if may_stand:
                self._release(digest, record)

    async def claim_here(
        self, digest: bytes, record: Record, deadline: float
    ) -> Result[ClaimAnswer, ClaimError]:
        """Claim a key through this daemon's own writer.

        A claim that may stand is not released here: only its own daemon, which
        knows that the request will not run, may do that.
        """
        operation = self._operation(digest, record, decide_claim)
        self._add(operation)
        limit = min(deadline, anyio.current_time() + CLAIM_SECONDS)
        try:
            with anyio.CancelScope(deadline=limit):
                await operation.answered.wait()
        finally:
            operation.given_up = operation.answer is None
        if operation.answer is not None:
            return operation.answer
        return Error(Unsettled(detail="the claim was not settled in time"))

    async def end(
        self, digest: bytes, record: Record, seconds: float = RECORD_SECONDS
    ) -> bool:
        """Record how a request ended; try again until it stands or time is up."""
        wait = FIRST_RETRY_SECONDS
        with anyio.move_on_after(seconds):
            while True:
                answer = await self._forwarded(False, digest, record)
                if answer is None:
                    answer = await self.end_here(digest, record)
                if answer.is_ok():
                    return True
                await anyio.sleep(wait * (0.5 + self.random_source.random()))
                wait = min(2 * wait, LONGEST_RETRY_SECONDS)
        return False

    async def end_here(
        self, digest: bytes, record: Record
    ) -> Result[ClaimAnswer, ClaimError]:
        """Record the end of a request through this daemon's own writer, once."""
        operation = self._operation(digest, record, decide_end)
        self._add(operation)
        await operation.answered.wait()
        assert operation.answer is not None
        return operation.answer

    async def trim(self) -> None:
        """Delete expired claims of the slices that this daemon writes."""
        for writer in list(self.writers.values()):
            if not writer.working:
                await writer.log.trim()

    def _release(self, digest: bytes, record: Record) -> None:
        """Release, in the background, a claim whose request will not run."""
        released = msgspec.structs.replace(record, state=State.RELEASED)
        assert self.tasks is not None
        self.tasks.start_soon(self.end, digest, released, RELEASE_SECONDS)

    def _operation(self, digest: bytes, record: Record, decide) -> Operation:
        return Operation(
            digest=digest,
            record=record,
            decide=decide,
            urgent=decide is decide_claim,
            asked=anyio.current_time(),
        )

    def _add(self, operation: Operation) -> None:
        writer = self._writer(slice_of(operation.digest))
        if writer.add(operation):
            assert self.tasks is not None
            self.tasks.start_soon(writer.work)

    def _writer(self, number: int) -> SliceWriter:
        writer = self.writers.get(number)
        if writer is None:
            log = SliceLog(
                number=number,
                store=self.store,
                wall_clock=self.wall_clock,
                keep_seconds=self.keep_seconds,
            )
            writer = SliceWriter(
                log=log,
                random_source=self.random_source,
                group_seconds=self.group_seconds,
            )
            self.writers[number] = writer
        return writer

    async def _forwarded(
        self, is_claim: bool, digest: bytes, record: Record
    ) -> Result[ClaimAnswer, ClaimError] | None:
        if self.forward is None:
            return None
        owner = slice_owner(slice_of(digest), self.live_daemons())
        now = anyio.current_time()
        if owner == self.daemon or self.avoided.get(owner, now) > now:
            return None
        answer = None
        with anyio.move_on_after(FORWARD_SECONDS):
            answer = await self.forward(owner, is_claim, digest, record)
        if answer is None:
            self.avoided[owner] = anyio.current_time() + AVOID_SECONDS
        return answer
