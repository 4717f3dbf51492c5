"""Slots of fragile endpoints, asked of the daemon that grants them."""

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import EndpointTable
from currantdyke.endpointlimits.client import ASK_TIMEOUT_SECONDS
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointlimits.table import Role
from currantdyke.endpointslots.fragile import KEPT_SECONDS, FragileServices
from currantdyke.endpointslots.messages import SlotGrant, SlotRelease, SlotRequest
from currantdyke.endpointslots.pool import SlotPool, SlotPools
from currantdyke.links.link import LinkLostError

__all__ = ["EndpointSlots", "Slot"]

# After an owner did not respond: by then another daemon is the owner.
UNANSWERED_SECONDS = 0.5
# An endpoint that is asked for later than this after its service became fragile has
# started since, probably after a crash.
BEGINNING_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Slot:
    """A slot of an endpoint for one request.

    Attributes
    ----------
    instance : str
        Empty if the endpoint is not fragile, so that there is nothing to release.
    owner : str
        IP of the daemon that granted it; empty for this daemon.
    """

    instance: str = ""
    lease: int = 0
    owner: str = ""


@attrs.define(kw_only=True, eq=False)
class _Inquiry:
    """A request for a slot to another daemon.

    Attributes
    ----------
    abandoned : bool
        Whether nobody waits for the grant any more.
    """

    owner: str
    request: SlotRequest
    grant: SlotGrant | None = None
    ended: anyio.Event = attrs.field(factory=anyio.Event)
    abandoned: bool = False


@attrs.define(kw_only=True, eq=False)
class EndpointSlots:
    """Slots of the endpoints of fragile services, for the whole fleet.

    Attributes
    ----------
    request, send : callable
        Send a request or a notification to a daemon by its IP.
    start : callable
        Runs a function in the background, from the function and its arguments.
    owners : LimitOwners
        The daemons that grant the slots of each service.
    denied : int
        Requests for which there was no slot.
    started_at : float
        Monotonic time in seconds at which this daemon started.
    """

    fragile: FragileServices
    endpoints: EndpointTable
    log: DecisionLog
    request: Callable[[str, SlotRequest], Awaitable[Any]]
    send: Callable[[str, SlotRelease], None]
    start: Callable[..., None]
    owners: LimitOwners
    pools: SlotPools = attrs.field(factory=SlotPools)
    denied: int = 0
    started_at: float = -math.inf

    async def acquire(self, endpoint: Endpoint, seconds: float) -> Slot | float:
        """Return a slot, or the seconds after which to ask again.

        Parameters
        ----------
        seconds : float
            Time within which the request ends.
        """
        if not self.fragile.is_fragile(endpoint.service):
            return Slot()
        request = SlotRequest(
            instance=endpoint.instance,
            service=endpoint.service,
            born=endpoint.born,
            seconds=max(0.0, seconds),
        )
        owner = self.owners.find(endpoint.service).ip
        if owner:
            grant = await self._ask(owner, request)
        elif not self._may_grant(endpoint.service):
            grant = SlotGrant(lease=0, wait=UNANSWERED_SECONDS)
        else:
            grant = self.grant(request)
        if not grant.lease:
            self.denied += 1
            return grant.wait
        return Slot(instance=endpoint.instance, lease=grant.lease, owner=owner)

    def handle_request(self, request: SlotRequest) -> SlotGrant:
        """Answer another daemon, which knows that the service is fragile."""
        self.fragile.learn(request.service)
        return self.grant(request)

    def grant(self, request: SlotRequest) -> SlotGrant:
        """Grant a slot as the owner."""
        endpoint = self.endpoints.usable(request.instance)
        if endpoint is None or endpoint.born != request.born:
            return SlotGrant(lease=0, wait=UNANSWERED_SECONDS)
        return self.pools.grant(
            self._pool(endpoint), seconds=request.seconds, now=anyio.current_time()
        )

    def is_owner(self, service: str) -> bool:
        """Return whether a service is fragile and no other daemon grants its slots."""
        return self.fragile.is_fragile(service) and not self.owners.find(service).ip

    def full(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those without a free slot; none unless this daemon is the owner."""
        return [
            endpoint
            for endpoint in endpoints
            if self.is_owner(endpoint.service)
            and not (
                self._may_grant(endpoint.service) and self._pool(endpoint).has_room
            )
        ]

    def refuse(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the seconds after which the caller without a slot comes back.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Those without a free slot, at least one.
        """
        self.denied += 1
        pool = min(map(self._pool, endpoints), key=lambda pool: pool.retry_at)
        return pool.next_retry(anyio.current_time())

    def is_short(
        self, endpoints: Iterable[Endpoint], *, waiting: int, seconds: float
    ) -> bool:
        """Return whether a request that is sent after a time will find no slot.

        Parameters
        ----------
        waiting : int
            Requests that are sent to these endpoints before.
        seconds : float
            Time until the request is sent.
        """
        room = sum(self._pool(endpoint).freed_within(seconds) for endpoint in endpoints)
        return room < waiting + 1

    def take_as_owner(self, endpoint: Endpoint, seconds: float) -> Slot:
        """Return a free slot as the owner; an empty one if this daemon grants none."""
        if not self.is_owner(endpoint.service):
            return Slot()
        now = anyio.current_time()
        grant = self.pools.grant(self._pool(endpoint), seconds=seconds, now=now)
        return Slot(instance=endpoint.instance, lease=grant.lease)

    def _may_grant(self, service: str) -> bool:
        """Return whether no other daemon may grant the same slots."""
        return self.owners.local_role(service) is not Role.ALONE

    def _pool(self, endpoint: Endpoint) -> SlotPool:
        now = anyio.current_time()
        began_at = self.fragile.began_at.get(endpoint.service, now)
        # A daemon that has just started can't tell when the service became fragile, and
        # what its predecessor has granted.
        beginning = now < began_at + BEGINNING_SECONDS
        beginning &= began_at > self.started_at + KEPT_SECONDS
        return self.pools.pool(
            endpoint.instance,
            born=endpoint.born,
            slots=endpoint.slots,
            first=endpoint.slots if beginning else 1,
            now=now,
            since=self.fragile.began_at.get(endpoint.service, -math.inf),
        )

    def release(self, slot: Slot, *, rejected: bool = False) -> None:
        """Free a slot once its request has ended."""
        if not slot.lease:
            return
        release = SlotRelease(
            instance=slot.instance, lease=slot.lease, rejected=rejected
        )
        if slot.owner:
            self.send(slot.owner, release)
        else:
            self.handle_release(release)

    def handle_release(self, release: SlotRelease) -> None:
        """Free a slot that this daemon has granted."""
        self.pools.release(
            release.instance,
            release.lease,
            rejected=release.rejected,
            now=anyio.current_time(),
        )

    async def _ask(self, owner: str, request: SlotRequest) -> SlotGrant:
        inquiry = _Inquiry(owner=owner, request=request)
        self.start(self._inquire, inquiry)
        try:
            with anyio.move_on_after(ASK_TIMEOUT_SECONDS):
                await inquiry.ended.wait()
        except anyio.get_cancelled_exc_class():
            self._abandon(inquiry)
            raise
        if inquiry.grant is not None:
            return inquiry.grant
        self._abandon(inquiry)
        self.owners.forget(request.service)
        return SlotGrant(lease=0, wait=UNANSWERED_SECONDS)

    async def _inquire(self, inquiry: _Inquiry) -> None:
        """Wait for the answer of an owner, also when nobody needs it any more.

        Only the answer names the slot, which would stay taken until the deadline.
        """
        try:
            answer = await self.request(inquiry.owner, inquiry.request)
        except LinkLostError as error:
            self.log.write("slot_owner_lost", owner=inquiry.owner, reason=str(error))
            answer = None
        if isinstance(answer, SlotGrant):
            inquiry.grant = answer
        inquiry.ended.set()
        if inquiry.abandoned:
            self._give_back(inquiry)

    def _abandon(self, inquiry: _Inquiry) -> None:
        inquiry.abandoned = True
        if inquiry.ended.is_set():
            self._give_back(inquiry)

    def _give_back(self, inquiry: _Inquiry) -> None:
        if inquiry.grant is not None:
            instance, lease = inquiry.request.instance, inquiry.grant.lease
            self.release(Slot(instance=instance, lease=lease, owner=inquiry.owner))
