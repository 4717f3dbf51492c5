"""Selection of the pieces of the next call to an endpoint."""

import math
from collections.abc import Callable

from currantdyke.catalog import StageLimits
from currantdyke.scheduler.chain import Chain, Piece, StageWork
from currantdyke.scheduler.workers import Worker

__all__ = ["ResultMemory", "chains_with_whole_stage", "next_batch"]

# An endpoint slower than the fastest one by this factor is used only when there is more
# work than one batch for each faster endpoint.
SLOW_RATIO = 2.0
# Work stays in its preferred zone, since traffic between zones is charged, unless it
# would wait there for more than this share of the time left until its target.
MAX_ZONE_WAIT_SHARE = 0.15
# With less time than this until the target, about two calls, a stage is split over
# several calls rather than waiting for an endpoint that takes all of it.
MIN_WHOLE_STAGE_SECONDS_LEFT = 0.6


class ResultMemory:
    """The memory for results of a service's endpoints, during one dispatch.

    Parameters
    ----------
    workers : list of Worker
        Reachable endpoints.
    ready : list of Piece
        Pieces for whose results there is memory, and that were not called yet.
    """

    def __init__(
        self,
        *,
        workers: list[Worker],
        ready: list[Piece],
        limits: StageLimits,
        now: float,
    ):
        self.bounded = limits.result_memory_bytes > 0 and bool(workers)
        self.free_bytes = [max(0, w.free_result_bytes(limits, now)) for w in workers]
        self.occupied = any(w.results or w.reserved for w in workers)
        self.pending_bytes = sum(piece.result_bytes for piece in ready)
        self.capacities: dict[int, int] = {}

    def fits(self, work: StageWork) -> bool:
        """Return whether all results of the work fit besides those of ready pieces.

        This also holds for results without a size, without a limit on memory or without
        endpoints, and for work that may become ready alone.
        """
        size = work.pieces[0].result_bytes
        if size <= 0 or not self.bounded:
            return True
        capacity = self.capacities.get(size)
        if capacity is None:
            capacity = sum(free // size for free in self.free_bytes)
            self.capacities[size] = capacity
        if capacity - math.ceil(self.pending_bytes / size) >= len(work.pieces):
            return True
        # Work whose results exceed the memory of empty endpoints becomes ready alone;
        # each call takes as many of its pieces as fit.
        return not self.pending_bytes and not self.occupied

    def reserve(self, work: StageWork) -> None:
        """Count the results of work that becomes ready."""
        self.pending_bytes += sum(piece.result_bytes for piece in work.pieces)


def next_batch(
    worker: Worker,
    workers: list[Worker],
    ready: list[Piece],
    limits: StageLimits,
    now: float,
    *,
    key: Callable[[Piece, float], tuple],
) -> list[Piece]:
    """Return the pieces that a free endpoint should run next, the most urgent first.

    There are none for a slow endpoint while faster ones suffice. Pieces are left out
    if their results do not fit in its memory, if they should wait for an endpoint of
    their preferred zone, or if their stage should wait for an endpoint that takes all
    of its pieces.

    Parameters
    ----------
    workers : list of Worker
        All endpoints of the service.
    key : callable
        Returns the sort key of a piece at a time.
    """
    if not ready or _should_avoid(worker, workers, ready, limits, now):
        return []
    free_bytes = worker.free_result_bytes(limits, now)
    batch: list[Piece] = []
    zone_waits = _zone_waits(worker, workers, ready, limits, now)
    for group in _group_by_stage(ready, key, now):
        chain = group[0].chain
        outside_zone = chain.preferred_zone != worker.zone
        if outside_zone and zone_waits.get(
            chain.preferred_zone, math.inf
        ) < _max_zone_wait(group[0], now):
            continue
        capacity = limits.batch - len(batch)
        if group[0].result_bytes > 0:
            capacity = min(capacity, free_bytes // group[0].result_bytes)
        if (
            outside_zone
            and capacity < len(group)
            and _waits_for_whole_stage(group, limits, now)
        ):
            continue
        selected = group[: max(0, capacity)]
        free_bytes -= sum(piece.result_bytes for piece in selected)
        batch += selected
        if len(batch) == limits.batch:
            break
    return batch


def _waits_for_whole_stage(group: list[Piece], limits: StageLimits, now: float) -> bool:
    """Return whether a stage waits for an endpoint that takes all of its pieces.

    This applies outside the preferred zone: if the results were in two zones, the next
    stage would have to fetch all of them.
    """
    chain = group[0].chain
    return (
        len(group) <= limits.batch
        and bool(chain.successors(group[0].stage))
        and chain.target_at - now > MIN_WHOLE_STAGE_SECONDS_LEFT
    )


def _group_by_stage(
    ready: list[Piece], key: Callable[[Piece, float], tuple], now: float
) -> list[list[Piece]]:
    """Group pieces by chain and stage, the most urgent group first."""
    groups: dict[tuple[int, int], list[Piece]] = {}
    for piece in ready:
        groups.setdefault((id(piece.chain), piece.stage), []).append(piece)
    return sorted(groups.values(), key=lambda group: key(group[0], now))


def chains_with_whole_stage(batch: list[Piece]) -> list[Chain]:
    """Return the chains of which the batch has all pieces of a non-final stage.

    A chain is repeated for each of these pieces. Its later stages should run in the
    zone that holds those results.
    """
    counts: dict[tuple[int, int], int] = {}
    for piece in batch:
        stage_id = (id(piece.chain), piece.stage)
        counts[stage_id] = counts.get(stage_id, 0) + 1
    return [
        piece.chain
        for piece in batch
        if piece.chain.successors(piece.stage)
        and counts[id(piece.chain), piece.stage] == len(piece.chain.pieces[piece.stage])
    ]


def _max_zone_wait(piece: Piece, now: float) -> float:
    """Return the seconds that a piece may wait for its preferred zone."""
    return MAX_ZONE_WAIT_SHARE * max(0.0, piece.chain.target_at - now)


def _should_avoid(
    worker: Worker,
    workers: list[Worker],
    ready: list[Piece],
    limits: StageLimits,
    now: float,
) -> bool:
    """Return whether an endpoint is slow and the faster ones suffice.

    An endpoint that states its current speed is slow only for a moment. For it, only
    those others suffice on which a batch ends earlier.
    """
    fastest = min(other.call_factor(limits, now) for other in workers)
    if worker.call_factor(limits, now) <= SLOW_RATIO * fastest:
        return False
    faster = [
        other
        for other in workers
        if other.call_factor(limits, now) <= SLOW_RATIO * fastest
    ]
    if worker.states_speed(now):
        own_end = worker.batch_seconds(limits, now)
        faster = [w for w in faster if w.batch_seconds(limits, now) < own_end]
    return len(ready) <= len(faster) * limits.batch


def _zone_waits(
    worker: Worker,
    workers: list[Worker],
    ready: list[Piece],
    limits: StageLimits,
    now: float,
) -> dict[str, float]:
    """Return the seconds that work would wait for an endpoint of its zone, by zone.

    Zones without a usable endpoint that has memory for the results are left out.
    """
    full_call = limits.call_seconds + limits.batch * limits.piece_seconds
    piece_counts: dict[str, int] = {}
    smallest_results: dict[str, int] = {}
    for piece in ready:
        preferred = piece.chain.preferred_zone
        piece_counts[preferred] = piece_counts.get(preferred, 0) + 1
        smallest_results[preferred] = min(
            smallest_results.get(preferred, piece.result_bytes), piece.result_bytes
        )
    waits = {}
    for zone, pieces in piece_counts.items():
        local = [
            other
            for other in workers
            if other.zone == zone
            and other.is_reachable(now)
            and other.free_result_bytes(limits, now) >= smallest_results[zone]
            and not _should_avoid(other, workers, ready, limits, now)
        ]
        if not local:
            continue
        next_free_seconds = min(
            max(0.0, other.calls_end_at - now) if other.calls else 0.0
            for other in local
        )
        calls_ahead = max(0, pieces - limits.batch) / (limits.batch * len(local))
        slowness = min(other.call_factor(limits, now) for other in local)
        waits[zone] = (next_free_seconds + calls_ahead * full_call) * slowness
    return waits
