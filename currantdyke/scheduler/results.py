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
    pending : dict of str to list of str
        Handles whose release has not been sent, by instance.
    """

    free_results: FreeResults
    on_released: Callable[[str], None]
    may_release: Callable[[Worker, list[str]], bool] = lambda worker, handles: True
    tasks: anyio.abc.TaskGroup | None = None
    holders: dict[str, Worker] = attrs.field(factory=dict)
    pending: dict[str, list[str]] = attrs.field(factory=dict)

    def add(self, handle: str, worker: Worker, size: int, ends_at: float) -> None:
        """Record a result that an endpoint holds.

        Parameters
        ----------
        size : int
            Bytes of memory.
        ends_at : float
            Monotonic time in seconds at which the endpoint discards it by itself.
        """
        worker.results[handle] = (size, ends_at)
        self.holders[handle] = worker

    def may_exist(self, handle: str, now: float) -> bool:
        """Return whether a result has neither been released nor expired."""
        worker = self.holders.get(handle)
        if worker is None:
            return False
        _, ends_at = worker.results.get(handle, (0, -math.inf))
        return now < ends_at

    def release(self, handle: str) -> None:
        """Release a result, in one call with others at the same endpoint."""
        worker = self.holders.pop(handle, None)
        if worker is None:
            return
        pending = self.pending.setdefault(worker.endpoint.instance, [])
        pending.append(handle)
        if len(pending) == 1 and self.tasks is not None:
            self.tasks.start_soon(self._release_pending, worker)

    async def _release_pending(self, worker: Worker) -> None:
        await anyio.sleep(RELEASE_DELAY_SECONDS)
        pending = self.pending[worker.endpoint.instance]
        while pending and not self.may_release(worker, pending):
            await anyio.sleep(RELEASE_RETRY_SECONDS)
            now = anyio.current_time()
            pending[:] = [h for h in pending if worker.results.get(h, (0, 0))[1] > now]
        handles = self.pending.pop(worker.endpoint.instance)
        if not handles:
            return
        # If the call fails, the results end with their time to live.
        if await self.free_results(worker.endpoint, handles):
            for handle in handles:
                worker.results.pop(handle, None)
            worker.unaccounted_bytes = 0
            self.on_released(worker.endpoint.service)
