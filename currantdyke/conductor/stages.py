"""Queues of stage work, one for each service, and the calls that empty them."""

import math
from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from currantdyke.catalog import Endpoint, Service, StageLimits
from currantdyke.conductor.batches import fits_together, moves_home, next_batch
from currantdyke.conductor.chain import Chain, Piece, StageWork
from currantdyke.conductor.messages import Refusal
from currantdyke.conductor.queue import ServiceQueue
from currantdyke.conductor.results import HeldResults
from currantdyke.conductor.stagecall import CallOutcome, FreeResults, RunPieces
from currantdyke.conductor.urgency import rest_seconds, urgency
from currantdyke.conductor.workers import Worker
from currantdyke.decisionlog import DecisionLog, note_fault
from currantdyke.directory import Directory
from currantdyke.forward.budget import RepeatBudget
from currantdyke.platform.stagecalls import PieceCall, PieceFailure, PieceResult

__all__ = ["StageQueues"]

# A call that takes this many times as long as expected is given up; slow endpoints
# take up to five times as long and still bring results.
SILENT_FACTOR = 6.0
SILENT_EXTRA_SECONDS = 0.5
# A piece is tried this often before its request is refused.
MAX_TRIES = 4
# A chain whose inputs were lost begins again once.
MAX_RESTARTS = 1
# Work that waits for an endpoint to be usable again, or for one of its own zone, is
# looked at this often.
LOOK_AGAIN_SECONDS = 0.08
# An endpoint without room is avoided for about a quarter of a call.
BUSY_SECONDS = 0.08
# Work that needs less memory passes work that needs more for about one call.
PASSED_SECONDS = 0.3
RETRY_AFTER_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class StageQueues:
    """Work by service, and the endpoints that do it.

    Attributes
    ----------
    run_pieces, free_results : callable
        Call an endpoint; see `stagecall`.
    workers : dict of str to Worker
        By instance.
    live : dict of str to Chain
        Chains whose stages are not all done, by attempt id.
    """

    directory: Directory
    run_pieces: RunPieces
    free_results: FreeResults
    log: DecisionLog
    budget: Callable[[str], RepeatBudget]
    count_daemons: Callable[[], int]
    tasks: anyio.abc.TaskGroup | None = None
    queues: dict[str, ServiceQueue] = attrs.field(factory=dict)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    live: dict[str, Chain] = attrs.field(factory=dict)
    calls: int = 0
    pieces_called: int = 0
    results: HeldResults = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Dispatch waiting work when released results make room."""
        self.results = HeldResults(free_results=self._free_results, freed=self.dispatch)

    async def run(self) -> None:
        """Run calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = self.results.tasks = tasks
            for service in list(self.queues):
                self.dispatch(service)
            await anyio.sleep_forever()

    def limits(self, service: str) -> StageLimits | None:
        """Return how the endpoints of a service take calls, if they are configured."""
        if self.directory.routes is None:
            return None
        configured: Service | None = self.directory.routes.catalog.services.get(service)
        return None if configured is None else configured.stage

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        return self.queues.setdefault(service, ServiceQueue())

    def service_workers(self, service: str) -> list[Worker]:
        """Return the endpoints of a service that may get new work."""
        endpoints = self.directory.endpoints.of_service(service).values()
        return [self._worker(endpoint) for endpoint in endpoints]

    def start(self, chain: Chain) -> None:
        """Queue the work of all stages that can start; end a chain that is done."""
        if chain.ended.is_set():
            return
        self.live[chain.request.attempt_id] = chain
        services = []
        while stages := chain.ready_stages():
            for stage in stages:
                chain.started.add(stage)
                missing = [p for p in chain.pieces[stage] if p.handle is None]
                if missing:
                    work = StageWork(
                        chain=chain,
                        stage=stage,
                        pieces=missing,
                        since=anyio.current_time(),
                    )
                    self.queue(work.step.service).waiting.append(work)
                    services.append(work.step.service)
        if all(chain.is_done(stage) for stage in range(len(chain.pieces))):
            self.live.pop(chain.request.attempt_id, None)
            chain.finish()
        for service in dict.fromkeys(services):
            self.dispatch(service)

    def drop(self, chain: Chain) -> None:
        """Take a chain's waiting work out, and release all of its results."""
        self.live.pop(chain.request.attempt_id, None)
        for service in dict.fromkeys(step.service for step in chain.request.steps):
            self.queue(service).drop(chain)
        for stage in range(len(chain.pieces)):
            self.release(chain, stage)

    def release(self, chain: Chain, stage: int) -> None:
        """Release the results of a stage."""
        if stage in chain.released:
            return
        chain.released.add(stage)
        for piece in chain.pieces[stage]:
            if piece.handle is not None:
                self.results.give_up(piece.handle)

    def dispatch(self, service: str) -> None:
        """Send batches to the endpoints that are free."""
        limits = self.limits(service)
        queue = self.queue(service)
        if not queue or self.tasks is None:
            return
        if limits is None:
            self._refuse_all(queue, "the service takes no stage calls")
            return
        now = anyio.current_time()
        self._refuse_hopeless(queue, now)
        workers = self.service_workers(service)
        self._admit_to_room(queue, limits, workers, now)
        free = [worker for worker in workers if worker.is_free(limits, now)]
        free.sort(key=lambda worker: worker.expected_slowness(now))
        for worker in free:
            batch = next_batch(
                worker, workers, queue.ready, limits, now, key=self._piece_key
            )
            if batch:
                queue.take(batch)
                for chain in moves_home(batch):
                    chain.home = worker.zone
                self._call(limits, worker, batch, now)
        if queue:
            self._look_again(service, queue)

    async def tell_queues(self) -> None:
        """Log how long the queues are and what the endpoints do, if there is work."""
        now = anyio.current_time()
        for service, queue in self.queues.items():
            limits = self.limits(service)
            workers = [
                w for w in self.workers.values() if w.endpoint.service == service
            ]
            if limits is None or not (queue or any(w.calls for w in workers)):
                continue
            self.log.write(
                "stage_queue",
                service=service,
                waiting=sum(len(work.pieces) for work in queue.waiting),
                ready=len(queue.ready),
                late=sum(work.chain.target_at < now for work in queue.waiting),
                endpoints=[
                    (
                        worker.endpoint.instance,
                        worker.calls,
                        worker.room(limits, now),
                        round(worker.expected_slowness(now), 2),
                        round(max(0.0, worker.avoid_until - now), 2),
                    )
                    for worker in workers
                ],
            )

    def _piece_key(self, piece: Piece, now: float) -> tuple:
        return urgency(piece.chain, piece.stage, self.limits, now)

    def _refuse_hopeless(self, queue: ServiceQueue, now: float) -> None:
        """Refuse the chains that can't be done before their callers are gone."""
        for chain, stage in queue.stages():
            ends = now + rest_seconds(chain, stage, self.limits)
            if ends > chain.deadline_at and not chain.ended.is_set():
                self._fail(chain, "deadline", "the stages would end too late")

    def _admit_to_room(
        self,
        queue: ServiceQueue,
        limits: StageLimits,
        workers: list[Worker],
        now: float,
    ) -> None:
        """Let work start whose results all find room, the most urgent first.

        Chains that each held a part of the room that they need would wait for each
        other until their results end.
        """
        queue.waiting.sort(
            key=lambda work: urgency(work.chain, work.stage, self.limits, now)
        )
        reachable = [worker for worker in workers if worker.is_reachable(now)]
        blocked_bytes = math.inf
        left = []
        for work in queue.waiting:
            size = work.pieces[0].result_bytes
            if size < blocked_bytes and fits_together(
                work, queue.ready, reachable, limits, now
            ):
                queue.ready += work.pieces
                continue
            left.append(work)
            if now - work.since > PASSED_SECONDS:
                # Nothing of this size or more passes work that has waited for long.
                blocked_bytes = min(blocked_bytes, max(1, size))
        queue.waiting = left

    def _look_again(self, service: str, queue: ServiceQueue) -> None:
        """Dispatch again soon, also if no call ends and nothing arrives."""
        if queue.looks_again or self.tasks is None:
            return
        queue.looks_again = True
        self.tasks.start_soon(self._dispatch_later, service)

    async def _dispatch_later(self, service: str) -> None:
        await anyio.sleep(LOOK_AGAIN_SECONDS)
        self.queue(service).looks_again = False
        self.dispatch(service)

    def _worker(self, endpoint: Endpoint) -> Worker:
        worker = self.workers.get(endpoint.instance)
        if worker is None or worker.endpoint.born != endpoint.born:
            worker = self.workers[endpoint.instance] = Worker(endpoint=endpoint)
        worker.endpoint = endpoint
        return worker

    def _call(
        self, limits: StageLimits, worker: Worker, pieces: list[Piece], now: float
    ) -> None:
        expected = limits.call_seconds + len(pieces) * limits.piece_seconds
        worker.calls += 1
        worker.calls_end_at = now + expected * worker.expected_slowness(now)
        worker.reserved += sum(piece.result_bytes for piece in pieces)
        self.calls += 1
        self.pieces_called += len(pieces)
        assert self.tasks is not None
        self.tasks.start_soon(self._run_call, limits, worker, pieces, expected)

    async def _run_call(
        self,
        limits: StageLimits,
        worker: Worker,
        pieces: list[Piece],
        expected: float,
    ) -> None:
        started = anyio.current_time()
        calls = [self._piece_call(piece, started) for piece in pieces]
        timeout = expected * SILENT_FACTOR + SILENT_EXTRA_SECONDS
        outcome = await self._run_pieces(worker, calls, timeout)
        now = anyio.current_time()
        worker.calls -= 1
        worker.reserved -= sum(piece.result_bytes for piece in pieces)
        if outcome.results is not None:
            if all(result.handle is not None for result in outcome.results):
                worker.answered(now - started, expected, now)
            for piece, result in zip(pieces, outcome.results, strict=True):
                self._take_result(piece, result, worker, limits, now)
            self._restart_gone(pieces, outcome.results)
        else:
            self._call_failed(worker, pieces, outcome, now)
        for chain in {id(piece.chain): piece.chain for piece in pieces}.values():
            self._advance(chain)
        self.dispatch(worker.endpoint.service)

    async def _run_pieces(
        self, worker: Worker, calls: list[PieceCall], timeout: float
    ) -> CallOutcome:
        try:
            return await self.run_pieces(worker.endpoint, calls, timeout)
        except Exception as error:
            # A fault in one call must not end the stages of other requests.
            note_fault(self.log, error, where="a stage call")
            return CallOutcome(reason="internal error")

    async def _free_results(self, endpoint: Endpoint, handles: list[str]) -> bool:
        try:
            return await self.free_results(endpoint, handles)
        except Exception as error:
            # A fault in one call must not end the stages of other requests.
            note_fault(self.log, error, where="a release of results")
            return False

    def _piece_call(self, piece: Piece, now: float) -> PieceCall:
        chain = piece.chain
        first = not piece.step.after
        return PieceCall(
            attempt_id=chain.request.attempt_id,
            stage=piece.stage,
            index=piece.index,
            key=chain.request.stage_key if first else None,
            inputs=() if first else chain.inputs(piece.stage),
            remaining=chain.deadline_at - now,
        )

    def _take_result(
        self,
        piece: Piece,
        result: PieceResult,
        worker: Worker,
        limits: StageLimits,
        now: float,
    ) -> None:
        if result.handle is not None:
            ends_at = now + limits.result_ttl
            size = piece.result_bytes
            self.results.hold(result.handle, worker, size, ends_at)
            if piece.chain.ended.is_set() or piece.handle is not None:
                self.results.give_up(result.handle)
            else:
                piece.take(result.handle)
            return
        if piece.chain.ended.is_set():
            return
        match result.failure:
            case PieceFailure.LATE:
                self._fail(piece.chain, "deadline", "a stage was too late")
            case PieceFailure.INPUT_GONE:
                # The whole chain begins again, once for all of its pieces.
                return
            case PieceFailure.NO_ROOM:
                worker.had_no_room(limits, now)
                self.log.write(
                    "stage_no_room",
                    failure=True,
                    request=piece.chain.request.attempt_id,
                    endpoint=worker.endpoint.instance,
                    service=worker.endpoint.service,
                    result_bytes=piece.result_bytes,
                    room_expected=worker.unseen,
                    results=len(worker.results),
                )
                self._wait_again(piece)
            case _:
                self._again(piece, "a stage failed")

    def _call_failed(
        self, worker: Worker, pieces: list[Piece], outcome: CallOutcome, now: float
    ) -> None:
        if outcome.busy and not outcome.misdirected:
            worker.avoid_until = now + BUSY_SECONDS
        else:
            worker.failed(now)
        self.log.write(
            "stage_call_failed",
            failure=True,
            service=worker.endpoint.service,
            endpoint=worker.endpoint.instance,
            requests=[piece.chain.request.attempt_id for piece in pieces[:8]],
            pieces=len(pieces),
            reason=outcome.reason,
        )
        for piece in pieces:
            if not piece.chain.ended.is_set():
                self._again(piece, outcome.reason)

    def _again(self, piece: Piece, reason: str) -> None:
        """Queue a piece once more, within the budget of repeats."""
        piece.tries += 1
        service = piece.step.service
        allowed = piece.tries < MAX_TRIES and self.budget(service).spend(
            now=anyio.current_time(), daemons=self.count_daemons()
        )
        if allowed:
            self._wait_again(piece)
        else:
            self._fail(piece.chain, "stage_failed", reason)

    def _wait_again(self, piece: Piece) -> None:
        work = StageWork(
            chain=piece.chain,
            stage=piece.stage,
            pieces=[piece],
            since=anyio.current_time(),
        )
        self.queue(piece.step.service).waiting.append(work)

    def _restart_gone(self, pieces: list[Piece], results: list[PieceResult]) -> None:
        """Run the chains of which a result is gone from their beginning."""
        gone = dict.fromkeys(
            piece.chain
            for piece, result in zip(pieces, results, strict=True)
            if result.failure is PieceFailure.INPUT_GONE
        )
        for chain in gone:
            if not chain.ended.is_set():
                self._restart(chain)

    def _restart(self, chain: Chain) -> None:
        if chain.restarts >= MAX_RESTARTS:
            self._fail(chain, "input_gone", "a result was gone twice")
            return
        chain.restarts += 1
        self.drop(chain)
        chain.started.clear()
        chain.released.clear()
        for pieces in chain.pieces:
            for piece in pieces:
                piece.lose()

    def _advance(self, chain: Chain) -> None:
        """Release the results that are no longer needed and start what can start."""
        if chain.ended.is_set():
            return
        for stage in chain.spent_stages():
            self.release(chain, stage)
        self.start(chain)

    def _fail(self, chain: Chain, code: str, detail: str) -> None:
        chain.finish(Refusal(code=code, detail=detail, retry_after=RETRY_AFTER_SECONDS))
        self.drop(chain)

    def _refuse_all(self, queue: ServiceQueue, detail: str) -> None:
        for chain, _ in queue.stages():
            self._fail(chain, "no_stage_service", detail)
