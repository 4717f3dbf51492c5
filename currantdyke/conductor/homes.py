"""Choose the availability zone in which a chain's stages run."""

from currantdyke.conductor.chain import Chain
from currantdyke.conductor.stages import StageQueues

__all__ = ["choose_home"]

# Counts against a zone without an endpoint of a service: all results would have to
# come from another one.
NO_ENDPOINT_SECONDS = 10.0


def choose_home(chain: Chain, stages: StageQueues, engine_zone: str | None) -> str:
    """Return the zone whose endpoints would be done with the chain first.

    Parameters
    ----------
    engine_zone : str or None
        The zone of the engine that the request is bound to, because large results go
        there and its cache keeps the prompt.
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
    own = chain.request.availability_zone
    return min(loads, key=lambda zone: (loads[zone], zone != own, zone))


def _add_loads(loads: dict[str, float], service: str, stages: StageQueues) -> None:
    """Add up the seconds of work that a service's endpoints have, by zone."""
    limits = stages.limits(service)
    if limits is None:
        return
    count: dict[str, int] = {}
    for worker in stages.service_workers(service):
        count[worker.zone] = count.get(worker.zone, 0) + 1
    pieces: dict[str, int] = {}
    for chain in stages.live.values():
        for step, missing in zip(chain.request.steps, chain.missing, strict=True):
            if step.service == service:
                pieces[chain.home] = pieces.get(chain.home, 0) + missing
    zones = dict.fromkeys([*loads, *count])
    share = limits.call_seconds / limits.batch + limits.piece_seconds
    for zone in zones:
        load = NO_ENDPOINT_SECONDS
        if zone in count:
            load = pieces.get(zone, 0) * share / count[zone]
        loads[zone] = loads.get(zone, 0.0) + load
