"""Run async code in virtual time, in which an hour of timers takes milliseconds."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import trio._core._run as trio_run
import trio.testing

__all__ = ["run_virtual"]

SCHEDULE_SEED = 1

T = TypeVar("T")


def run_virtual(
    function: Callable[..., Awaitable[T]], *arguments: Any, **keywords: Any
) -> T:
    """Run ``function`` on a clock that advances whenever all tasks wait.

    Tasks that are runnable at the same time are ordered by a fixed seed, so that a
    failing run can be reproduced.

    Examples
    --------
    >>> async def nap():
    ...     started = anyio.current_time()
    ...     await anyio.sleep(3600)
    ...     return anyio.current_time() - started
    >>> run_virtual(nap)
    3600.0
    """
    # trio shuffles runnable tasks.
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    trio_run._r.seed(SCHEDULE_SEED)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(
        functools.partial(function, *arguments, **keywords),
        backend="trio",
        backend_options={"clock": clock},
    )
