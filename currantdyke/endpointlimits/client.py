"""Keeps the fleet's requests to an endpoint within the limit that it names."""

import heapq
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.endpointlimits.messages import LimitReport, TokenGrant, TokenRequest
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointlimits.table import (
    EndpointLimit,
    LimitTable,
    Role,
    next_retry_slot,
    reserved_tokens,
)
from currantdyke.links.link import LinkLostError
from currantdyke.platform.answers import ResponseMetadata

__all__ = ["EndpointLimits"]

# Requests of plain services have a tenth of a second; another endpoint is tried after
# this time.
ASK_TIMEOUT_SECONDS = 0.15
# After an owner did not respond, or was no owner: by then its link is found broken, or
# its entry shows that it stops.
UNANSWERED_HOLD_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class EndpointLimits:
    """The limits of endpoints, of which one daemon each grants the requests.

    The owner of a limit is the owner of the endpoint's service group, so that it places
    streams and stage calls without asking. Other daemons ask it before they send.

    Attributes
    ----------
    request, send, broadcast : callable
        Send a request to a daemon by its IP, a notification to one, or to all.
    owners : LimitOwners
        The owners of the limits of each service.
    count_daemons : callable
        Returns the number of daemons in the fleet.
    denied : int
        Requests that were not sent to an endpoint because of its limit.
    asked : int
        Requests to owners.
    """

    log: DecisionLog
    request: Callable[[str, TokenRequest], Awaitable[Any]]
    send: Callable[[str, LimitReport], None]
    broadcast: Callable[[LimitReport], None]
    owners: LimitOwners
    count_daemons: Callable[[], int]
    table: LimitTable = attrs.field(factory=LimitTable)
    unreadable: set[str] = attrs.field(factory=set)
    denied: int = 0
    asked: int = 0

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
        if facts.unreadable_limit is not None:
            self._log_unreadable(endpoint, facts.unreadable_limit)
            return
        rate = facts.request_rate_limit
        known = endpoint.instance in self.table.limits
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

    async def handle_request(self, request: TokenRequest) -> TokenGrant:
        """Grant a request of another daemon, or state when it may ask again.

        A daemon that sees another owner passes the request on, so that it learns
        whether that one responds.
        """
        self.owners.record_contact()
        owner = self.owners.find(request.service)
        if owner.ip and not request.forwarded:
            forwarded = attrs.evolve(request, forwarded=True)
            answer = await self._request(owner.ip, forwarded)
            if answer is not None:
                return answer
            self.owners.forget(request.service)
        now = anyio.current_time()
        before = self._rate_of(request.instance)
        named_at = now - request.age
        if self.table.adopt(request.instance, request.born, request.rate, named_at):
            self._log_change(request.instance, before, source="peer")
        limit = self.table.limits[request.instance]
        if limit.rate is None or limit.born != request.born:
            return TokenGrant(wait=0.0, limited=False, age=now - limit.named_at)
        role = self.owners.local_role(request.service)
        wait = self._take(limit, role, now, sheddable=request.sheddable)
        if role is Role.ALONE:
            return TokenGrant(wait=min(wait, UNANSWERED_HOLD_SECONDS))
        if wait:
            wait = next_retry_slot(limit, wait, limit.bucket.rate, now)
        return TokenGrant(wait=wait)

    async def admit(self, endpoint: Endpoint, *, sheddable: bool) -> float:
        """Return 0 if a request may be sent to an endpoint now, else a delay.

        Returns
        -------
        float
            Seconds after which a refused caller should come back.
        """
        limit = self.table.of(endpoint)
        if limit is None:
            return 0.0
        now = anyio.current_time()
        wait = limit.held_until[sheddable] - now
        if wait <= 0.0:
            wait = await self._ask(limit, endpoint, sheddable)
        if wait <= 0.0:
            return 0.0
        self.denied += 1
        rate = limit.caller_rate(self.count_daemons())
        return next_retry_slot(limit, wait, rate, anyio.current_time())

    def is_held(self, endpoint: Endpoint, *, sheddable: bool) -> bool:
        """Return whether it is known without asking that a request is not granted."""
        limit = self.table.of(endpoint)
        if limit is None:
            return False
        now = anyio.current_time()
        if self.owners.local_role(endpoint.service) is Role.ALONE:
            return limit.held_until[sheddable] > now
        return self._wait(limit, now, sheddable=sheddable) > 0.0

    def held(self, endpoints: Iterable[Endpoint], *, sheddable: bool) -> set[str]:
        """Return the instances to which a request is known not to be granted."""
        if not self.table.limits:
            return set()
        return {
            endpoint.instance
            for endpoint in endpoints
            if self.is_held(endpoint, sheddable=sheddable)
        }

    def take_as_owner(self, endpoint: Endpoint, *, sheddable: bool) -> float | None:
        """Grant a request as the owner; return the limit, or None without one."""
        limit = self.table.of(endpoint)
        if limit is None or self.owners.local_role(endpoint.service) is Role.ALONE:
            return None
        now = anyio.current_time()
        self._take(limit, Role.OWNER, now, sheddable=sheddable)
        return limit.rate

    def has_token(self, endpoint: Endpoint) -> bool:
        """Return whether this daemon may send a call without asking."""
        limit = self.table.of(endpoint)
        if limit is None:
            return True
        now = anyio.current_time()
        role = self.owners.local_role(endpoint.service)
        self.table.enter(limit, role, now=now, daemons=self.count_daemons())
        return limit.bucket.wait(now) == 0.0

    def take_token(self, endpoint: Endpoint, *, spare: bool = False) -> bool:
        """Take a token for a call without asking; return whether there was one.

        Parameters
        ----------
        spare : bool
            Whether the call is only sent if no other needs the token.
        """
        limit = self.table.of(endpoint)
        if limit is None:
            return True
        role = self.owners.local_role(endpoint.service)
        now = anyio.current_time()
        return not self._take(limit, role, now, spare=spare)

    def rate(self, endpoint: Endpoint) -> float | None:
        """Return the requests per second that an endpoint accepts; None if any."""
        limit = self.table.of(endpoint)
        return None if limit is None else limit.effective_rate(Role.OWNER, 1)

    def expected_wait(
        self, endpoints: Iterable[Endpoint], *, waiting: int, seconds: float
    ) -> float:
        """Return how long a request that is sent after a time must wait for a token.

        Parameters
        ----------
        waiting : int
            Requests that are sent to these endpoints before.
        seconds : float
            Time until the request is sent.

        Returns
        -------
        float
            Seconds from now; 0 if one of the endpoints is expected to take it then, or
            if this daemon is not the owner.
        """
        tokens: list[tuple[float, float]] = []
        now = anyio.current_time()
        for endpoint in endpoints:
            limit = self.table.of(endpoint)
            if limit is None or self.owners.local_role(endpoint.service) is Role.ALONE:
                return 0.0
            self._wait(limit, now, sheddable=False)
            bucket = limit.bucket
            tokens.append(((1.0 - bucket.tokens) / bucket.rate, bucket.rate))
        heapq.heapify(tokens)
        for _ in range(waiting):
            at, rate = tokens[0]
            if at > seconds:
                break
            heapq.heapreplace(tokens, (at + 1.0 / rate, rate))
        return tokens[0][0] if tokens and tokens[0][0] > seconds else 0.0

    def retry_slot(self, endpoints: Iterable[Endpoint]) -> float:
        """Return after how many seconds the caller of a refused stream comes back."""
        now = anyio.current_time()
        limits = [limit for e in endpoints if (limit := self.table.of(e)) is not None]
        limit = min(limits, key=lambda entry: entry.retry_slot_at)
        self.denied += 1
        wait = max(limit.held_until.values()) - now
        if limit.role is Role.OWNER:
            wait = limit.bucket.wait(now)
        wait = max(0.0, wait)
        return next_retry_slot(limit, wait, limit.effective_rate(Role.OWNER, 1), now)

    def learn(self, endpoint: Endpoint, rate: float) -> None:
        """Record the limit by which an owner granted a request, if none is known."""
        if endpoint.instance not in self.table.limits:
            now = anyio.current_time()
            self.table.adopt(endpoint.instance, endpoint.born, rate, now)
            self._log_change(endpoint.instance, None, source="owner")

    def on_endpoint_change(self, instance: str, endpoint: Endpoint | None) -> None:
        """Drop the limit of a lifetime that has ended."""
        limit = self.table.limits.get(instance)
        if limit is not None and (endpoint is None or endpoint.born > limit.born):
            self.table.forget(instance)
        self.unreadable.discard(instance)

    async def _ask(
        self, limit: EndpointLimit, endpoint: Endpoint, sheddable: bool
    ) -> float:
        """Ask the owner for a token; return 0, or the seconds until the next try."""
        ip = self.owners.find(endpoint.service).ip
        now = anyio.current_time()
        if not ip:
            return self._take_locally(limit, endpoint, sheddable)
        request = TokenRequest(
            instance=limit.instance,
            service=endpoint.service,
            born=limit.born,
            rate=limit.rate or 0.0,
            age=now - limit.named_at,
            sheddable=sheddable,
        )
        self.asked += 1
        answer = None
        with anyio.move_on_after(ASK_TIMEOUT_SECONDS):
            answer = await self._request(ip, request)
        now = anyio.current_time()
        if answer is None:
            self.owners.forget(endpoint.service)
            return self._take_locally(limit, endpoint, sheddable)
        limit.role = Role.ASKING
        if not answer.limited:
            named_at = now - answer.age
            if self.table.adopt(limit.instance, limit.born, None, named_at):
                self._log_change(limit.instance, request.rate, source="owner")
            return 0.0
        if answer.wait:
            self.table.hold(limit, answer.wait, now=now, sheddable=sheddable)
        return answer.wait

    async def _request(self, ip: str, request: TokenRequest) -> TokenGrant | None:
        """Return the response of a daemon, or None if it gives none."""
        try:
            answer = await self.request(ip, request)
        except LinkLostError as error:
            self.log.write("limit_owner_lost", owner=ip, reason=str(error))
            return None
        return answer if isinstance(answer, TokenGrant) else None

    def _take_locally(
        self, limit: EndpointLimit, endpoint: Endpoint, sheddable: bool
    ) -> float:
        """Take a token of this daemon's own, or hold requests back for a moment."""
        role = self.owners.local_role(endpoint.service)
        now = anyio.current_time()
        wait = self._take(limit, role, now, sheddable=sheddable)
        if wait and role is Role.ALONE:
            self.table.hold(
                limit, UNANSWERED_HOLD_SECONDS, now=now, sheddable=sheddable
            )
        return wait

    def _take(
        self,
        limit: EndpointLimit,
        role: Role,
        now: float,
        *,
        sheddable: bool = False,
        spare: bool = False,
    ) -> float:
        return self.table.take(
            limit,
            role,
            now=now,
            daemons=self.count_daemons(),
            reserve=reserved_tokens(role, sheddable=sheddable, spare=spare),
        )

    def _wait(self, limit: EndpointLimit, now: float, *, sheddable: bool) -> float:
        self.table.enter(limit, Role.OWNER, now=now, daemons=self.count_daemons())
        reserve = reserved_tokens(Role.OWNER, sheddable=sheddable)
        return limit.bucket.wait(now, reserve=reserve)

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
