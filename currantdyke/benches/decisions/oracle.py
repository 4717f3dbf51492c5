"""Upper bound on the fraction of requests that any policy can answer in time.

The engines are modelled as a single fluid server that always runs full batches and
finds every prefix cached.  Its rate is the sum over the running engines, each divided
by its slowdown factor.  A request may use the server from its arrival plus its own
encode and retrieve time until its deadline.  Requests are added in order of arrival;
whenever one would end late, the longest request added so far is dropped.  Because
arrivals and deadlines have the same order, this rule drops the fewest requests.  The
model ignores reranking, network delays, retries after failures and the decoding time
of a single request, all of which would only lower the bound.
"""

import heapq
from collections.abc import Callable, Sequence

from currantdyke.benches.decisions.workload import SimulatedRequest

__all__ = ["bound_attainment"]

STEP_SECONDS = 0.05


def bound_attainment(
    requests: Sequence[SimulatedRequest], rate_at: Callable[[float], float]
) -> float:
    """Return the upper bound as a fraction of the requests.

    Parameters
    ----------
    requests : sequence of SimulatedRequest
        All requests of the pipeline, known in advance.
    rate_at : callable
        Returns the engine capacity at a time, in engine-seconds per second.
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
