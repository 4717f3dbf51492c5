"""Run the background tasks of a daemon so that the failure of one ends no other."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from currantdyke.decisionlog.faults import log_internal_error
from currantdyke.decisionlog.log import DecisionLog

__all__ = ["keep_running", "run_logged"]

# Pause before a task that failed starts again, since the failure may persist.
RESTART_SECONDS = 0.5


async def keep_running(task: Callable[[], Awaitable[None]], log: DecisionLog) -> None:
    """Run a task until it returns or is cancelled, and again whenever it fails."""
    while not await run_logged(log, task):
        await anyio.sleep(RESTART_SECONDS)


async def run_logged(
    log: DecisionLog, task: Callable[..., Awaitable[None]], *arguments: Any
) -> bool:
    """Run a task; log its failure, and return whether it ended without one."""
    try:
        await task(*arguments)
    except Exception as error:
        name = getattr(task, "__qualname__", repr(task))
        log_internal_error(log, error, where=f"background task {name}")
        return False
    return True
