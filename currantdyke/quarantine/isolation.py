"""Isolation of requests that are suspected of crashing endpoints.

A suspect of a crash with many requests in flight runs in a small group of suspects, on
an endpoint that is reserved for them; after a second crash it runs alone.
"""

import collections
import contextlib
import math
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
    Iterator,
    Sequence,
)

import anyio
import attrs

from currantdyke.core import Failure
from currantdyke.endpoints import Endpoint
from currantdyke.quarantine.fingerprint import fingerprint_of
from currantdyke.quarantine.quarantine import Quarantine
from currantdyke.quarantine.record import CrashRecord
from currantdyke.requests import Exchange
from currantdyke.stagecalls import AttemptEnd, AttemptReport

__all__ = ["AttemptPermit", "SuspectIsolation"]

# Time after a crash until the endpoints of all copies in flight have been checked for
# crashes: a refused connection is detected within milliseconds; a check that times
# out ends within the time to connect and counts no crash.
SETTLE_SECONDS = 1.0
SETTLE_SHARE_OF_REMAINING = 0.2
WAIT_SHARE_OF_REMAINING = 0.5
POLL_INTERVAL_SECONDS = 0.02
SAME_CRASH_WINDOW_SECONDS = 1.0
MAX_RESERVED_SHARE = 0.5
MIN_ENDPOINTS_TO_ISOLATE = 2


@attrs.define(kw_only=True, eq=False)
class AttemptPermit:
    """Endpoints on which one attempt may run, or the reason why it may not run.

    Attributes
    ----------
    refused : Failure or None
        Reason why the attempt may not run.
    endpoints : sequence of Endpoint
        Endpoints on which it may run.
    """

    isolation: "SuspectIsolation"
    exchange: Exchange
    endpoints: Sequence[Endpoint]
    refused: Failure | None = None

    @contextlib.contextmanager
    def register_running(self, endpoint: Endpoint) -> Iterator[None]:
        """Register the request as in flight at an endpoint."""
        running = self.isolation.running.setdefault(endpoint.name, [])
        running.append(self.exchange)
        try:
            yield
        finally:
            running.remove(self.exchange)

    async def record_report(self, endpoint: Endpoint, report: AttemptReport) -> None:
        """Count a crash if the endpoint crashed; clear the request if it succeeded."""
        if report.end is AttemptEnd.CUT:
            await self.isolation.record_lost_connection(self.exchange, endpoint)
        elif report.end is AttemptEnd.DONE:
            self.isolation.record_success(self.exchange, endpoint)


@attrs.define(kw_only=True, eq=False)
class SuspectGroup:
    """Number of suspects that share an endpoint, and its upper limit."""

    max_count: int
    count: int = 1


@attrs.define(kw_only=True, eq=False)
class SuspectIsolation:
    """Assigns endpoints to attempts and isolates suspects.

    Attributes
    ----------
    can_connect : callable
        Returns whether a URL accepts connections, or None if that is unclear.
    running : dict
        This daemon's requests in flight, by endpoint name.
    groups : dict
        Groups of suspects for which endpoints are reserved, by endpoint name.
    running_copies : Counter
        Number of running copies of each suspect, by fingerprint.
    lost_connections : dict
        Times of recent lost connections by fingerprint, for each endpoint name.
    """

    quarantine: Quarantine
    can_connect: Callable[[str], Awaitable[bool | None]]
    running: dict[str, list[Exchange]] = attrs.field(factory=dict)
    groups: dict[str, "SuspectGroup"] = attrs.field(factory=dict)
    running_copies: collections.Counter[str] = attrs.field(factory=collections.Counter)
    lost_connections: dict[str, dict[str, float]] = attrs.field(factory=dict)

    @contextlib.asynccontextmanager
    async def permit(
        self,
        exchange: Exchange,
        endpoints: Sequence[Endpoint],
        tried: Collection[str] = (),
    ) -> AsyncIterator[AttemptPermit]:
        """Wait until an attempt may run or is refused, and yield its permit.

        Only suspects wait. The waits are bounded by the deadline; after them, a suspect
        may run beside other copies or other requests, or on an endpoint that is not
        reserved for suspects.

        Parameters
        ----------
        exchange : Exchange
            The request.
        endpoints : sequence of Endpoint
            The endpoints of the service.
        tried : collection of str
            Names of endpoints that are not reserved for a suspect.
        """
        record = self.quarantine.record_of(exchange)
        service = endpoints[0].service if endpoints else ""
        if record is None or record.service != service:
            yield self._permit(exchange, self._unreserved(endpoints))
            return
        async with self._wait_for_copies(exchange, record):
            if self.quarantine.record_of(exchange) is None:
                yield self._permit(exchange, self._unreserved(endpoints))
                return
            if self.quarantine.refuse(exchange):
                yield self._permit(exchange, endpoints)
                return
            async with self._reserved_endpoint(
                exchange, endpoints, record, tried
            ) as reserved:
                yield self._permit(exchange, reserved)

    async def record_lost_connection(
        self, exchange: Exchange, endpoint: Endpoint
    ) -> None:
        """Count a crash if the endpoint refuses new connections."""
        fingerprint = fingerprint_of(exchange)
        recent_losses = self._recent_losses(endpoint.name)
        is_known = fingerprint in recent_losses
        recent_losses[fingerprint] = anyio.current_time()
        running = {
            fingerprint_of(other) for other in self.running.get(endpoint.name, ())
        }
        in_flight = len(running | recent_losses.keys() | {fingerprint})
        if is_known or await self.can_connect(endpoint.spec.url) is not False:
            return
        self.quarantine.count_crash(
            fingerprint,
            alone=in_flight == 1,
            in_flight=in_flight,
            service=endpoint.service,
        )

    def record_success(self, exchange: Exchange, endpoint: Endpoint) -> None:
        """Clear a suspect that succeeded at the service it is suspected of crashing."""
        record = self.quarantine.record_of(exchange)
        if record and record.service == endpoint.service:
            self.quarantine.clear(record.fingerprint)

    def _permit(
        self, exchange: Exchange, endpoints: Sequence[Endpoint]
    ) -> AttemptPermit:
        return AttemptPermit(
            isolation=self,
            exchange=exchange,
            endpoints=endpoints,
            refused=self.quarantine.refuse(exchange),
        )

    def _unreserved(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        if not self.groups:
            return endpoints
        return [e for e in endpoints if e.name not in self.groups] or endpoints

    @contextlib.asynccontextmanager
    async def _wait_for_copies(
        self, exchange: Exchange, record: CrashRecord
    ) -> AsyncIterator[None]:
        """Wait a bounded time for crash checks and other copies; register a copy."""
        remaining = exchange.deadline - anyio.current_time()
        settle = min(SETTLE_SECONDS, SETTLE_SHARE_OF_REMAINING * remaining)
        await anyio.sleep(max(0.0, record.counted_at + settle - anyio.current_time()))
        with anyio.move_on_after(WAIT_SHARE_OF_REMAINING * remaining):
            while self._must_wait(exchange, record):
                await anyio.sleep(POLL_INTERVAL_SECONDS)
        with self._running_copy(record.fingerprint):
            yield

    @contextlib.contextmanager
    def _running_copy(self, fingerprint: str) -> Iterator[None]:
        self.running_copies[fingerprint] += 1
        try:
            yield
        finally:
            self.running_copies[fingerprint] -= 1
            if not self.running_copies[fingerprint]:
                del self.running_copies[fingerprint]

    def _must_wait(self, exchange: Exchange, record: CrashRecord) -> bool:
        """Return whether another copy of a suspect has to finish first."""
        if self.quarantine.record_of(exchange) is None:
            return False
        if self.quarantine.refuse(exchange) is not None:
            return False
        return record.fingerprint in self.running_copies

    @contextlib.asynccontextmanager
    async def _reserved_endpoint(
        self,
        exchange: Exchange,
        endpoints: Sequence[Endpoint],
        record: CrashRecord,
        tried: Collection[str],
    ) -> AsyncIterator[Sequence[Endpoint]]:
        eligible = [e for e in endpoints if not e.leaving and e.name not in tried]
        if len(eligible) < MIN_ENDPOINTS_TO_ISOLATE:
            yield self._unreserved(endpoints)
            return
        remaining = exchange.deadline - anyio.current_time()
        endpoint = None
        with anyio.move_on_after(WAIT_SHARE_OF_REMAINING * remaining):
            while (endpoint := self._reserve(eligible, record)) is None:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
        if endpoint is None:
            yield self._unreserved(endpoints)
            return
        try:
            with anyio.move_on_after(WAIT_SHARE_OF_REMAINING * remaining):
                while self._has_other_requests(endpoint):
                    await anyio.sleep(POLL_INTERVAL_SECONDS)
            yield [endpoint]
        finally:
            self._release(endpoint)

    def _reserve(
        self, eligible: list[Endpoint], record: CrashRecord
    ) -> Endpoint | None:
        max_count = math.isqrt(record.in_flight) if record.total == 1 else 1
        reserved = [e for e in eligible if e.name in self.groups]
        for endpoint in reserved:
            group = self.groups[endpoint.name]
            if group.count < min(group.max_count, max_count):
                group.count += 1
                return endpoint
        free = [e for e in eligible if e.name not in self.groups]
        if not free or len(reserved) >= max(1, int(MAX_RESERVED_SHARE * len(eligible))):
            return None
        endpoint = min(free, key=lambda e: (e.failures_in_row, e.in_flight))
        self.groups[endpoint.name] = SuspectGroup(max_count=max_count)
        return endpoint

    def _release(self, endpoint: Endpoint) -> None:
        group = self.groups[endpoint.name]
        group.count -= 1
        if group.count == 0:
            del self.groups[endpoint.name]

    def _has_other_requests(self, endpoint: Endpoint) -> bool:
        """Return whether requests that are not suspects still run at an endpoint."""
        running = self.running.get(endpoint.name, ())
        return any(self.quarantine.record_of(other) is None for other in running)

    def _recent_losses(self, name: str) -> dict[str, float]:
        horizon = anyio.current_time() - SAME_CRASH_WINDOW_SECONDS
        recent = {
            k: at
            for k, at in self.lost_connections.get(name, {}).items()
            if at > horizon
        }
        self.lost_connections[name] = recent
        return recent
