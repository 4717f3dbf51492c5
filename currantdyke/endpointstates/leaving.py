"""Share which endpoints say that they are leaving."""

from collections.abc import Callable

import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import EndpointTable
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointstates.messages import EndpointLeaving

__all__ = ["LeavingEndpoints"]


@attrs.define(kw_only=True, eq=False)
class LeavingEndpoints:
    """Marks endpoints that are leaving, before their entries say so.

    A daemon that learns it from an answer reports it to the owner of the endpoint's
    service group, which places streams and stage calls; the owner notifies all others.

    Attributes
    ----------
    send, broadcast : callable
        Send a notification to a daemon by its IP, or to all that understand it.
    """

    endpoints: EndpointTable
    log: DecisionLog
    send: Callable[[str, EndpointLeaving], None]
    broadcast: Callable[[EndpointLeaving], None]
    owners: LimitOwners

    def record(self, endpoint: Endpoint) -> None:
        """Record an endpoint whose answer says that it is leaving."""
        if not self.endpoints.mark_leaving(endpoint.instance, endpoint.born):
            return
        self._log(endpoint.instance, source="answer")
        report = EndpointLeaving(instance=endpoint.instance, born=endpoint.born)
        owner = self.owners.find(endpoint.service).ip
        if owner:
            self.send(owner, report)
        else:
            self.broadcast(report)

    def handle(self, report: EndpointLeaving) -> None:
        """Apply a report of another daemon; the owner passes it on."""
        endpoint = self.endpoints.known.get(report.instance)
        if not self.endpoints.mark_leaving(report.instance, report.born):
            return
        self._log(report.instance, source="peer")
        if endpoint is not None and not self.owners.find(endpoint.service).ip:
            self.broadcast(report)

    def _log(self, instance: str, *, source: str) -> None:
        self.log.write("endpoint_leaving", endpoint=instance, source=source)
