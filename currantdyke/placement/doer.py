"""The doer of one service: compares what is with what is wanted, and orders."""

from collections.abc import Callable, Mapping

import anyio
import attrs

from currantdyke.placement.lease import LEASE_SECONDS, ServiceLease
from currantdyke.placement.orders import ORDER_SECONDS, OrderEnd, Orders
from currantdyke.placement.permits import LoadPermits

__all__ = ["ServiceDoer"]


@attrs.define(kw_only=True, eq=False)
class ServiceDoer:
    """Brings a service's endpoints to their wanted state while it holds the lease.

    An order states the end state, so that a repeated or late one does no more than
    an old one did, and the next look at the endpoint corrects it.

    Attributes
    ----------
    checks_fencing : bool
        Whether the endpoints refuse an old fencing number.  Where they do not, a
        new holder waits until every order of the last one must have arrived.
    wanted : callable
        Returns the models that each endpoint's URL should hold.
    count : callable
        Called with what happened, for the metrics.
    """

    lease: ServiceLease
    orders: Orders
    permits: LoadPermits
    checks_fencing: bool
    wanted: Callable[[], Mapping[str, frozenset[str]]]
    count: Callable[[str], None] = lambda event: None

    async def step(self) -> None:
        """Keep the lease and correct what is not as wanted."""
        if not await self.lease.keep():
            self.count("not_holder")
            return
        if anyio.current_time() < self._first_order_at():
            self.count("waiting")
            return
        for url, models in self.wanted().items():
            await self._correct(url, models)

    def _first_order_at(self) -> float:
        if self.checks_fencing:
            return self.lease.acquired
        return self.lease.acquired + LEASE_SECONDS + ORDER_SECONDS

    async def _correct(self, url: str, models: frozenset[str]) -> None:
        observed = await self.orders.observe(url)
        if observed is None:
            self.count("unreachable")
            return
        if observed.models == models:
            return
        loads = models - observed.models
        if loads and not await self.permits.take(self.lease.daemon):
            self.count("no_permit")
            return
        if not self.lease.holds():
            self.count("lapsed")
            return
        end = await self.orders.order(url, models, self.lease.fencing)
        self.count(end.value)
        if end is OrderEnd.STALE:
            self.lease.until = float("-inf")
