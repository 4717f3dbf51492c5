"""Which services have fragile endpoints."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointslots.messages import ServiceFragile

__all__ = ["KEPT_SECONDS", "FragileServices"]

# All answers of fragile endpoints say so; without one for this long, it has ended or
# this daemon sends them nothing.
KEPT_SECONDS = 3.0


@attrs.define(kw_only=True, eq=False)
class FragileServices:
    """Services whose endpoints say that they are fragile.

    The first daemon that learns it tells the owner of the service, which tells all.

    Attributes
    ----------
    send, broadcast : callable
        Send a notification to a daemon by its IP, or to all that understand it.
    until : dict of str to float
        Until when each service counts as fragile, in monotonic seconds.
    began_at : dict of str to float
        Since when, without an interruption.
    """

    log: DecisionLog
    send: Callable[[str, ServiceFragile], None]
    broadcast: Callable[[ServiceFragile], None]
    owners: LimitOwners
    until: dict[str, float] = attrs.field(factory=dict)
    began_at: dict[str, float] = attrs.field(factory=dict)

    def is_fragile(self, service: str) -> bool:
        """Return whether the endpoints of a service are fragile."""
        if not self.until:
            return False
        return anyio.current_time() < self.until.get(service, 0.0)

    def record(self, endpoint: Endpoint) -> None:
        """Record that an answer of an endpoint says that it is fragile."""
        if not self._extend(endpoint.service, source="answer"):
            return
        report = ServiceFragile(service=endpoint.service)
        owner = self.owners.find(endpoint.service).ip
        if owner:
            self.send(owner, report)
        else:
            self.broadcast(report)

    def learn(self, service: str) -> None:
        """Record that another daemon knows of a service that it is fragile."""
        self._extend(service, source="peer")

    def handle(self, report: ServiceFragile) -> None:
        """Apply a report of another daemon; the owner passes it on."""
        if self._extend(report.service, source="peer") and (
            not self.owners.find(report.service).ip
        ):
            self.broadcast(report)

    def _extend(self, service: str, *, source: str) -> bool:
        """Count a service as fragile for a time; return whether it did not before."""
        new = not self.is_fragile(service)
        now = anyio.current_time()
        self.until[service] = now + KEPT_SECONDS
        if new:
            self.began_at[service] = now
            self.log.write("service_fragile", service=service, source=source)
        return new
