"""An upper bound on the requests that any policy could answer in time.

The engines are taken as one fluid machine that always works at full batches and
finds every prefix cached; its rate is the sum over the engines that are alive,
each divided by how much it is slowed.  A request may use it from its arrival plus
its own encode and retrieve time until its deadline.  Requests are taken in order
of arrival; whenever one would end late, the longest request taken so far is left
out.  Arrivals and deadlines come in the same order, for which this rule leaves out
the fewest.  Rerank, delays, failures that must be repeated and the time that one
request's tokens take are left out of the bound, which makes it the higher.
"""

import heapq
from collections.abc import Callable, Sequence

from currantdyke.benches.decisions.workload import SimulatedRequest

__all__ = ["bound_attainment"]

STEP_SECONDS = 0.05


def bound_attainment(
    requests: Sequence[SimulatedRequest], rate_at: Callable[[float], float]
) -> float:
    """Return the share of requests that the bound answers in time.

    Parameters
    ----------
    requests : sequence of SimulatedRequest
        All requests of the pipeline, known beforehand.
    rate_at : callable
        Engine-seconds a second that are left at a time.
    """
    accepted: list[tuple[float, int]] = []
    dropped = 0
    backlog = 0.0
    clock = 0.0
    for request in sorted(requests, key=lambda request: request.arrived_at):
        release = (
            request.arrived_at
            + request.stage_seconds["encoder"]
            + request.stage_seconds["retriever"]
        )
        while clock < release:
            backlog = max(0.0, backlog - rate_at(clock) * STEP_SECONDS)
            clock += STEP_SECONDS
        heapq.heappush(accepted, (-request.engine_seconds, request.number))
        backlog += request.engine_seconds
        if backlog > _capacity_between(
            clock, request.arrived_at + request.deadline, rate_at
        ):
            longest, _ = heapq.heappop(accepted)
            backlog = max(0.0, backlog + longest)
            dropped += 1
    return 1.0 - dropped / max(1, len(requests))


def _capacity_between(
    start: float, end: float, rate_at: Callable[[float], float]
) -> float:
    steps = int((end - start) / STEP_SECONDS)
    return sum(rate_at(start + n * STEP_SECONDS) for n in range(steps)) * STEP_SECONDS
