"""What a daemon learns of the limits of endpoints, and tells other daemons."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.endpointlimits.cold import ColdEndpoints
from currantdyke.endpointlimits.messages import LimitReport
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointlimits.table import LimitTable
from currantdyke.platform.answers import ResponseMetadata

__all__ = ["KnownLimits"]


@attrs.define(kw_only=True, eq=False)
class KnownLimits:
    """The limits of endpoints that a daemon knows, by responses, entries and reports.

    Attributes
    ----------
    send, broadcast : callable
        Send a notification to a daemon by its IP, or to all.
    owners : LimitOwners
        The owners of the limits of each service.
    cold : ColdEndpoints
        The endpoints that are cold, another source of limits.
    """

    log: DecisionLog
    send: Callable[[str, LimitReport], None]
    broadcast: Callable[[LimitReport], None]
    owners: LimitOwners
    cold: ColdEndpoints
    table: LimitTable = attrs.field(factory=LimitTable)
    unreadable: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.table.cold_rate = self.cold.rate
        self.table.fewer_tokens = self.cold.fewer_tokens

    def record_response(
        self, endpoint: Endpoint, facts: ResponseMetadata, sent_at: float
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        A misdirected request was answered by another endpoint. A failure that names no
        limit does not end one: only requests that ran show that the endpoint accepts
        more.
        """
        if facts.misdirected:
            return
        if facts.cold_remaining:
            self.cold.record(
                endpoint.instance,
                endpoint.service,
                endpoint.born,
                facts.cold_remaining,
                source="answer",
            )
        if facts.unreadable_limit is not None:
            self._log_unreadable(endpoint, facts.unreadable_limit)
            return
        rate = facts.request_rate_limit
        known = self.table.is_named(endpoint.instance)
        if rate is None and not (known and facts.success):
            return
        now = anyio.current_time()
        before = self._rate_of(endpoint.instance)
        changed = self.table.record(
            endpoint.instance, endpoint.born, rate, sent_at=sent_at, heard_at=now
        )
        if changed:
            self._log_change(endpoint.instance, before, source="answer")
            report = LimitReport(
                instance=endpoint.instance,
                born=endpoint.born,
                rate=rate,
                sent_age=now - sent_at,
            )
            self._spread(endpoint.service, report, before)

    def handle_report(self, report: LimitReport, service: str | None) -> None:
        """Apply a report of another daemon; an owner passes on what is new in it.

        Parameters
        ----------
        service : str or None
            The service of the endpoint; None if it is not known.
        """
        now = anyio.current_time()
        before = self._rate_of(report.instance)
        changed = self.table.record(
            report.instance,
            report.born,
            report.rate,
            sent_at=now - report.sent_age,
            heard_at=now - report.age,
        )
        if changed:
            self._log_change(report.instance, before, source="peer")
            if service is not None and not self.owners.find(service).ip:
                self._spread(service, report, before)

    def learn(self, endpoint: Endpoint, rate: float) -> None:
        """Record the limit by which an owner granted a request, if none is known."""
        if endpoint.instance not in self.table.limits and not self.table.of(endpoint):
            now = anyio.current_time()
            self.table.adopt(endpoint.instance, endpoint.born, rate, now)
            self._log_change(endpoint.instance, None, source="owner")

    def on_endpoint_change(self, instance: str, endpoint: Endpoint | None) -> None:
        """Drop the limit of a lifetime that has ended."""
        limit = self.table.limits.get(instance)
        if limit is not None and (endpoint is None or endpoint.born > limit.born):
            self.table.forget(instance)
        if endpoint is None:
            self.cold.forget(instance)
        self.unreadable.discard(instance)

    async def expire_cold(self) -> None:
        """End the limits of endpoints that have become warm."""
        self.cold.expire()
        for instance, limit in list(self.table.limits.items()):
            is_cold = self.cold.rate(instance, limit.born) is not None
            if not is_cold and not self.table.is_named(instance):
                self.table.forget(instance)

    def _rate_of(self, instance: str) -> float | None:
        known = self.table.limits.get(instance)
        return None if known is None else known.rate

    def _spread(self, service: str, report: LimitReport, before: float | None) -> None:
        """Report a change to the owner; as the owner, report a begin or end to all."""
        ip = self.owners.find(service).ip
        if ip:
            self.send(ip, report)
        elif (before is None) != (report.rate is None):
            self.broadcast(report)

    def _log_change(self, instance: str, before: float | None, *, source: str) -> None:
        self.log.write(
            "endpoint_limit",
            endpoint=instance,
            rate=self._rate_of(instance),
            before=before,
            source=source,
        )

    def _log_unreadable(self, endpoint: Endpoint, text: str) -> None:
        if endpoint.instance not in self.unreadable:
            self.unreadable.add(endpoint.instance)
            self.log.write(
                "endpoint_limit_unreadable",
                failure=True,
                endpoint=endpoint.instance,
                value=text[:100],
                expected="requests a second, a decimal number of at least 0",
            )
