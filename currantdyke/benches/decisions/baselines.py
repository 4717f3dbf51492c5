"""Baseline policies, and the list of all policies that the benchmark compares."""

import itertools
from collections.abc import Sequence

from currantdyke.benches.decisions.cell import PolicyUnderTest
from currantdyke.bundle import Policy
from currantdyke.daemon import Daemon
from currantdyke.endpoints import Endpoint
from currantdyke.pipelines import DecisionContext, Decisions

__all__ = ["POLICIES"]

NAIVE_RETRIES = 3
FIRST_POLICY_RETRIES = 2


def round_robin(daemon: Daemon) -> Decisions:
    """Return decisions that admit all requests and choose endpoints in rotation."""
    counter = itertools.count(daemon.random_source.randrange(1000))

    def choose(context: DecisionContext, found: Sequence[Endpoint]) -> Endpoint | None:
        candidates = [endpoint for endpoint in found if not endpoint.leaving]
        return candidates[next(counter) % len(candidates)] if candidates else None

    return _without_admission_control(choose=choose, retries=0)


def least_in_flight(daemon: Daemon) -> Decisions:
    """Return decisions that choose by fewest requests in flight and retry 3 times.

    All requests are admitted.
    """

    def choose(context: DecisionContext, found: Sequence[Endpoint]) -> Endpoint | None:
        candidates = [endpoint for endpoint in found if not endpoint.leaving]
        draw = daemon.random_source.random
        return min(candidates, key=lambda e: (e.in_flight, draw()), default=None)

    return _without_admission_control(choose=choose, retries=NAIVE_RETRIES)


def power_of_two_choices(daemon: Daemon) -> Decisions:
    """Return the daemon's first policy: best of two random endpoints.

    All requests are admitted.
    """

    def expected_seconds(endpoint: Endpoint) -> float:
        seconds = endpoint.seconds or 0.1
        return (endpoint.in_flight + 1) / endpoint.spec.slots * seconds

    def choose(context: DecisionContext, found: Sequence[Endpoint]) -> Endpoint | None:
        candidates = [endpoint for endpoint in found if not endpoint.leaving]
        untried = [e for e in candidates if e.name not in context.tried] or candidates
        count = min(2, len(untried))
        return min(
            daemon.random_source.sample(untried, count),
            key=expected_seconds,
            default=None,
        )

    return _without_admission_control(choose=choose, retries=FIRST_POLICY_RETRIES)


def _without_admission_control(*, choose, retries: int) -> Decisions:
    return Decisions(
        admit=lambda bundle, pipeline, exchange: None,
        choose=choose,
        may_retry=lambda context: len(context.tried) <= retries,
        should_move=lambda context, endpoint, tokens: False,
        should_run_optional=lambda exchange, stage: True,
        observe_report=lambda context, endpoint, report: None,
        release=lambda exchange: None,
    )


POLICIES = (
    PolicyUnderTest(name="round robin", policy=Policy(), replace_decisions=round_robin),
    PolicyUnderTest(
        name="naive retries", policy=Policy(), replace_decisions=least_in_flight
    ),
    PolicyUnderTest(
        name="first policy", policy=Policy(), replace_decisions=power_of_two_choices
    ),
    PolicyUnderTest(name="attainment", policy=Policy()),
    PolicyUnderTest(name="cost", policy=Policy(objective="cost")),
)
