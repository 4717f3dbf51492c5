"""Refuse requests of the groups that crash endpoints."""

from currantdyke.catalog import Endpoint
from currantdyke.core import FailureKind
from currantdyke.crashes import EndpointRun
from currantdyke.forward.context import ForwardContext
from currantdyke.forward.exchange import (
    Exchange,
    RequestFailedError,
    StreamBrokenError,
)

__all__ = [
    "admit",
    "check_not_quarantined",
    "quarantine_failure",
    "settle",
    "start_run",
]


async def admit(exchange: Exchange, context: ForwardContext) -> None:
    """Refuse a request that arrives, unless it may be the trial of its group.

    Raises
    ------
    RequestFailedError
        If the request is refused.
    """
    exchange.trial_of = await context.crashes.claim_trials(exchange.crash_keys)
    check_not_quarantined(exchange, context)


def check_not_quarantined(exchange: Exchange, context: ForwardContext) -> None:
    """Raise the failure of a request that may not be sent to an endpoint."""
    failure = quarantine_failure(exchange, context)
    if failure is not None:
        raise failure


def quarantine_failure(
    exchange: Exchange, context: ForwardContext
) -> RequestFailedError | StreamBrokenError | None:
    """Return the failure of a request that may not be sent, or None."""
    # A trial consists of one attempt.
    trial_of: frozenset[str] = frozenset() if exchange.sends else exchange.trial_of
    refusal = context.crashes.refusal(exchange.crash_keys, trial_of=trial_of)
    if refusal is None:
        return None
    if exchange.caller.response_started:
        return StreamBrokenError(refusal.detail)
    if exchange.runs:
        return exchange.failure(FailureKind.STAGE_FAILED, refusal.detail)
    return exchange.failure(
        FailureKind.QUARANTINED, refusal.detail, retry_after=refusal.retry_after
    )


def start_run(
    exchange: Exchange, context: ForwardContext, endpoint: Endpoint
) -> EndpointRun:
    """Return the record of an attempt that is about to be sent."""
    run = context.crashes.start_run(exchange.crash_keys, endpoint)
    exchange.crash_runs.append(run)
    return run


async def settle(exchange: Exchange) -> None:
    """Wait until it is known whether lost attempts ended with their endpoints.

    Sent again before, a request that crashes endpoints would crash one more.
    """
    for run in exchange.crash_runs:
        await run.settle()
