"""One task that wakes subscribers when their time has come."""

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
    """A standing wish to be called; ``cancel`` ends it.

    Attributes
    ----------
    period : float
        Seconds between calls; infinite for a single call.
    jitter : float
        Each period is stretched by a random share up to this one.
    overruns : int
        Calls left out because the one before had not ended.
    """

    name: str
    callback: Callable[[], Awaitable[object]]
    period: float
    jitter: float = 0.0
    cancelled: bool = False
    running: bool = False
    overruns: int = 0

    def cancel(self) -> None:
        """End the subscription; a call under way is left to finish."""
        self.cancelled = True


class TimerService:
    """Calls subscribers at their times, each in a task of its own.

    Parameters
    ----------
    random_source : random.Random
        Source of jitter; give a seeded one for repeatable runs.
    """

    def __init__(self, *, random_source: random.Random | None = None):
        self.random_source = random_source or random.Random()
        self.queue: list[tuple[float, int, Subscription]] = []
        self.order = itertools.count()
        self.changed = anyio.Event()

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
        """Call ``callback`` every ``period`` seconds until cancelled."""
        subscription = Subscription(
            name=name, callback=callback, period=period, jitter=jitter
        )
        delay = self._stretched(subscription) if first_after is None else first_after
        self._push(delay, subscription)
        return subscription

    def after(
        self, delay: float, callback: Callable[[], Awaitable[object]], *, name: str
    ) -> Subscription:
        """Call ``callback`` once, ``delay`` seconds from now."""
        subscription = Subscription(name=name, callback=callback, period=math.inf)
        self._push(delay, subscription)
        return subscription

    async def run(self) -> None:
        """Serve subscriptions until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._start_due(tasks)
                self.changed = anyio.Event()
                wait = self.queue[0][0] - self.now() if self.queue else math.inf
                with anyio.move_on_after(max(0.0, wait)):
                    await self.changed.wait()

    def _stretched(self, subscription: Subscription) -> float:
        share = subscription.jitter * self.random_source.random()
        return subscription.period * (1.0 + share)

    def _push(self, delay: float, subscription: Subscription) -> None:
        due = self.now() + delay
        heapq.heappush(self.queue, (due, next(self.order), subscription))
        self.changed.set()

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
                self._push(self._stretched(subscription), subscription)

    async def _call(self, subscription: Subscription) -> None:
        try:
            await subscription.callback()
        except Exception:
            logging.exception("timer %s failed and goes on", subscription.name)
        finally:
            subscription.running = False
