"""Which daemon grants the requests to the endpoints of a service."""

import math
from collections.abc import Callable

import anyio
import attrs

from currantdyke.endpointlimits.table import Role

__all__ = ["LimitOwner", "LimitOwners"]

# Small compared with the time in which a daemon learns that another one stops.
OWNER_CACHE_SECONDS = 0.1
# Two owners at once, one of which was frozen, grant too much if it lasts.
CHECK_INTERVAL_SECONDS = 0.4
# For this long, a request of another daemon shows that this one is not cut off itself.
CONTACT_SECONDS = 3.0
# A daemon counts as asking for this time: it asks every 4 s if it needs tokens.
ASKING_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class LimitOwner:
    """The owner of a service's limits.

    Attributes
    ----------
    ip : str
        Empty if it is this daemon.
    undisputed : bool
        Whether it is first also among the daemons that are suspected of a failure.
    until : float
        Until when this is not determined again.
    """

    ip: str
    undisputed: bool
    until: float


@attrs.define(kw_only=True, eq=False)
class LimitOwners:
    """The owners of the limits of all services, as one daemon sees them.

    Attributes
    ----------
    ranked_daemons : callable
        Returns the IPs of the daemons that own the limits of a service, the first in
        order; the IP of this daemon is empty. With the second argument, those that are
        suspected of a failure are included.
    check : callable
        Finds out soon whether a daemon that is suspected of a failure responds again.
    by_service : dict of str to LimitOwner
        Owners that were determined lately.
    checked_at : dict of str to float
        When each suspected daemon was last checked, by IP.
    contact_at : float
        When another daemon last asked this one.
    asked_at : dict of str to float
        When each daemon last asked for a token, by a name of it.
    """

    ranked_daemons: Callable[[str, bool], list[str]]
    check: Callable[[str], None]
    by_service: dict[str, LimitOwner] = attrs.field(factory=dict)
    checked_at: dict[str, float] = attrs.field(factory=dict)
    contact_at: float = -math.inf
    asked_at: dict[str, float] = attrs.field(factory=dict)

    def record_contact(self, sender: str = "") -> None:
        """Record a request of another daemon, for a token if it is named."""
        self.contact_at = anyio.current_time()
        if sender:
            self.asked_at[sender] = self.contact_at

    def count_asking(self) -> int:
        """Return how many daemons ask this one for tokens, itself included."""
        oldest = anyio.current_time() - ASKING_SECONDS
        for sender in [name for name, at in self.asked_at.items() if at < oldest]:
            del self.asked_at[sender]
        return len(self.asked_at) + 1

    def find(self, service: str) -> LimitOwner:
        """Return the owner of the limits of a service."""
        now = anyio.current_time()
        owner = self.by_service.get(service)
        if owner is None or now >= owner.until:
            responding = self.ranked_daemons(service, False)
            known = self.ranked_daemons(service, True)
            owner = self.by_service[service] = LimitOwner(
                ip=responding[0],
                undisputed=responding[0] == known[0],
                until=now + OWNER_CACHE_SECONDS,
            )
            if not owner.ip:
                self._check_earlier(known[: known.index("")], now)
        return owner

    def _check_earlier(self, ips: list[str], now: float) -> None:
        """Check the suspected daemons in whose place this one is the owner."""
        for ip in ips:
            if now - self.checked_at.get(ip, -math.inf) >= CHECK_INTERVAL_SECONDS:
                self.checked_at[ip] = now
                self.check(ip)

    def forget(self, service: str) -> None:
        """Determine an owner anew, since it did not respond."""
        self.by_service.pop(service, None)

    def role_for(self, service: str, *, cold: bool) -> Role:
        """Return the role in which this daemon takes tokens of a limit without asking.

        The owner in whose place it grants may only be cut off from it, and its bound on
        a cold endpoint is too narrow for two of them.

        Parameters
        ----------
        cold : bool
            Whether the limit is that of a cold endpoint.
        """
        role = self.local_role(service)
        if role is Role.OWNER and cold and not self.find(service).undisputed:
            return Role.SUBSTITUTE
        return role

    def local_role(self, service: str) -> Role:
        """Return the role in which this daemon takes tokens without asking.

        A daemon that no other one asks, and that can't reach those that come before it,
        is probably cut off.
        """
        owner = self.find(service)
        is_cut_off = anyio.current_time() - self.contact_at > CONTACT_SECONDS
        if owner.ip or (is_cut_off and not owner.undisputed):
            return Role.ALONE
        return Role.OWNER
