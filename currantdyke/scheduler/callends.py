"""What the end of a call to a stage endpoint means for the chains of its pieces."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import StageLimits
from currantdyke.decisionlog import DecisionLog
from currantdyke.platform.stagecalls import PieceFailure, PieceResult
from currantdyke.scheduler.chain import Chain, Piece
from currantdyke.scheduler.livecall import LiveCall
from currantdyke.scheduler.queue import ServiceQueue
from currantdyke.scheduler.results import HeldResults
from currantdyke.scheduler.stagecall import CallOutcome
from currantdyke.scheduler.workers import Worker

__all__ = ["MAX_FAILED_CALLS", "CallEnds"]

# A request is refused when this many calls with one of its pieces have failed.
MAX_FAILED_CALLS = 4
# A chain is restarted once if an endpoint has lost one of its results.
MAX_RESTARTS = 1
# An endpoint that rejected a call as busy is avoided for about a quarter of a call.
BUSY_AVOID_SECONDS = 0.08
# Requests of a failed call that its log line names.
MAX_LOGGED_REQUESTS = 8


@attrs.define(kw_only=True, eq=False)
class CallEnds:
    """Uses the results of calls, and returns pieces without one to their chains.

    A piece without a result is awaited if its chain has neither ended nor begun another
    run since the call was sent. What happens to the others decides nothing, but results
    are used whatever run they were made for.

    Attributes
    ----------
    results : HeldResults
        The results that endpoints hold.
    live_calls : list of LiveCall
        Calls in progress.
    queue : callable
        Returns the queue of a service.
    take_retry : callable
        Takes a retry from the budget of a service; returns False if there is none.
    fail : callable
        Refuses a chain, with a code and a text.
    remove_chain : callable
        Removes the queued work and releases the results of a chain.
    """

    results: HeldResults
    live_calls: list[LiveCall]
    log: DecisionLog
    queue: Callable[[str], ServiceQueue]
    take_retry: Callable[[str], bool]
    fail: Callable[[Chain, str, str], None]
    remove_chain: Callable[[Chain], None]

    def apply(
        self, call: LiveCall, outcome: CallOutcome, limits: StageLimits, *, since: float
    ) -> None:
        """Apply the outcome of a call.

        Parameters
        ----------
        limits : StageLimits
            Limits of the endpoint's service.
        since : float
            Monotonic time in seconds at which the call was sent.
        """
        awaited = call.awaited_pieces()
        if outcome.results is not None:
            self._take_results(call, outcome.results, awaited, limits, since)
        elif outcome.evacuated:
            for piece in awaited:
                self._return(piece)
        else:
            self._handle_failure(call, outcome, awaited)

    def _take_results(
        self,
        call: LiveCall,
        results: list[PieceResult],
        awaited: list[Piece],
        limits: StageLimits,
        since: float,
    ) -> None:
        now = anyio.current_time()
        if all(result.handle is not None for result in results):
            call.worker.record_success(now - since, call.expected_seconds, now)
        current = set(awaited)
        lost = []
        for piece, result in zip(call.pieces, results, strict=True):
            if result.handle is not None:
                ends_at = now + limits.result_ttl
                size = piece.result_bytes
                self.results.add(result.handle, call.worker, size, ends_at, since=since)
                self._take_result(piece, result.handle, is_awaited=piece in current)
                continue
            if result.failure is PieceFailure.NO_ROOM:
                self._record_no_room(piece, call.worker, limits, now)
            if piece not in current or piece.chain.ended.is_set():
                continue
            match result.failure:
                case PieceFailure.LATE:
                    self.fail(piece.chain, "deadline", "a stage was too late")
                case PieceFailure.INPUT_GONE:
                    lost.append(piece.chain)
                case PieceFailure.NO_ROOM:
                    self._return(piece)
                case _:
                    self._retry(piece, "a stage failed")
        for chain in dict.fromkeys(lost):
            if not chain.ended.is_set():
                self._restart(chain, call.worker)

    def _take_result(self, piece: Piece, handle: str, *, is_awaited: bool) -> None:
        """Use a result, or release it if its request has no use for it."""
        if piece.chain.ended.is_set() or piece.handle is not None:
            self.results.release(handle)
            return
        piece.set_result(handle)
        if not is_awaited:
            # The current run of the chain may have queued the piece already.
            self.queue(piece.step.service).withdraw(piece)

    def _record_no_room(
        self, piece: Piece, worker: Worker, limits: StageLimits, now: float
    ) -> None:
        worker.record_no_room(limits, now)
        self.log.write(
            "stage_no_room",
            failure=True,
            request=piece.chain.request.attempt_id,
            endpoint=worker.endpoint.instance,
            service=worker.endpoint.service,
            result_bytes=piece.result_bytes,
            room_expected=worker.unaccounted_bytes,
            results=len(worker.results),
        )

    def _handle_failure(
        self, call: LiveCall, outcome: CallOutcome, awaited: list[Piece]
    ) -> None:
        """Avoid the endpoint of a failed call, and retry the call's pieces."""
        now = anyio.current_time()
        worker = call.worker
        if outcome.not_run and not outcome.misdirected:
            worker.avoid_until = now + BUSY_AVOID_SECONDS
        else:
            worker.record_failure(now)
        logged = call.pieces[:MAX_LOGGED_REQUESTS]
        self.log.write(
            "stage_call_failed",
            failure=True,
            service=worker.endpoint.service,
            endpoint=worker.endpoint.instance,
            requests=[piece.chain.request.attempt_id for piece in logged],
            pieces=len(call.pieces),
            awaited=len(awaited),
            reason=outcome.reason,
        )
        # What was not sent has loaded no endpoint, so that it costs no retry.
        prepaid = call.given_up or not outcome.sent
        for piece in awaited:
            if not piece.chain.ended.is_set():
                self._retry(piece, outcome.reason, prepaid=prepaid)

    def _retry(self, piece: Piece, reason: str, *, prepaid: bool = False) -> None:
        """Return a piece to its chain within the retry budget, or refuse the chain.

        Parameters
        ----------
        prepaid : bool
            Whether the retry was taken from the budget before, or costs none.
        """
        piece.failed_calls += 1
        allowed = piece.failed_calls < MAX_FAILED_CALLS and (
            prepaid or self.take_retry(piece.step.service)
        )
        if allowed:
            self._return(piece)
        else:
            self.fail(piece.chain, "stage_failed", reason)

    def _return(self, piece: Piece) -> None:
        """Have a piece queued again with the next work of its chain."""
        piece.chain.returned.append(piece)

    def _restart(self, chain: Chain, worker: Worker) -> None:
        """Run the stages of a chain anew, since an endpoint has found a result gone."""
        self.log.write(
            "stages_restarted",
            failure=True,
            request=chain.request.attempt_id,
            run=chain.run,
            service=worker.endpoint.service,
            endpoint=worker.endpoint.instance,
            calls=sum(
                any(piece.chain is chain for piece in call.awaited_pieces())
                for call in self.live_calls
            ),
        )
        if chain.run >= MAX_RESTARTS:
            self.fail(chain, "input_gone", "a result was gone twice")
            return
        self.remove_chain(chain)
        chain.restart()
