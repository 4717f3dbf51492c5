"""Table of all requests of a daemon."""

import collections
import math

import anyio

from currantdyke.requests.exchange import Exchange

__all__ = ["RequestTable"]

DEFAULT_KEPT_BYTES = 32_000_000
DEFAULT_KEPT_PER_WORKSPACE = 2_000


class RequestTable:
    """Requests by id: running ones, and ended ones kept for callers to reconnect.

    Parameters
    ----------
    keep_seconds : float
        Retention time of an ended request, in seconds.
    kept_bytes : int
        Memory limit for all ended requests, in bytes; the oldest are evicted.
    kept_per_workspace : int
        Maximum number of ended requests per workspace; its oldest are evicted.
    """

    def __init__(
        self,
        *,
        keep_seconds: float,
        kept_bytes: int = DEFAULT_KEPT_BYTES,
        kept_per_workspace: int = DEFAULT_KEPT_PER_WORKSPACE,
    ):
        self.keep_seconds = keep_seconds
        self.kept_bytes = kept_bytes
        self.kept_per_workspace = kept_per_workspace
        self.by_id: dict[str, Exchange] = {}
        self.ended: collections.OrderedDict[str, Exchange] = collections.OrderedDict()
        self.ended_by_workspace: dict[str, collections.deque[Exchange]] = {}
        self.ended_bytes = 0
        self.in_flight = 0
        self.idle = anyio.Event()
        self.idle.set()

    def open(self, exchange: Exchange) -> None:
        """Add a request that starts to run."""
        self.by_id[exchange.request_id] = exchange
        self.in_flight += 1
        if self.in_flight == 1:
            self.idle = anyio.Event()

    def close(self, exchange: Exchange) -> None:
        """Mark a request as ended and keep it for callers to reconnect."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()
        self.ended[exchange.request_id] = exchange
        of_workspace = self.ended_by_workspace.setdefault(
            exchange.workspace, collections.deque()
        )
        of_workspace.append(exchange)
        self.ended_bytes += exchange.events.size_bytes()
        if len(of_workspace) > self.kept_per_workspace:
            self._remove(of_workspace[0])
        while self.ended_bytes > self.kept_bytes:
            self._remove(next(iter(self.ended.values())))

    async def remove_expired(self) -> None:
        """Remove ended requests whose retention time has passed."""
        cutoff = anyio.current_time() - self.keep_seconds
        while self.ended:
            oldest = next(iter(self.ended.values()))
            if oldest.ended_at is not None and oldest.ended_at >= cutoff:
                return
            self._remove(oldest)

    def latest_deadline(self) -> float:
        """Return the latest deadline in the table, or minus infinity if it is empty."""
        deadlines = (exchange.deadline for exchange in self.by_id.values())
        return max(deadlines, default=-math.inf)

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        while self.in_flight:
            await self.idle.wait()

    def _remove(self, exchange: Exchange) -> None:
        del self.by_id[exchange.request_id]
        del self.ended[exchange.request_id]
        self.ended_bytes -= exchange.events.size_bytes()
        of_workspace = self.ended_by_workspace[exchange.workspace]
        of_workspace.remove(exchange)
        if not of_workspace:
            del self.ended_by_workspace[exchange.workspace]
