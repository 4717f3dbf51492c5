"""Run the background tasks of a daemon so that the failure of one ends no other."""

from collections.abc import Awaitable, Callable

import anyio

from currantdyke.decisionlog import DecisionLog, log_internal_error

__all__ = ["keep_running"]

# Pause before a task that failed starts again, since the failure may persist.
RESTART_SECONDS = 0.5


async def keep_running(task: Callable[[], Awaitable[None]], log: DecisionLog) -> None:
    """Run a task until it returns or is cancelled, and again whenever it fails."""
    while True:
        try:
            await task()
            return
        except Exception as error:
            name = getattr(task, "__qualname__", repr(task))
            log_internal_error(log, error, where=f"background task {name}")
            await anyio.sleep(RESTART_SECONDS)
