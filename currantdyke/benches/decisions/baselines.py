"""The policies that the daemon's own are measured against."""

import itertools
from collections.abc import Sequence

import attrs

from currantdyke.benches.decisions.cell import PolicyUnderTest
from currantdyke.bundle import Policy
from currantdyke.daemon import Daemon
from currantdyke.endpoints import Endpoint
from currantdyke.pipelines import Decisions, StageNeed

__all__ = ["POLICIES"]

NAIVE_RETRIES = 3


def round_robin(daemon: Daemon) -> Decisions:
    """Return decisions that take everything in and take turns."""
    turns = itertools.count(daemon.random_source.randrange(1000))

    def choose(need: StageNeed, found: Sequence[Endpoint]) -> Endpoint | None:
        able = [endpoint for endpoint in found if not endpoint.leaving]
        return able[next(turns) % len(able)] if able else None

    return _open_door(choose=choose, retries=0)


def least_in_flight(daemon: Daemon) -> Decisions:
    """Return decisions that take everything in and retry three times."""

    def choose(need: StageNeed, found: Sequence[Endpoint]) -> Endpoint | None:
        able = [endpoint for endpoint in found if not endpoint.leaving]
        draw = daemon.random_source.random
        return min(able, key=lambda e: (e.in_flight, draw()), default=None)

    return _open_door(choose=choose, retries=NAIVE_RETRIES)


def _open_door(*, choose, retries: int) -> Decisions:
    return Decisions(
        admit=lambda bundle, pipeline, exchange: None,
        choose=choose,
        may_retry=lambda need: len(need.tried) <= retries,
        learn=lambda need, endpoint, report: None,
        ended=lambda exchange: None,
    )


POLICIES = (
    PolicyUnderTest(name="round robin", policy=Policy(), replace_decisions=round_robin),
    PolicyUnderTest(
        name="naive retries", policy=Policy(), replace_decisions=least_in_flight
    ),
    PolicyUnderTest(name="attainment", policy=Policy()),
    PolicyUnderTest(name="cost", policy=attrs.evolve(Policy(), objective="cost")),
)
