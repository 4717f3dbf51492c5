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
from currantdyke.quarantine.record import Suspicion
from currantdyke.requests import Exchange
from currantdyke.stagecalls import AttemptEnd, AttemptReport

__all__ = ["Turn", "Turns"]

# Time after a crash until all copies in flight have been checked: a refused connection
# is detected within milliseconds, a VM that is gone within the time to connect.
SETTLE_SECONDS = 1.0
SETTLE_SHARE_OF_REST = 0.2
WAIT_SHARE_OF_REST = 0.5
POLL_SECONDS = 0.02
SAME_CRASH_SECONDS = 1.0
RESERVED_SHARE = 0.5
MIN_ENDPOINTS = 2


@attrs.define(kw_only=True, eq=False)
class Turn:
    """Permission for one attempt to run.

    Attributes
    ----------
    refused : Failure or None
        Reason why the attempt may not run.
    endpoints : sequence of Endpoint
        Endpoints on which it may run.
    """

    turns: "Turns"
    exchange: Exchange
    endpoints: Sequence[Endpoint]
    refused: Failure | None = None

    @contextlib.contextmanager
    def on(self, endpoint: Endpoint) -> Iterator[None]:
        """Register the request as in flight at an endpoint."""
        running = self.turns.running.setdefault(endpoint.name, [])
        running.append(self.exchange)
        try:
            yield
        finally:
            running.remove(self.exchange)

    async def judge(self, endpoint: Endpoint, report: AttemptReport) -> None:
        """Count a crash if the endpoint crashed; clear the request if it succeeded."""
        if report.end is AttemptEnd.CUT:
            await self.turns.judge_cut(self.exchange, endpoint)
        elif report.end is AttemptEnd.DONE:
            self.turns.judge_done(self.exchange, endpoint)


@attrs.define(kw_only=True, eq=False)
class Group:
    """Number of suspects that share an endpoint, and its upper limit."""

    most: int
    count: int = 1


@attrs.define(kw_only=True, eq=False)
class Turns:
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
    groups: dict[str, "Group"] = attrs.field(factory=dict)
    trying: collections.Counter[str] = attrs.field(factory=collections.Counter)
    cuts: dict[str, dict[str, float]] = attrs.field(factory=dict)

    @contextlib.asynccontextmanager
    async def turn(
        self,
        exchange: Exchange,
        endpoints: Sequence[Endpoint],
        tried: Collection[str] = (),
    ) -> AsyncIterator[Turn]:
        """Wait for permission to run on some of a service's endpoints.

        Parameters
        ----------
        exchange : Exchange
            The request.
        endpoints : sequence of Endpoint
            The endpoints of the service.
        tried : collection of str
            Names of endpoints that a suspect avoids if there are others.
        """
        suspicion = self.quarantine.suspicion_of(exchange)
        service = endpoints[0].service if endpoints else ""
        if suspicion is None or suspicion.service != service:
            yield self._turn(exchange, self._unreserved(endpoints))
            return
        async with self._trial(exchange, suspicion):
            if self.quarantine.suspicion_of(exchange) is None:
                yield self._turn(exchange, self._unreserved(endpoints))
                return
            if self.quarantine.refuse(exchange):
                yield self._turn(exchange, endpoints)
                return
            async with self._apart(exchange, endpoints, suspicion, tried) as kept:
                yield self._turn(exchange, kept)

    async def judge_cut(self, exchange: Exchange, endpoint: Endpoint) -> None:
        """Count a crash if the endpoint refuses new connections."""
        fingerprint = fingerprint_of(exchange)
        cuts = self._recent_cuts(endpoint.name)
        is_counted = fingerprint in cuts
        cuts[fingerprint] = anyio.current_time()
        beside = {
            fingerprint_of(other) for other in self.running.get(endpoint.name, ())
        }
        crowd = len(beside | cuts.keys() | {fingerprint})
        if is_counted or await self.can_connect(endpoint.spec.url) is not False:
            return
        self.quarantine.count_crash(
            fingerprint, alone=crowd == 1, crowd=crowd, service=endpoint.service
        )

    def judge_done(self, exchange: Exchange, endpoint: Endpoint) -> None:
        """Clear a suspect that succeeded at the service it is suspected of crashing."""
        suspicion = self.quarantine.suspicion_of(exchange)
        if suspicion and suspicion.service == endpoint.service:
            self.quarantine.clear(suspicion.fingerprint)

    def _turn(self, exchange: Exchange, endpoints: Sequence[Endpoint]) -> Turn:
        return Turn(
            turns=self,
            exchange=exchange,
            endpoints=endpoints,
            refused=self.quarantine.refuse(exchange),
        )

    def _unreserved(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        if not self.groups:
            return endpoints
        return [e for e in endpoints if e.name not in self.groups] or endpoints

    @contextlib.asynccontextmanager
    async def _trial(
        self, exchange: Exchange, suspicion: Suspicion
    ) -> AsyncIterator[None]:
        """Wait for crash checks and other copies, then register a running copy."""
        rest = exchange.deadline - anyio.current_time()
        settle = min(SETTLE_SECONDS, SETTLE_SHARE_OF_REST * rest)
        await anyio.sleep(max(0.0, suspicion.heard + settle - anyio.current_time()))
        with anyio.move_on_after(WAIT_SHARE_OF_REST * rest):
            while self._is_tried(exchange, suspicion):
                await anyio.sleep(POLL_SECONDS)
        with self._running_copy(suspicion.fingerprint):
            yield

    @contextlib.contextmanager
    def _running_copy(self, fingerprint: str) -> Iterator[None]:
        self.trying[fingerprint] += 1
        try:
            yield
        finally:
            self.trying[fingerprint] -= 1
            if not self.trying[fingerprint]:
                del self.trying[fingerprint]

    def _is_tried(self, exchange: Exchange, suspicion: Suspicion) -> bool:
        """Return whether another copy of a suspect has to finish first."""
        if self.quarantine.suspicion_of(exchange) is None:
            return False
        if self.quarantine.refuse(exchange) is not None:
            return False
        return suspicion.fingerprint in self.trying

    @contextlib.asynccontextmanager
    async def _apart(
        self,
        exchange: Exchange,
        endpoints: Sequence[Endpoint],
        suspicion: Suspicion,
        tried: Collection[str],
    ) -> AsyncIterator[Sequence[Endpoint]]:
        able = [e for e in endpoints if not e.leaving and e.name not in tried]
        if len(able) < MIN_ENDPOINTS:
            yield self._unreserved(endpoints)
            return
        rest = exchange.deadline - anyio.current_time()
        endpoint = None
        with anyio.move_on_after(WAIT_SHARE_OF_REST * rest):
            while (endpoint := self._reserve(able, suspicion)) is None:
                await anyio.sleep(POLL_SECONDS)
        if endpoint is None:
            yield self._unreserved(endpoints)
            return
        try:
            with anyio.move_on_after(WAIT_SHARE_OF_REST * rest):
                while self._has_strangers(endpoint):
                    await anyio.sleep(POLL_SECONDS)
            yield [endpoint]
        finally:
            self._release(endpoint)

    def _reserve(self, able: list[Endpoint], suspicion: Suspicion) -> Endpoint | None:
        most = math.isqrt(suspicion.crowd) if suspicion.total == 1 else 1
        kept = [e for e in able if e.name in self.groups]
        for endpoint in kept:
            group = self.groups[endpoint.name]
            if group.count < min(group.most, most):
                group.count += 1
                return endpoint
        free = [e for e in able if e.name not in self.groups]
        if not free or len(kept) >= max(1, int(RESERVED_SHARE * len(able))):
            return None
        endpoint = min(free, key=lambda e: (e.failures_in_row, e.in_flight))
        self.groups[endpoint.name] = Group(most=most)
        return endpoint

    def _release(self, endpoint: Endpoint) -> None:
        group = self.groups[endpoint.name]
        group.count -= 1
        if group.count == 0:
            del self.groups[endpoint.name]

    def _has_strangers(self, endpoint: Endpoint) -> bool:
        """Return whether requests that are not suspects still run at an endpoint."""
        running = self.running.get(endpoint.name, ())
        return any(self.quarantine.suspicion_of(other) is None for other in running)

    def _recent_cuts(self, name: str) -> dict[str, float]:
        horizon = anyio.current_time() - SAME_CRASH_SECONDS
        recent = {k: at for k, at in self.cuts.get(name, {}).items() if at > horizon}
        self.cuts[name] = recent
        return recent
