"""Interface of the decisions made while a request runs, as replaceable functions."""

from collections.abc import Callable, Collection, Sequence

import anyio
import attrs

from currantdyke.bundle import Bundle, Pipeline, Policy, Service, Stage
from currantdyke.core import Failure
from currantdyke.endpoints import Endpoint
from currantdyke.requests import Exchange
from currantdyke.stagecalls import AttemptEnd, AttemptReport

__all__ = ["Decisions", "DecisionContext"]


@attrs.define(kw_only=True, eq=False)
class DecisionContext:
    """Context of a decision about one stage call.

    Attributes
    ----------
    tried : collection of str
        Names of the endpoints called so far, one entry per attempt.
    retry_granted : bool
        Whether ``should_move`` has already taken the next attempt out of the retry
        budget; ``may_retry`` resets it.
    last_end : AttemptEnd or None
        How the previous attempt ended.
    """

    exchange: Exchange
    service_name: str
    service: Service
    policy: Policy
    tried: Collection[str] = ()
    retry_granted: bool = False
    last_end: AttemptEnd | None = None

    def seconds_left(self) -> float:
        """Return the seconds until the request's deadline."""
        return self.exchange.deadline - anyio.current_time()


@attrs.define(kw_only=True, eq=False)
class Decisions:
    """Decision functions of a daemon.

    Attributes
    ----------
    admit : callable
        Admits a request, or returns the reason for its refusal, before any of its
        calls is dispatched.
    choose : callable
        Returns the endpoint for the next attempt of a stage call, or None.
    may_retry : callable
        Returns whether a stage whose call failed may be called again; the default
        takes the attempt out of the retry budget, unless ``retry_granted`` is set.
    should_move : callable
        Returns whether a stream is so slow that it should be resumed at another
        endpoint; gets the number of new tokens that this attempt delivered before
        the current one. If so, the default takes an attempt out of the retry budget.
    should_run_optional : callable
        Returns whether an optional stage is run.
    observe_report : callable
        Updates estimates and endpoint state from the report of a call.
    release : callable
        Releases the state of an admitted request that has ended.
    """

    admit: Callable[[Bundle, Pipeline, Exchange], Failure | None]
    choose: Callable[[DecisionContext, Sequence[Endpoint]], Endpoint | None]
    may_retry: Callable[[DecisionContext], bool]
    should_move: Callable[[DecisionContext, Endpoint, int], bool]
    should_run_optional: Callable[[Exchange, Stage], bool]
    observe_report: Callable[[DecisionContext, Endpoint, AttemptReport], None]
    release: Callable[[Exchange], None]
