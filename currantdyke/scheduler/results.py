"""Results in the memory of stage endpoints, and their release."""

import math
from collections.abc import Callable

import anyio
import anyio.abc
import attrs

from currantdyke.scheduler.stagecall import FreeResults
from currantdyke.scheduler.workers import Worker

__all__ = ["HeldResults"]

# Releases at one endpoint within this time are sent in one call.
RELEASE_DELAY_SECONDS = 0.01
# Releases wait for a call that the endpoint's limit allows.
RELEASE_RETRY_SECONDS = 0.1
# Weight of the newest result in the average of the time for which results are held:
# about 100 results count, which are those of a second on a small deployment.
HOLD_SMOOTHING_FACTOR = 0.01
# Before any result was released: a result occupies memory for about one call and the
# start of the engine.
INITIAL_HOLD_SECONDS = 0.75


@attrs.define(kw_only=True, eq=False)
class HoldTime:
    """Average time for which a service's results occupy memory, weighted by size.

    Attributes
    ----------
    byte_seconds, total_bytes : float
        Decayed sums over the results that were released.
    """

    byte_seconds: float = 0.0
    total_bytes: float = 0.0

    def record(self, size: int, seconds: float) -> None:
        """Add a result that was released."""
        self.byte_seconds += HOLD_SMOOTHING_FACTOR * (
            size * seconds - self.byte_seconds
        )
        self.total_bytes += HOLD_SMOOTHING_FACTOR * (size - self.total_bytes)

    def seconds(self) -> float:
        """Return the average in seconds."""
        if self.total_bytes <= 0:
            return INITIAL_HOLD_SECONDS
        return self.byte_seconds / self.total_bytes


UNKNOWN_HOLD_TIME = HoldTime()


@attrs.define(kw_only=True, eq=False)
class HeldResults:
    """Results by the endpoint that holds them, and pending releases.

    Attributes
    ----------
    free_results : callable
        Releases results at an endpoint; see `stagecall`.
    may_release : callable
        Returns whether results may be released at an endpoint now; if not, it is called
        again later, until they have expired.
    on_released : callable
        Called with the service of an endpoint that has released results.
    holders : dict of str to Worker
        The endpoint that holds a result, by handle.
    held_since : dict of str to float
        Monotonic time in seconds from which memory was reserved, by handle.
    hold_times : dict of str to HoldTime
        For how long results occupy memory, by service.
    pending : dict of str to list of str
        Handles whose release has not been sent, by instance.
    """

    free_results: FreeResults
    on_released: Callable[[str], None]
    may_release: Callable[[Worker, list[str]], bool] = lambda worker, handles: True
    tasks: anyio.abc.TaskGroup | None = None
    holders: dict[str, Worker] = attrs.field(factory=dict)
    held_since: dict[str, float] = attrs.field(factory=dict)
    hold_times: dict[str, HoldTime] = attrs.field(factory=dict)
    pending: dict[str, list[str]] = attrs.field(factory=dict)

    def add(
        self,
        handle: str,
        worker: Worker,
        size: int,
        ends_at: float,
        *,
        since: float | None = None,
    ) -> None:
        """Record a result that an endpoint holds.

        Parameters
        ----------
        size : int
            Bytes of memory.
        ends_at : float
            Monotonic time in seconds at which the endpoint discards it by itself.
        since : float, optional
            From when memory was reserved for it; None if that is not known.
        """
        if since is not None:
            self.held_since[handle] = since
        worker.results[handle] = (size, ends_at)
        self.holders[handle] = worker

    def hold_seconds(self, service: str) -> float:
        """Return for how long a result of a service occupies memory, on average."""
        return self.hold_times.get(service, UNKNOWN_HOLD_TIME).seconds()

    def may_exist(self, handle: str, now: float) -> bool:
        """Return whether a result has neither been released nor expired."""
        worker = self.holders.get(handle)
        if worker is None:
            return False
        _, ends_at = worker.results.get(handle, (0, -math.inf))
        return now < ends_at

    def stop(self) -> None:
        """Release nothing more; the results end with their time to live."""
        self.tasks = None
        self.pending.clear()
        self.held_since = {
            handle: since
            for handle, since in self.held_since.items()
            if handle in self.holders
        }

    def release(self, handle: str) -> None:
        """Release a result, in one call with others at the same endpoint."""
        worker = self.holders.pop(handle, None)
        if worker is None:
            return
        if self.tasks is None:
            self.held_since.pop(handle, None)
            return
        pending = self.pending.setdefault(worker.endpoint.instance, [])
        pending.append(handle)
        if len(pending) == 1:
            self.tasks.start_soon(self._release_pending, worker)

    async def _release_pending(self, worker: Worker) -> None:
        await anyio.sleep(RELEASE_DELAY_SECONDS)
        pending = self.pending[worker.endpoint.instance]
        while pending and not self.may_release(worker, pending):
            await anyio.sleep(RELEASE_RETRY_SECONDS)
            now = anyio.current_time()
            kept = [h for h in pending if worker.results.get(h, (0, 0))[1] > now]
            for handle in set(pending).difference(kept):
                self.held_since.pop(handle, None)
            pending[:] = kept
        handles = self.pending.pop(worker.endpoint.instance)
        if not handles:
            return
        # If the call fails, the results end with their time to live.
        if await self.free_results(worker.endpoint, handles):
            for handle in handles:
                self._record_hold(worker, handle)
                worker.results.pop(handle, None)
            worker.unaccounted_bytes = 0
            self.on_released(worker.endpoint.service)
        for handle in handles:
            self.held_since.pop(handle, None)

    def _record_hold(self, worker: Worker, handle: str) -> None:
        since = self.held_since.pop(handle, None)
        size, _ = worker.results.get(handle, (0, 0.0))
        if since is not None and size:
            times = self.hold_times.setdefault(worker.endpoint.service, HoldTime())
            times.record(size, anyio.current_time() - since)
