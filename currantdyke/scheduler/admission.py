"""Admission control: refuse requests that the stages can't finish in time."""

import attrs

from currantdyke.catalog import order_stages
from currantdyke.scheduler.chain import bytes_to_reserve
from currantdyke.scheduler.leastcost import (
    MIN_RANK_SHARE,
    USABLE_MEMORY_SHARE,
    Demand,
    late_costs_others,
    max_time_ratio,
    memory_wait_seconds,
    retry_time,
)
from currantdyke.scheduler.messages import PlacementRequest, Refusal
from currantdyke.scheduler.stages import StageQueues

__all__ = ["AdmissionControl", "expected_stage_seconds"]

# Time from the end of the last stage to the first event, while the engine prefills.
ENGINE_START_SECONDS = 0.15
# Batches are not always full, and arrivals are bursty.
BACKLOG_FACTOR = 1.2
MIN_RETRY_SECONDS = 0.3
# Callers are asked to wait for at most a third of their remaining time.
MAX_RETRY_DEADLINE_SHARE = 0.33


@attrs.define(kw_only=True, eq=False)
class AdmissionControl:
    """Decides whether requests are admitted, and when refused ones should retry.

    Attributes
    ----------
    next_retry_at : dict of str to float
        From when no retry of a refused request is expected yet, by its busiest service.
        Each refusal advances it by the time that the request needs there.
    demand, admitted : dict of str to Demand
        Work of all recent requests, and of those that were admitted, by service.
    """

    stages: StageQueues
    next_retry_at: dict[str, float] = attrs.field(factory=dict)
    demand: dict[str, Demand] = attrs.field(factory=dict)
    admitted: dict[str, Demand] = attrs.field(factory=dict)

    def check(self, request: PlacementRequest, now: float) -> Refusal | None:
        """Return a refusal for a request that can't be served in time, or None.

        A request is admitted if its expected time to the first event, ahead of requests
        past their target, is at most its target times the tolerance of its rank.
        A rank that has less than its minimum is admitted up to its target. Otherwise,
        a sheddable request is refused, so that its work does not delay more urgent
        requests. Any other request is admitted late, behind requests past their target,
        if it is expected to start before its deadline and makes no others late. A
        request without pieces, or that was sent to an engine before, is not refused.
        """
        if not any(request.pieces) or request.is_retry:
            return None
        refusal = self._decide(request, now)
        self._record_demand(request, now, refused=refusal is not None)
        return refusal

    def _decide(self, request: PlacementRequest, now: float) -> Refusal | None:
        ahead_of_late, behind_late = expected_stage_seconds(request, self.stages, now)
        utilization = self._utilization(request, request.rank)
        tolerance = max_time_ratio(
            request.rank,
            utilization=utilization,
            urgent=self._utilization(request, request.rank - 1),
        )
        if ahead_of_late + ENGINE_START_SECONDS <= request.target * tolerance:
            return None
        if (
            ahead_of_late + ENGINE_START_SECONDS <= request.target
            and self._is_below_minimum(request)
        ):
            return None
        if (
            not request.sheddable
            and not late_costs_others(utilization)
            and behind_late + ENGINE_START_SECONDS <= request.deadline
        ):
            return None
        return Refusal(
            code="overloaded",
            detail=(
                f"the stages would take {ahead_of_late:.2f} s, "
                f"and {behind_late:.2f} s if late; requests no less urgent need "
                f"{utilization:.2f} of {self._busiest_service(request)}"
            ),
            retry_after=self._retry_after(request, behind_late, now),
        )

    def _utilization(self, request: PlacementRequest, rank: int) -> float:
        """Return the utilization of a request's busiest service by a rank or above."""
        return max(self._utilizations(request, rank).values(), default=0.0)

    def _utilizations(self, request: PlacementRequest, rank: int) -> dict[str, float]:
        """Return the utilization of a request's services by a rank or above."""
        return {
            service: self.demand.setdefault(service, Demand()).utilization(rank)
            for service in service_seconds(request, self.stages)
        }

    def _busiest_service(self, request: PlacementRequest) -> str:
        """Return the service of a request with the highest utilization, or ""."""
        utilizations = self._utilizations(request, request.rank)
        return max(utilizations, key=lambda name: utilizations[name], default="")

    def _record_demand(
        self, request: PlacementRequest, now: float, *, refused: bool
    ) -> None:
        """Record a request's work at its services, if refused only at the busiest one.

        The work of refused requests does not reach the other services.
        """
        busiest = self._busiest_service(request)
        for service, seconds in service_seconds(request, self.stages).items():
            if not refused or service == busiest:
                self.demand[service].record(request.rank, seconds, now)
            admitted = self.admitted.setdefault(service, Demand())
            admitted.record(request.rank, 0.0 if refused else seconds, now)

    def _is_below_minimum(self, request: PlacementRequest) -> bool:
        """Return whether a request's rank has less than its minimum at all services."""
        return all(
            service not in self.admitted
            or self.admitted[service].own_utilization(request.rank) < MIN_RANK_SHARE
            for service in service_seconds(request, self.stages)
        )

    def _retry_after(
        self, request: PlacementRequest, behind_late: float, now: float
    ) -> float:
        """Return the seconds after which a refused request should be retried.

        By then the stages are expected to have time for it, and for the retries of the
        requests that were refused before it, unless the delay is limited to
        `MAX_RETRY_DEADLINE_SHARE` of the request's deadline.
        """
        busiest = self._busiest_service(request)
        retry_at = retry_time(
            earliest=now + max(MIN_RETRY_SECONDS, behind_late - request.target),
            latest=now + MAX_RETRY_DEADLINE_SHARE * request.deadline,
            next_free=self.next_retry_at.get(busiest, 0.0),
        )
        seconds = service_seconds(request, self.stages).get(busiest, 0.0)
        self.next_retry_at[busiest] = retry_at + seconds
        return retry_at - now


def service_seconds(request: PlacementRequest, stages: StageQueues) -> dict[str, float]:
    """Return the seconds that a request occupies each of its services.

    All endpoints of a service are assumed to share the work.
    """
    seconds: dict[str, float] = {}
    for step, count in zip(request.steps, request.pieces, strict=True):
        limits = stages.limits(step.service)
        if limits is not None and count:
            workers = stages.service_workers(step.service)
            slots = sum(stages.call_slots(worker, limits) for worker in workers)
            seconds_per_piece = (
                limits.call_seconds / limits.batch + limits.piece_seconds
            )
            own = count * seconds_per_piece / (slots or limits.slots)
            capacity = limits.result_memory_bytes * len(workers)
            if capacity > 0:
                hold_seconds = stages.results.hold_seconds(step.service)
                usable = USABLE_MEMORY_SHARE * capacity
                own = max(own, count * bytes_to_reserve(step) * hold_seconds / usable)
            seconds[step.service] = seconds.get(step.service, 0.0) + own
    return seconds


def expected_stage_seconds(
    request: PlacementRequest, stages: StageQueues, now: float
) -> tuple[float, float]:
    """Return the expected seconds until a request's stages end, in two cases.

    In the first, the request runs ahead of the chains that are past their target, so
    that only the work of the other chains is counted. In the second, it runs behind
    them, and the work of all admitted chains is counted. Both include stages that have
    not started.
    """
    backlogs = {
        step.service: _backlog(step.service, stages, now)
        for step, count in zip(request.steps, request.pieces, strict=True)
        if count
    }
    ahead_of_late = _chain_seconds(
        request, stages, {k: v[0] for k, v in backlogs.items()}
    )
    behind_late = _chain_seconds(
        request, stages, {k: v[1] for k, v in backlogs.items()}
    )
    return ahead_of_late, behind_late


def _chain_seconds(
    request: PlacementRequest, stages: StageQueues, backlogs: dict[str, float]
) -> float:
    """Return the seconds until the last stage ends, given each service's backlog."""
    end_times: dict[int, float] = {}
    for number in order_stages(request.steps) or ():
        step = request.steps[number]
        start = max((end_times[predecessor] for predecessor in step.after), default=0.0)
        limits = stages.limits(step.service)
        count = request.pieces[number]
        if limits is None or count == 0:
            end_times[number] = start
            continue
        batch_size = min(count, limits.batch)
        own_seconds = limits.call_seconds + batch_size * limits.piece_seconds
        end_times[number] = max(start, backlogs[step.service]) + own_seconds
    return max(end_times.values(), default=0.0)


def _backlog(service: str, stages: StageQueues, now: float) -> tuple[float, float]:
    """Return a service's backlog in seconds: without and with late chains."""
    limits = stages.limits(service)
    workers = [w for w in stages.service_workers(service) if w.is_reachable(now)]
    if limits is None or not workers:
        return 0.0, 0.0
    pieces = [0, 0]
    result_bytes = [0, 0]
    for chain in stages.active_chains.values():
        late = int(chain.target_at < now)
        for step, missing in zip(chain.request.steps, chain.missing, strict=True):
            if step.service == service:
                pieces[late] += missing
                result_bytes[late] += missing * bytes_to_reserve(step)
    seconds_per_piece = limits.call_seconds / limits.batch + limits.piece_seconds
    slots = sum(stages.call_slots(worker, limits) for worker in workers) or limits.slots
    seconds = [BACKLOG_FACTOR * count * seconds_per_piece / slots for count in pieces]
    hold_seconds = [
        memory_wait_seconds(
            needed_bytes=size,
            held_bytes=sum(
                size for worker in workers for size, _ in worker.results.values()
            ),
            capacity_bytes=limits.result_memory_bytes * len(workers),
            hold_seconds=stages.results.hold_seconds(service),
        )
        for size in (result_bytes[0], sum(result_bytes))
    ]
    return max(seconds[0], hold_seconds[0]), max(sum(seconds), hold_seconds[1])
