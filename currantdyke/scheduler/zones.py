"""Choice of the availability zone in which a chain's stages run."""

from currantdyke.scheduler.chain import Chain
from currantdyke.scheduler.stages import StageQueues

__all__ = ["choose_zone"]

# Added to the load of a zone without an endpoint of a service, since all results of the
# service would come from another zone. Only services after the first that has an
# endpoint in the zone are counted.
NO_ENDPOINT_PENALTY_SECONDS = 10.0


def choose_zone(chain: Chain, stages: StageQueues, engine_zone: str | None) -> str:
    """Return the zone with the least outstanding work for a chain's services.

    Ties go to the zone of the entry daemon. If no service has endpoints, the result is
    empty unless `engine_zone` is given.

    Parameters
    ----------
    engine_zone : str or None
        The zone of the engine that should serve the request, because it caches the
        prompt and fetches large results; None if the zone may be chosen freely.
    """
    if engine_zone is not None:
        return engine_zone
    loads: dict[str, float] = {}
    services = dict.fromkeys(
        step.service
        for step, count in zip(chain.request.steps, chain.request.pieces, strict=True)
        if count
    )
    for service in services:
        _add_loads(loads, service, stages)
    if not loads:
        return ""
    entry_zone = chain.request.availability_zone
    return min(loads, key=lambda zone: (loads[zone], zone != entry_zone, zone))


def _add_loads(loads: dict[str, float], service: str, stages: StageQueues) -> None:
    """Add a service's seconds of outstanding work per endpoint to each zone's load."""
    limits = stages.limits(service)
    if limits is None:
        return
    endpoint_counts: dict[str, int] = {}
    for worker in stages.service_workers(service):
        endpoint_counts[worker.zone] = endpoint_counts.get(worker.zone, 0) + 1
    pending_pieces: dict[str, int] = {}
    for chain in stages.active_chains.values():
        for step, missing in zip(chain.request.steps, chain.missing, strict=True):
            if step.service == service:
                pending_pieces[chain.preferred_zone] = (
                    pending_pieces.get(chain.preferred_zone, 0) + missing
                )
    zones = dict.fromkeys([*loads, *endpoint_counts])
    seconds_per_piece = limits.call_seconds / limits.batch + limits.piece_seconds
    for zone in zones:
        load = NO_ENDPOINT_PENALTY_SECONDS
        if zone in endpoint_counts:
            load = (
                pending_pieces.get(zone, 0) * seconds_per_piece / endpoint_counts[zone]
            )
        loads[zone] = loads.get(zone, 0.0) + load
