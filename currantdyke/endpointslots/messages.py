"""Messages between daemons about brittle endpoints."""

import attrs

__all__ = ["ServiceBrittle", "SlotGrant", "SlotRelease", "SlotRequest"]


@attrs.frozen(kw_only=True)
class ServiceBrittle:
    """Reports a service whose endpoints crash if they must turn requests away."""

    service: str


@attrs.frozen(kw_only=True)
class SlotRequest:
    """Asks the owner of a service for a slot of an endpoint.

    Attributes
    ----------
    seconds : float
        Time after which the slot is free in any case.
    """

    instance: str
    service: str
    born: int
    seconds: float


@attrs.frozen(kw_only=True)
class SlotGrant:
    """Response to a `SlotRequest`.

    Attributes
    ----------
    lease : int
        Names the slot when it is released; 0 if there is none.
    wait : float
        Seconds until one may be free.
    """

    lease: int
    wait: float = 0.0


@attrs.frozen(kw_only=True)
class SlotRelease:
    """Frees a slot.

    Attributes
    ----------
    rejected : bool
        Whether the endpoint had no room for the request.
    """

    instance: str
    lease: int
    rejected: bool = False
