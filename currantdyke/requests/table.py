"""All requests of a daemon."""

import anyio

from currantdyke.requests.exchange import Exchange

__all__ = ["RequestTable"]


class RequestTable:
    """Requests by id, those that run and those that are kept for rejoin.

    Parameters
    ----------
    keep_seconds : float
        How long an ended request is kept.
    """

    def __init__(self, *, keep_seconds: float):
        self.keep_seconds = keep_seconds
        self.by_id: dict[str, Exchange] = {}
        self.in_flight = 0
        self.idle = anyio.Event()
        self.idle.set()

    def open(self, exchange: Exchange) -> None:
        """Take in a request that begins to run."""
        self.by_id[exchange.request_id] = exchange
        self.in_flight += 1
        if self.in_flight == 1:
            self.idle = anyio.Event()

    def close(self) -> None:
        """Note that one request has ended; it stays to be rejoined."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    async def forget_old(self) -> None:
        """Drop requests that ended longer ago than they are kept."""
        horizon = anyio.current_time() - self.keep_seconds
        old = [
            request_id
            for request_id, exchange in self.by_id.items()
            if exchange.ended is not None and exchange.ended < horizon
        ]
        for request_id in old:
            del self.by_id[request_id]

    async def wait_idle(self) -> None:
        """Wait until no request runs."""
        while self.in_flight:
            await self.idle.wait()
