"""The decisions that a run asks for, as functions that can be exchanged."""

import random
from collections.abc import Callable, Collection, Sequence

import anyio
import attrs

from currantdyke.bundle import Bundle, Pipeline, Policy, Service
from currantdyke.core import Failure
from currantdyke.endpoints import Endpoint
from currantdyke.requests import Exchange
from currantdyke.routing import choose_endpoint
from currantdyke.stagecalls import AttemptReport

__all__ = ["Decisions", "StageNeed", "make_decisions"]


@attrs.frozen(kw_only=True)
class StageNeed:
    """What a decision about one stage call goes by."""

    exchange: Exchange
    service_name: str
    service: Service
    policy: Policy
    tried: Collection[str] = ()

    def seconds_left(self) -> float:
        """Return the seconds until the request's deadline."""
        return self.exchange.deadline - anyio.current_time()


@attrs.define(kw_only=True, eq=False)
class Decisions:
    """Decisions of a daemon.

    Attributes
    ----------
    admit : callable
        Takes a request in, or returns why not, before anything is dispatched.
    choose : callable
        Returns the endpoint for a stage call, or None.
    may_retry : callable
        Returns whether a stage whose call failed may call again.
    learn : callable
        Takes note of how a call ended.
    ended : callable
        Takes note that an admitted request has ended.
    """

    admit: Callable[[Bundle, Pipeline, Exchange], Failure | None]
    choose: Callable[[StageNeed, Sequence[Endpoint]], Endpoint | None]
    may_retry: Callable[[StageNeed], bool]
    learn: Callable[[StageNeed, Endpoint, AttemptReport], None]
    ended: Callable[[Exchange], None]


def make_decisions(random_source: random.Random) -> Decisions:
    """Return the decisions that daemons make."""

    def choose(need: StageNeed, candidates: Sequence[Endpoint]) -> Endpoint | None:
        return choose_endpoint(
            candidates,
            tried=need.tried,
            random_source=random_source,
        )

    return Decisions(
        admit=lambda bundle, pipeline, exchange: None,
        choose=choose,
        may_retry=lambda need: len(need.tried) < need.policy.max_attempts,
        learn=lambda need, endpoint, report: None,
        ended=lambda exchange: None,
    )
