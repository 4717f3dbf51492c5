"""The announced endpoints, and which of them may receive new work."""

import collections
from collections.abc import Callable

import attrs

from currantdyke.catalog import Endpoint
from currantdyke.core import Position

__all__ = ["EVACUATED_RETRY_SECONDS", "EndpointTable", "GRACE_PERIOD_SECONDS"]

# User requirement: entries that expired during a store outage reappear within this
# time after its end, or not at all.
GRACE_PERIOD_SECONDS = 2.0
# Retry-After of requests that only an evacuated zone could serve. It stays evacuated
# for minutes, but an endpoint elsewhere starts within seconds.
EVACUATED_RETRY_SECONDS = 2.0
# An endpoint leaves within seconds of saying so; many more than leave in that time.
MAX_MARKS = 4_096


@attrs.define(kw_only=True, eq=False)
class EndpointTable:
    """Announced endpoints by instance and, if they may get new work, by service.

    Endpoints that are leaving or in an evacuated zone may not.

    Attributes
    ----------
    now : callable
        Returns the monotonic time in seconds.
    lapsed : dict of str to float
        Instances whose entries were removed when that may have been due to a store
        outage, and the time until which each stays in use; a later grace period does
        not extend it.
    marked_leaving : OrderedDict of str to int
        Start of the lifetime of each endpoint that says that it is leaving, whatever
        its entry says, by instance.
    evacuated : dict of str to Position
        Position of the record of each evacuated availability zone.
    withheld : dict of str to dict of str to Endpoint
        Endpoints that get no new work only because of their zones, by service and
        instance.
    on_entry : list of callable
        Called with each entry that is read, also if the endpoint stays the same.
    """

    now: Callable[[], float]
    known: dict[str, Endpoint] = attrs.field(factory=dict)
    by_service: dict[str, dict[str, Endpoint]] = attrs.field(factory=dict)
    lapsed: dict[str, float] = attrs.field(factory=dict)
    marked_leaving: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    evacuated: dict[str, Position] = attrs.field(factory=dict)
    withheld: dict[str, dict[str, Endpoint]] = attrs.field(factory=dict)
    grace_period_end: float = 0.0
    watchers: list[Callable[[str, Endpoint | None], None]] = attrs.field(factory=list)
    on_entry: list[Callable[[Endpoint], None]] = attrs.field(factory=list)

    def of_service(self, service: str) -> dict[str, Endpoint]:
        """Return the endpoints of a service that may receive new work, by instance."""
        return self.by_service.get(service, {})

    def usable(self, instance: str) -> Endpoint | None:
        """Return an endpoint if it may receive new work, else None."""
        endpoint = self.known.get(instance)
        if endpoint is None or endpoint.leaving or self.is_evacuated(endpoint):
            return None
        return endpoint

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether the zone of an endpoint is evacuated."""
        return endpoint.availability_zone in self.evacuated

    def withheld_of(self, service: str) -> dict[str, Endpoint]:
        """Return the endpoints of a service that only an evacuation keeps from work."""
        return self.withheld.get(service, {})

    def has_only_withheld(self, service: str) -> bool:
        """Return whether only evacuated zones have endpoints that could serve."""
        return not self.of_service(service) and bool(self.withheld_of(service))

    def in_zone(self, zone: str) -> list[Endpoint]:
        """Return the announced endpoints of an availability zone."""
        return [e for e in self.known.values() if e.availability_zone == zone]

    def evacuate(self, zone: str, position: Position) -> None:
        """Give no new work to the endpoints of a zone."""
        is_new = zone not in self.evacuated
        self.evacuated[zone] = position
        if is_new:
            self._update_zone(zone)

    def restore(self, zone: str) -> None:
        """Give work to the endpoints of a zone again, unless they are leaving."""
        if self.evacuated.pop(zone, None) is not None:
            self._update_zone(zone)

    def announce(self, endpoint: Endpoint) -> None:
        """Add or update an endpoint."""
        previous = self.known.get(endpoint.instance)
        self.lapsed.pop(endpoint.instance, None)
        # Before the watchers, which may send requests to the endpoint.
        for callback in self.on_entry:
            callback(endpoint)
        if self.marked_leaving.get(endpoint.instance) == endpoint.born:
            endpoint = attrs.evolve(endpoint, leaving=True)
        if previous == endpoint:
            return
        self._add(endpoint)

    def mark_leaving(self, instance: str, born: int) -> bool:
        """Give no new work to a lifetime of an endpoint; return whether that is new."""
        if self.marked_leaving.get(instance, born - 1) >= born:
            return False
        self.marked_leaving[instance] = born
        if len(self.marked_leaving) > MAX_MARKS:
            self.marked_leaving.popitem(last=False)
        endpoint = self.known.get(instance)
        if endpoint is None or endpoint.born != born or endpoint.leaving:
            return False
        self._add(attrs.evolve(endpoint, leaving=True))
        return True

    def remove(self, instance: str, *, grace_period: float = 0.0) -> None:
        """Remove an endpoint; in a grace period, only mark it as lapsed.

        Parameters
        ----------
        grace_period : float
            Seconds that are left of the grace period of the daemon that told of the
            removal.
        """
        if instance not in self.known:
            return
        now = self.now()
        kept_until = max(self.grace_period_end, now + grace_period)
        if now < kept_until:
            self.lapsed.setdefault(instance, kept_until)
            return
        self._delete(instance)

    def start_grace_period(self) -> None:
        """Start the grace period in which lapsed entries may reappear."""
        self.grace_period_end = self.now() + GRACE_PERIOD_SECONDS

    def grace_period_left(self) -> float:
        """Return the seconds for which removals may be of lapsed entries, or 0."""
        end = max([self.grace_period_end, *self.lapsed.values()])
        return max(0.0, end - self.now())

    def drop_lapsed(self) -> list[str]:
        """Remove the endpoints that did not reappear in the grace period."""
        now = self.now()
        dropped = sorted(name for name, until in self.lapsed.items() if until <= now)
        for instance in dropped:
            del self.lapsed[instance]
            self._delete(instance)
        return dropped

    def _add(self, endpoint: Endpoint) -> None:
        previous = self.known.get(endpoint.instance)
        if previous is not None:
            self._remove_from_service(previous)
        self.known[endpoint.instance] = endpoint
        self._add_to_service(endpoint)
        self._notify_watchers(endpoint.instance, endpoint)

    def _update_zone(self, zone: str) -> None:
        endpoints = self.in_zone(zone)
        for endpoint in endpoints:
            self._remove_from_service(endpoint)
            self._add_to_service(endpoint)
        # A watcher may send work at once, which must see the whole change.
        for endpoint in endpoints:
            self._notify_watchers(endpoint.instance, endpoint)

    def _add_to_service(self, endpoint: Endpoint) -> None:
        if endpoint.leaving:
            return
        index = self.withheld if self.is_evacuated(endpoint) else self.by_service
        index.setdefault(endpoint.service, {})[endpoint.instance] = endpoint

    def _delete(self, instance: str) -> None:
        endpoint = self.known.pop(instance)
        self._remove_from_service(endpoint)
        self._notify_watchers(instance, None)

    def _remove_from_service(self, endpoint: Endpoint) -> None:
        for index in (self.by_service, self.withheld):
            index.get(endpoint.service, {}).pop(endpoint.instance, None)

    def _notify_watchers(self, instance: str, endpoint: Endpoint | None) -> None:
        for watcher in self.watchers:
            watcher(instance, endpoint)
