"""Orders to endpoints: one doer for each service, fencing, read back, correct."""

from currantdyke.placement.doer import ServiceDoer
from currantdyke.placement.lease import ServiceLease
from currantdyke.placement.orders import HttpOrders, Observed, OrderEnd, Orders
from currantdyke.placement.permits import LoadPermits

__all__ = [
    "HttpOrders",
    "LoadPermits",
    "Observed",
    "OrderEnd",
    "Orders",
    "ServiceDoer",
    "ServiceLease",
]
