"""Evacuations of availability zones, as the operators record them in the store."""

from collections.abc import Iterable
from typing import Any

import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory.endpoints import EndpointTable
from currantdyke.directory.replica import ChangeSet
from currantdyke.platform.records import is_evacuation_key
from currantdyke.platform.store import Change

__all__ = ["EvacuationReport", "drop_values"]


def drop_values(changes: ChangeSet) -> ChangeSet:
    """Return changes with empty values of the records of evacuations.

    The key alone counts. A large value would be known only once it has been fetched.
    """
    # Called for each heartbeat of each endpoint.
    if not any(is_evacuation_key(item.key) for item in changes.changes) and not any(
        is_evacuation_key(offer.key) for offer in changes.offers
    ):
        return changes
    offered = [
        Change(key=offer.key, value=b"", revision=offer.revision, era=offer.era)
        for offer in changes.offers
        if is_evacuation_key(offer.key)
    ]
    kept = [
        attrs.evolve(change, value=b"")
        if change.value and is_evacuation_key(change.key)
        else change
        for change in changes.changes
    ]
    offers = tuple(o for o in changes.offers if not is_evacuation_key(o.key))
    return attrs.evolve(changes, changes=(*kept, *offered), offers=offers)


@attrs.define(kw_only=True, eq=False)
class EvacuationReport:
    """Logs each begin and end of an evacuation once.

    Attributes
    ----------
    reported : set of str
        Evacuated zones whose begin was logged.
    unknown : set of str
        Zones of records in which nothing is known to run.
    """

    endpoints: EndpointTable
    log: DecisionLog
    reported: set[str] = attrs.field(factory=set)
    unknown: set[str] = attrs.field(factory=set)

    def update(self, daemon_zones: Iterable[str], source: str) -> None:
        """Log what has changed; called after all changes of a set are applied.

        Endpoints announce themselves again and again, so that the entries of a list
        follow the record of their zone.
        """
        evacuated = self.endpoints.evacuated
        for zone in sorted(self.reported - evacuated.keys()):
            self.reported.remove(zone)
            self._write("zone_restored", zone, source=source)
        self.unknown &= evacuated.keys()
        unreported = evacuated.keys() - self.reported
        if not unreported:
            return
        zones = {e.availability_zone for e in self.endpoints.known.values()}
        zones.update(daemon_zones)
        for zone in sorted(unreported & zones):
            self.unknown.discard(zone)
            self.reported.add(zone)
            position = evacuated[zone]
            self._write(
                "zone_evacuated",
                zone,
                era=position.era,
                revision=position.revision,
                source=source,
            )
        for zone in sorted(unreported - zones - self.unknown):
            self.unknown.add(zone)
            self.log.write("zone_unknown", failure=True, zone=zone, source=source)

    def counts(self) -> dict[str, int]:
        """Return the number of endpoints in each evacuated zone that is known."""
        return {zone: len(self.endpoints.in_zone(zone)) for zone in self.reported}

    def _write(self, event: str, zone: str, **fields: Any) -> None:
        endpoints = len(self.endpoints.in_zone(zone))
        self.log.write(event, zone=zone, endpoints=endpoints, **fields)
