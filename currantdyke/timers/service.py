"""Timer service: one task that starts callbacks when they are due."""

import heapq
import itertools
import math
import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
from absl import logging

__all__ = ["Subscription", "TimerService"]


@attrs.define(kw_only=True, eq=False)
class Subscription:
    """A scheduled callback; ``cancel`` ends it.

    Attributes
    ----------
    period : float
        Seconds between calls; infinite for a single call.
    jitter : float
        Upper bound of the random fraction by which each period is extended.
    overruns : int
        Number of calls skipped because the previous one was still running.
    """

    name: str
    callback: Callable[[], Awaitable[object]]
    period: float
    jitter: float = 0.0
    cancelled: bool = False
    running: bool = False
    overruns: int = 0

    def cancel(self) -> None:
        """End the subscription; a running call is not interrupted."""
        self.cancelled = True


class TimerService:
    """Scheduler of callbacks; each call runs in its own task.

    Parameters
    ----------
    random_source : random.Random
        Source of jitter; pass a seeded one for reproducible runs.
    """

    def __init__(self, *, random_source: random.Random | None = None):
        self.random_source = random_source or random.Random()
        self.queue: list[tuple[float, int, Subscription]] = []
        self.sequence = itertools.count()
        self.queue_changed = anyio.Event()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return anyio.current_time()

    def every(
        self,
        period: float,
        callback: Callable[[], Awaitable[object]],
        *,
        name: str,
        jitter: float = 0.1,
        first_after: float | None = None,
    ) -> Subscription:
        """Call ``callback`` every ``period`` seconds until cancelled.

        Parameters
        ----------
        period : float
            Seconds between calls, without jitter.
        callback : callable
            The coroutine function to call.
        name : str
            Name of the timer in the log.
        jitter : float
            Upper bound of the random fraction by which each period is extended.
        first_after : float or None
            Seconds until the first call; None for one period with jitter.

        Returns
        -------
        Subscription
            The handle that cancels the calls.
        """
        subscription = Subscription(
            name=name, callback=callback, period=period, jitter=jitter
        )
        delay = (
            self._jittered_period(subscription) if first_after is None else first_after
        )
        self._schedule(delay, subscription)
        return subscription

    def after(
        self, delay: float, callback: Callable[[], Awaitable[object]], *, name: str
    ) -> Subscription:
        """Call ``callback`` once, ``delay`` seconds from now."""
        subscription = Subscription(name=name, callback=callback, period=math.inf)
        self._schedule(delay, subscription)
        return subscription

    async def run(self) -> None:
        """Run the callbacks of all subscriptions until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._start_due(tasks)
                self.queue_changed = anyio.Event()
                wait = self.queue[0][0] - self.now() if self.queue else math.inf
                with anyio.move_on_after(max(0.0, wait)):
                    await self.queue_changed.wait()

    def _jittered_period(self, subscription: Subscription) -> float:
        share = subscription.jitter * self.random_source.random()
        return subscription.period * (1.0 + share)

    def _schedule(self, delay: float, subscription: Subscription) -> None:
        due = self.now() + delay
        heapq.heappush(self.queue, (due, next(self.sequence), subscription))
        self.queue_changed.set()

    def _start_due(self, tasks: anyio.abc.TaskGroup) -> None:
        while self.queue and self.queue[0][0] <= self.now():
            _, _, subscription = heapq.heappop(self.queue)
            if subscription.cancelled:
                continue
            if subscription.running:
                subscription.overruns += 1
            else:
                subscription.running = True
                tasks.start_soon(self._call, subscription)
            if math.isfinite(subscription.period):
                self._schedule(self._jittered_period(subscription), subscription)

    async def _call(self, subscription: Subscription) -> None:
        try:
            await subscription.callback()
        except Exception:
            logging.exception(
                "callback of timer %s failed; later calls are not affected",
                subscription.name,
            )
        finally:
            subscription.running = False
