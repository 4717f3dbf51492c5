"""Which services have brittle endpoints."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointslots.messages import ServiceBrittle

__all__ = ["BrittleServices"]

# All answers of brittle endpoints say so; without one for this long, it has ended or
# this daemon sends them nothing.
KEPT_SECONDS = 3.0


@attrs.define(kw_only=True, eq=False)
class BrittleServices:
    """Services whose endpoints say that they are brittle.

    The first daemon that learns it tells the owner of the service, which tells all.

    Attributes
    ----------
    send, broadcast : callable
        Send a notification to a daemon by its IP, or to all that understand it.
    until : dict of str to float
        Until when each service counts as brittle, in monotonic seconds.
    began_at : dict of str to float
        Since when, without an interruption.
    """

    log: DecisionLog
    send: Callable[[str, ServiceBrittle], None]
    broadcast: Callable[[ServiceBrittle], None]
    owners: LimitOwners
    until: dict[str, float] = attrs.field(factory=dict)
    began_at: dict[str, float] = attrs.field(factory=dict)

    def is_brittle(self, service: str) -> bool:
        """Return whether the endpoints of a service are brittle."""
        if not self.until:
            return False
        return anyio.current_time() < self.until.get(service, 0.0)

    def record(self, endpoint: Endpoint) -> None:
        """Record that an answer of an endpoint says that it is brittle."""
        if not self._extend(endpoint.service, source="answer"):
            return
        report = ServiceBrittle(service=endpoint.service)
        owner = self.owners.find(endpoint.service).ip
        if owner:
            self.send(owner, report)
        else:
            self.broadcast(report)

    def handle(self, report: ServiceBrittle) -> None:
        """Apply a report of another daemon; the owner passes it on."""
        if self._extend(report.service, source="peer") and (
            not self.owners.find(report.service).ip
        ):
            self.broadcast(report)

    def _extend(self, service: str, *, source: str) -> bool:
        """Count a service as brittle for a time; return whether it did not before."""
        new = not self.is_brittle(service)
        now = anyio.current_time()
        self.until[service] = now + KEPT_SECONDS
        if new:
            self.began_at[service] = now
            self.log.write("service_brittle", service=service, source=source)
        return new
