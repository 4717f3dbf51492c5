"""Keeps the fleet's requests to an endpoint within the limit that it names."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.endpointlimits.known import KnownLimits
from currantdyke.endpointlimits.messages import TokenGrant, TokenRequest
from currantdyke.endpointlimits.table import (
    EndpointLimit,
    Role,
    first_free_token,
    next_retry_slot,
    reserved_tokens,
)
from currantdyke.links.link import LinkLostError

__all__ = ["EndpointLimits"]

# Requests of plain services have a tenth of a second; another endpoint is tried after
# this time.
ASK_TIMEOUT_SECONDS = 0.15
# After an owner did not respond, or was no owner: by then its link is found broken, or
# its entry shows that it stops.
UNANSWERED_HOLD_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class EndpointLimits(KnownLimits):
    """The limits of endpoints, of which one daemon each grants the requests.

    The owner of a limit is the owner of the endpoint's service group, so that it places
    streams and stage calls without asking. Other daemons ask it before they send.

    Attributes
    ----------
    request : callable
        Sends a request to a daemon by its IP.
    count_daemons : callable
        Returns the number of daemons in the fleet.
    denied : int
        Requests that were not sent to an endpoint because of its limit.
    asked : int
        Requests to owners.
    """

    request: Callable[[str, TokenRequest], Awaitable[Any]]
    count_daemons: Callable[[], int]
    denied: int = 0
    asked: int = 0

    async def handle_request(
        self, request: TokenRequest, sender: str = ""
    ) -> TokenGrant:
        """Grant a request of another daemon, or state when it may ask again.

        A daemon that sees another owner passes the request on, so that it learns
        whether that one responds.
        """
        self.owners.record_contact(sender)
        owner = self.owners.find(request.service)
        if owner.ip and not request.forwarded:
            forwarded = attrs.evolve(request, forwarded=True)
            answer = await self._request(owner.ip, forwarded)
            if answer is not None:
                return answer
            self.owners.forget(request.service)
        now = anyio.current_time()
        limit = self._limit_for(request, now)
        if limit is None:
            known = self.table.limits.get(request.instance)
            named_at = now if known is None else known.named_at
            return TokenGrant(wait=0.0, limited=False, age=now - named_at)
        role = self._role(limit, request.service)
        wait = self._take(limit, role, now, sheddable=request.sheddable)
        if role is Role.ALONE:
            return TokenGrant(wait=min(wait, UNANSWERED_HOLD_SECONDS))
        if wait:
            wait = next_retry_slot(limit, wait, limit.bucket.rate, now)
        return TokenGrant(wait=wait)

    def _limit_for(self, request: TokenRequest, now: float) -> EndpointLimit | None:
        """Return the limit of which a daemon asks, and learn it from the request."""
        instance, born = request.instance, request.born
        if request.cold_remaining:
            self.cold.record(
                instance, request.service, born, request.cold_remaining, source="peer"
            )
            return self.table.find(instance, born)
        before = self._rate_of(instance)
        if self.table.adopt(instance, born, request.rate, now - request.age):
            self._log_change(instance, before, source="peer")
        return self.table.find(instance, born)

    def _role(self, limit: EndpointLimit, service: str) -> Role:
        """Return the role in which this daemon takes tokens without asking."""
        return self.owners.role_for(service, cold=limit.cold_rate is not None)

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
        role = self._role(limit, endpoint.service)
        if role is Role.ALONE:
            return limit.held_until[sheddable] > now
        return self._wait(limit, role, now, sheddable=sheddable) > 0.0

    def held(self, endpoints: Iterable[Endpoint], *, sheddable: bool) -> set[str]:
        """Return the instances to which a request is known not to be granted."""
        if not self.table.limits and not self.cold.periods:
            return set()
        return {
            endpoint.instance
            for endpoint in endpoints
            if self.is_held(endpoint, sheddable=sheddable)
        }

    def take_as_owner(self, endpoint: Endpoint, *, sheddable: bool) -> float | None:
        """Grant a request as the owner; return the limit, or None without one."""
        limit = self.table.of(endpoint)
        role = None if limit is None else self._role(limit, endpoint.service)
        if limit is None or role is None or role is Role.ALONE:
            return None
        self._take(limit, role, anyio.current_time(), sheddable=sheddable)
        return limit.lowest_rate

    def has_token(self, endpoint: Endpoint) -> bool:
        """Return whether this daemon may send a call without asking."""
        limit = self.table.of(endpoint)
        if limit is None:
            return True
        now = anyio.current_time()
        self._enter(limit, self._role(limit, endpoint.service), now)
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
        role = self._role(limit, endpoint.service)
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
            role = None if limit is None else self._role(limit, endpoint.service)
            if limit is None or role is None or role is Role.ALONE:
                return 0.0
            self._enter(limit, role, now)
            bucket = limit.bucket
            tokens.append(((1.0 - bucket.tokens) / bucket.rate, bucket.rate))
        return first_free_token(tokens, waiting=waiting, seconds=seconds)

    def retry_slot(self, endpoints: Iterable[Endpoint]) -> float:
        """Return after how many seconds the caller of a refused stream comes back."""
        now = anyio.current_time()
        limits = [limit for e in endpoints if (limit := self.table.of(e)) is not None]
        limit = min(limits, key=lambda entry: entry.retry_slot_at)
        self.denied += 1
        wait = max(limit.held_until.values()) - now
        if limit.role in (Role.OWNER, Role.SUBSTITUTE):
            wait = limit.bucket.wait(now)
        wait = max(0.0, wait)
        return next_retry_slot(limit, wait, limit.effective_rate(Role.OWNER, 1), now)

    async def _ask(
        self, limit: EndpointLimit, endpoint: Endpoint, sheddable: bool
    ) -> float:
        """Ask the owner for a token; return 0, or the seconds until the next try."""
        ip = self.owners.find(endpoint.service).ip
        now = anyio.current_time()
        if not ip:
            return self._take_locally(limit, endpoint, sheddable)
        cold_remaining = self.cold.remaining(limit.instance, limit.born)
        is_cold = cold_remaining > 0.0 and limit.lowest_rate == limit.cold_rate
        request = TokenRequest(
            instance=limit.instance,
            service=endpoint.service,
            born=limit.born,
            rate=limit.lowest_rate or 0.0,
            # An earlier build takes the rate of a cold endpoint for one that it names.
            age=0.0 if is_cold else now - limit.named_at,
            sheddable=sheddable,
            cold_remaining=cold_remaining if is_cold else 0.0,
        )
        self.asked += 1
        answer = None
        with anyio.move_on_after(ASK_TIMEOUT_SECONDS):
            answer = await self._request(ip, request)
        now = anyio.current_time()
        if answer is None:
            self.owners.forget(endpoint.service)
            return self._take_locally(limit, endpoint, sheddable)
        if not answer.limited:
            if is_cold and self.table.of(endpoint):
                # The owner has no such limit: it is of an earlier build.
                return self._take_locally(limit, endpoint, sheddable)
            named_at = now - answer.age
            if self.table.adopt(limit.instance, limit.born, None, named_at):
                self._log_change(limit.instance, request.rate, source="owner")
            limit.role = Role.ASKING
            return 0.0
        limit.role = Role.ASKING
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
        role = self._role(limit, endpoint.service)
        now = anyio.current_time()
        wait = self._take(limit, role, now, sheddable=sheddable)
        if wait and role is Role.ALONE:
            seconds = UNANSWERED_HOLD_SECONDS
            if limit.cold_rate is not None:
                # Its turn is lost if it does not use it.
                seconds = min(seconds, wait)
            self.table.hold(limit, seconds, now=now, sheddable=sheddable)
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
            asking=self._count_asking(role),
            reserve=reserved_tokens(role, sheddable=sheddable, spare=spare),
        )

    def _enter(self, limit: EndpointLimit, role: Role, now: float) -> None:
        self.table.enter(
            limit,
            role,
            now=now,
            daemons=self.count_daemons(),
            asking=self._count_asking(role),
        )

    def _count_asking(self, role: Role) -> int:
        return self.owners.count_asking() if role is Role.SUBSTITUTE else 0

    def _wait(
        self, limit: EndpointLimit, role: Role, now: float, *, sheddable: bool
    ) -> float:
        self._enter(limit, role, now)
        reserve = reserved_tokens(role, sheddable=sheddable)
        return limit.bucket.wait(now, reserve=reserve)
