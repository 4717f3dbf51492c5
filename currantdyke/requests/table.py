"""All requests of a daemon."""

import collections
import math

import anyio

from currantdyke.requests.exchange import Exchange

__all__ = ["RequestTable"]

DEFAULT_KEPT_BYTES = 32_000_000
DEFAULT_KEPT_PER_WORKSPACE = 2_000


class RequestTable:
    """Requests by id, those that run and those that are kept for rejoin.

    Parameters
    ----------
    keep_seconds : float
        How long an ended request is kept.
    kept_bytes : int
        Memory for ended requests together, in bytes; the oldest make room.
    kept_per_workspace : int
        Ended requests kept of one workspace; its oldest make room.
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
        self.ended_of: dict[str, collections.deque[Exchange]] = {}
        self.ended_bytes = 0
        self.in_flight = 0
        self.idle = anyio.Event()
        self.idle.set()

    def open(self, exchange: Exchange) -> None:
        """Take in a request that begins to run."""
        self.by_id[exchange.request_id] = exchange
        self.in_flight += 1
        if self.in_flight == 1:
            self.idle = anyio.Event()

    def close(self, exchange: Exchange) -> None:
        """Note that a request has ended; it stays for a while to be rejoined."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()
        self.ended[exchange.request_id] = exchange
        of_workspace = self.ended_of.setdefault(exchange.workspace, collections.deque())
        of_workspace.append(exchange)
        self.ended_bytes += exchange.events.size_bytes()
        if len(of_workspace) > self.kept_per_workspace:
            self._forget(of_workspace[0])
        while self.ended_bytes > self.kept_bytes:
            self._forget(next(iter(self.ended.values())))

    async def forget_old(self) -> None:
        """Drop requests that ended longer ago than they are kept."""
        horizon = anyio.current_time() - self.keep_seconds
        while self.ended:
            oldest = next(iter(self.ended.values()))
            if oldest.ended is not None and oldest.ended >= horizon:
                return
            self._forget(oldest)

    def latest_deadline(self) -> float:
        """Return the last deadline of all requests known, or minus infinity."""
        deadlines = (exchange.deadline for exchange in self.by_id.values())
        return max(deadlines, default=-math.inf)

    async def wait_idle(self) -> None:
        """Wait until no request runs."""
        while self.in_flight:
            await self.idle.wait()

    def _forget(self, exchange: Exchange) -> None:
        del self.by_id[exchange.request_id]
        del self.ended[exchange.request_id]
        self.ended_bytes -= exchange.events.size_bytes()
        of_workspace = self.ended_of[exchange.workspace]
        of_workspace.remove(exchange)
        if not of_workspace:
            del self.ended_of[exchange.workspace]
