"""Refuse at once what the stages can't do in time, and say when to retry."""

import attrs

from currantdyke.conductor.chain import bytes_to_set_aside
from currantdyke.conductor.messages import PlacementRequest, Refusal
from currantdyke.conductor.stages import StageQueues
from currantdyke.conductor.workers import Worker

__all__ = ["Admission", "expected_seconds"]

# From the last stage to the first event: the engine reads the prompt.
ENGINE_SECONDS = 0.15
# A result takes memory for about this long: its call, and the start of the engine.
HOLD_SECONDS = 0.75
# Calls are not always full, and work arrives unevenly.
QUEUE_FACTOR = 1.2
MIN_RETRY_SECONDS = 0.3
# Callers wait up to a third of the time they have left.
MAX_RETRY_SHARE = 0.33
# Share of its target that a request may be expected to take, by rank: the most urgent
# are admitted if they would hardly be late, the least urgent only with time to spare.
TOLERANCE_BY_RANK = (1.15, 1.0, 0.85)


@attrs.define(kw_only=True, eq=False)
class Admission:
    """Decides which requests are admitted, and when the others should retry.

    Attributes
    ----------
    next_return_at : float
        When the next refused request should retry; each takes its share of the time
        that the stages have after their queues.
    """

    stages: StageQueues
    next_return_at: float = 0.0

    def refuse(self, request: PlacementRequest, now: float) -> Refusal | None:
        """Return why a request can't be served in time, or None to admit it.

        The less urgent are kept out as soon as they would be late, so that the queues
        do not make the more urgent ones late. Those are admitted late only as long as
        their callers would still be there.
        """
        if not any(request.pieces) or request.again:
            return None
        in_time, at_all = expected_seconds(request, self.stages, now)
        tolerance = TOLERANCE_BY_RANK[min(request.rank, len(TOLERANCE_BY_RANK) - 1)]
        if in_time + ENGINE_SECONDS <= request.target * tolerance:
            return None
        if not request.gives_way and at_all + ENGINE_SECONDS <= request.deadline:
            return None
        return Refusal(
            code="overloaded",
            detail=f"the stages would take {in_time:.2f} s, and {at_all:.2f} s if late",
            retry_after=self._return_after(request, at_all, now),
        )

    def _return_after(
        self, request: PlacementRequest, at_all: float, now: float
    ) -> float:
        """Return when the stages have time for the request, after those before it."""
        longest = MAX_RETRY_SHARE * request.deadline
        soonest = now + max(MIN_RETRY_SECONDS, at_all - request.target)
        returns_at = max(soonest, self.next_return_at)
        self.next_return_at = returns_at + own_share(request, self.stages)
        return min(longest, returns_at - now)


def own_share(request: PlacementRequest, stages: StageQueues) -> float:
    """Return the seconds that a request takes all endpoints of its busiest service."""
    shares = [0.0]
    for step, count in zip(request.steps, request.pieces, strict=True):
        limits = stages.limits(step.service)
        if limits is not None and count:
            workers = max(1, len(stages.service_workers(step.service)))
            piece = limits.call_seconds / limits.batch + limits.piece_seconds
            shares.append(count * piece / (workers * limits.slots))
    return max(shares)


def expected_seconds(
    request: PlacementRequest, stages: StageQueues, now: float
) -> tuple[float, float]:
    """Return how long the stages would take, before and after the work that is late.

    The work of all admitted chains is counted, also at stages that they
    have not come to.
    """
    backlogs = {
        step.service: _backlog(step.service, stages, now)
        for step, count in zip(request.steps, request.pieces, strict=True)
        if count
    }
    in_time = _chain_seconds(request, stages, {k: v[0] for k, v in backlogs.items()})
    at_all = _chain_seconds(request, stages, {k: sum(v) for k, v in backlogs.items()})
    return in_time, at_all


def _chain_seconds(
    request: PlacementRequest, stages: StageQueues, backlogs: dict[str, float]
) -> float:
    """Return when the last stage would end, with the seconds of work before it."""
    ends: dict[int, float] = {}
    for number, step in enumerate(request.steps):
        begins = max((ends[before] for before in step.after), default=0.0)
        limits = stages.limits(step.service)
        count = request.pieces[number]
        if limits is None or count == 0:
            ends[number] = begins
            continue
        together = min(count, limits.batch)
        own = limits.call_seconds + together * limits.piece_seconds
        ends[number] = max(begins, backlogs[step.service]) + own
    return max(ends.values(), default=0.0)


def _backlog(service: str, stages: StageQueues, now: float) -> tuple[float, float]:
    """Return the seconds of work in time, and of late work, that a service has."""
    limits = stages.limits(service)
    workers = [w for w in stages.service_workers(service) if w.is_reachable(now)]
    if limits is None or not workers:
        return 0.0, 0.0
    pieces = [0, 0]
    results = [0, 0]
    for chain in stages.live.values():
        late = int(chain.target_at < now)
        for step, missing in zip(chain.request.steps, chain.missing, strict=True):
            if step.service == service:
                pieces[late] += missing
                results[late] += missing * bytes_to_set_aside(step)
    share = limits.call_seconds / limits.batch + limits.piece_seconds
    seconds = [
        QUEUE_FACTOR * count * share / (len(workers) * limits.slots) for count in pieces
    ]
    held = [_hold_seconds(size, workers, limits.result_room_bytes) for size in results]
    return max(seconds[0], held[0]), max(seconds[1], held[1])


def _hold_seconds(result_bytes: int, workers: list[Worker], room: int) -> float:
    """Return how long results take to pass through the memory for them."""
    if room <= 0:
        return 0.0
    free = room * len(workers)
    return max(0.0, HOLD_SECONDS * (result_bytes / free - 0.5))
