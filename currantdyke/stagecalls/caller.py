"""Stage calls by the kind of service."""

from collections.abc import Awaitable, Callable

import httpx

from currantdyke.bundle.schema import StageKind
from currantdyke.stagecalls.attempt import AttemptReport, TrackedAttempt
from currantdyke.stagecalls.engine import DeliveredTokens, call_engine
from currantdyke.stagecalls.plain import call_plain

__all__ = ["StageCaller", "http_stage_caller"]

StageCaller = Callable[[TrackedAttempt, str, DeliveredTokens], Awaitable[AttemptReport]]


def http_stage_caller(client: httpx.AsyncClient) -> StageCaller:
    """Return a function that calls endpoints over HTTP, according to the kind."""

    async def call(
        tracked_attempt: TrackedAttempt, kind: str, delivered: DeliveredTokens
    ) -> AttemptReport:
        if kind == StageKind.GENERATE:
            return await call_engine(client, tracked_attempt, delivered)
        return await call_plain(client, tracked_attempt)

    return call
