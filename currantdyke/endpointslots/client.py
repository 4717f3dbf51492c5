"""Slots of brittle endpoints, asked of the daemon that grants them."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import EndpointTable
from currantdyke.endpointlimits.client import ASK_TIMEOUT_SECONDS
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointlimits.table import Role
from currantdyke.endpointslots.brittle import BrittleServices
from currantdyke.endpointslots.messages import SlotGrant, SlotRelease, SlotRequest
from currantdyke.endpointslots.pool import SlotPools
from currantdyke.links.link import LinkLostError

__all__ = ["EndpointSlots", "Slot"]

# After an owner did not respond: by then another daemon is the owner.
UNANSWERED_SECONDS = 0.5
# An endpoint that is asked for later than this after its service became brittle has
# started since, probably after a crash.
BEGINNING_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class Slot:
    """A slot of an endpoint for one request.

    Attributes
    ----------
    instance : str
        Empty if the endpoint is not brittle, so that there is nothing to release.
    owner : str
        IP of the daemon that granted it; empty for this daemon.
    """

    instance: str = ""
    lease: int = 0
    owner: str = ""


@attrs.define(kw_only=True, eq=False)
class EndpointSlots:
    """Slots of the endpoints of brittle services, for the whole fleet.

    Attributes
    ----------
    request, send : callable
        Send a request or a notification to a daemon by its IP.
    owners : LimitOwners
        The daemons that grant the slots of each service.
    denied : int
        Requests for which there was no slot.
    """

    brittle: BrittleServices
    endpoints: EndpointTable
    log: DecisionLog
    request: Callable[[str, SlotRequest], Awaitable[Any]]
    send: Callable[[str, SlotRelease], None]
    owners: LimitOwners
    pools: SlotPools = attrs.field(factory=SlotPools)
    denied: int = 0

    async def acquire(self, endpoint: Endpoint, seconds: float) -> Slot | float:
        """Return a slot, or the seconds after which to ask again.

        Parameters
        ----------
        seconds : float
            Time within which the request ends.
        """
        if not self.brittle.is_brittle(endpoint.service):
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
        elif self.owners.local_role(endpoint.service) is Role.ALONE:
            # Others may grant the same slots.
            grant = SlotGrant(lease=0, wait=UNANSWERED_SECONDS)
        else:
            grant = self.grant(request)
        if not grant.lease:
            self.denied += 1
            return grant.wait
        return Slot(instance=endpoint.instance, lease=grant.lease, owner=owner)

    def grant(self, request: SlotRequest) -> SlotGrant:
        """Grant a slot as the owner."""
        endpoint = self.endpoints.usable(request.instance)
        if endpoint is None or endpoint.born != request.born:
            return SlotGrant(lease=0, wait=UNANSWERED_SECONDS)
        now = anyio.current_time()
        began_at = self.brittle.began_at.get(request.service, now)
        return self.pools.grant(
            request.instance,
            born=request.born,
            slots=endpoint.slots,
            first=endpoint.slots if now < began_at + BEGINNING_SECONDS else 1,
            seconds=request.seconds,
            now=now,
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
        answer = None
        try:
            with anyio.move_on_after(ASK_TIMEOUT_SECONDS):
                answer = await self.request(owner, request)
        except LinkLostError as error:
            self.log.write("slot_owner_lost", owner=owner, reason=str(error))
        if isinstance(answer, SlotGrant):
            return answer
        self.owners.forget(request.service)
        return SlotGrant(lease=0, wait=UNANSWERED_SECONDS)
