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

from currantdyke.benches.decisions.world import Ask

__all__ = ["bound_attainment"]

STEP_SECONDS = 0.05


def bound_attainment(asks: Sequence[Ask], rate_at: Callable[[float], float]) -> float:
    """Return the share of requests that the bound answers in time.

    Parameters
    ----------
    asks : sequence of Ask
        All requests of the pipeline, known beforehand.
    rate_at : callable
        Engine-seconds a second that are left at a time.
    """
    taken: list[tuple[float, int]] = []
    left_out = 0
    work = 0.0
    clock = 0.0
    for ask in sorted(asks, key=lambda ask: ask.at):
        release = ask.at + ask.seconds["encoder"] + ask.seconds["retriever"]
        while clock < release:
            work = max(0.0, work - rate_at(clock) * STEP_SECONDS)
            clock += STEP_SECONDS
        heapq.heappush(taken, (-ask.engine_seconds, ask.number))
        work += ask.engine_seconds
        if work > _work_until(clock, ask.at + ask.deadline, rate_at):
            longest, _ = heapq.heappop(taken)
            work = max(0.0, work + longest)
            left_out += 1
    return 1.0 - left_out / max(1, len(asks))


def _work_until(start: float, end: float, rate_at: Callable[[float], float]) -> float:
    steps = int((end - start) / STEP_SECONDS)
    return sum(rate_at(start + n * STEP_SECONDS) for n in range(steps)) * STEP_SECONDS
