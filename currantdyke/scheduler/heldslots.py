"""The slots of fragile engines that placed requests hold."""

import attrs

from currantdyke.catalog import Endpoint
from currantdyke.endpointslots.client import EndpointSlots, Slot
from currantdyke.scheduler.messages import PlacementRequest

__all__ = ["HeldSlots"]


@attrs.define(kw_only=True, eq=False)
class HeldSlots:
    """Slots from the placement of a request until its run at the engine ends.

    Attributes
    ----------
    by_request : dict of str to dict of str to Slot
        Slots by the attempt id of the request, and by the instance of the engine: a
        request may run at a second engine while the first is silent.
    """

    slots: EndpointSlots
    by_request: dict[str, dict[str, Slot]] = attrs.field(factory=dict)

    def take(self, endpoint: Endpoint, request: PlacementRequest) -> bool:
        """Take a slot until the request's deadline at most; return whether one is held.

        Engines that are not fragile, or whose slots another daemon grants, have none.
        """
        self.release(request.attempt_id, endpoint.instance)
        slot = self.slots.take_as_owner(endpoint, request.deadline)
        if not slot.lease:
            return False
        held = self.by_request.setdefault(request.attempt_id, {})
        held[endpoint.instance] = slot
        return True

    def release(
        self, attempt_id: str, instance: str = "", *, rejected: bool = False
    ) -> None:
        """Free the slot of a request at an engine, or all of its slots.

        Parameters
        ----------
        rejected : bool
            Whether the engine had no room for the request.
        """
        held = self.by_request.get(attempt_id, {})
        for name in [instance] if instance else list(held):
            slot = held.pop(name, None)
            if slot is not None:
                self.slots.release(slot, rejected=rejected)
        if not held:
            self.by_request.pop(attempt_id, None)
