"""The decisions that a run asks for, as functions that can be exchanged."""

from collections.abc import Callable, Collection, Sequence

import anyio
import attrs

from currantdyke.bundle import Bundle, Pipeline, Policy, Service, Stage
from currantdyke.core import Failure
from currantdyke.endpoints import Endpoint
from currantdyke.requests import Exchange
from currantdyke.stagecalls import AttemptEnd, AttemptReport

__all__ = ["Decisions", "StageNeed"]


@attrs.define(kw_only=True, eq=False)
class StageNeed:
    """What a decision about one stage call goes by.

    Attributes
    ----------
    granted : bool
        Whether the retry budget has already paid for the next attempt.
    last_end : AttemptEnd or None
        How the attempt before ended.
    """

    exchange: Exchange
    service_name: str
    service: Service
    policy: Policy
    tried: Collection[str] = ()
    granted: bool = False
    last_end: AttemptEnd | None = None

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
    should_move : callable
        Returns whether a stream at an endpoint is so slow that it is better
        resumed at another one; gets the tokens delivered so far.
    keeps : callable
        Returns whether an optional stage is still run.
    learn : callable
        Takes note of how a call ended.
    ended : callable
        Takes note that an admitted request has ended.
    """

    admit: Callable[[Bundle, Pipeline, Exchange], Failure | None]
    choose: Callable[[StageNeed, Sequence[Endpoint]], Endpoint | None]
    may_retry: Callable[[StageNeed], bool]
    should_move: Callable[[StageNeed, Endpoint, int], bool]
    keeps: Callable[[Exchange, Stage], bool]
    learn: Callable[[StageNeed, Endpoint, AttemptReport], None]
    ended: Callable[[Exchange], None]
