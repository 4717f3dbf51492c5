"""Endpoints that leave without a word, beside a store that is disturbed briefly.

Their entries are removed, and they serve on. Watches are cut, which is no disruption of
the store, or it is away for moments; at times for so long that the entries of all
endpoints lapse.
"""

import json
import math
import random

import anyio

from currantdyke.emulator import PlainEmulator
from currantdyke.soak.completeness import CONTACT_SECONDS
from currantdyke.soak.promises import MAX_LEAVING_DELAY_SECONDS

__all__ = [
    "disturb_store",
    "keep_entries",
    "remove_endpoints",
    "removal_violations",
    "start_removable",
]

SERVICE = "plain"
ENDPOINTS = 4
HEARTBEAT_SECONDS = 1.2
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
REMOVAL_INTERVAL_SECONDS = (0.3, 1.0)
CUT_AFTER_SECONDS = (0.02, 0.2)
CUT_PERIOD_SECONDS = (4.0, 7.0)
MOMENT_SECONDS = (0.1, 0.4)
MOMENT_INTERVAL_SECONDS = (0.5, 1.2)
MAX_MOMENTS = 4
MOMENT_FAULTS = ("busy", "reset")
OUTAGE_SHARE = 0.2
OUTAGE_SECONDS = (4.0, 5.0)
# The users' endpoints are back within two seconds of the store's return. Until then, at
# most a tenth of the requests may be refused: all endpoints are alive.
BACK_AFTER_SECONDS = 1.5
RETURN_SECONDS = 2.0
MAX_REFUSED_SHARE = 0.1


async def start_removable(world) -> None:
    """Start the first endpoints."""
    for _ in range(ENDPOINTS):
        await _start(world)


async def _start(world) -> None:
    endpoint = PlainEmulator(
        instance=f"{SERVICE}-{next(world.instance_numbers)}", service=SERVICE
    )
    world.observe(endpoint)
    await world.tasks.start(endpoint.run)
    world.endpoints[endpoint.instance] = endpoint
    world.store.announce(endpoint.instance, endpoint.entry())


async def keep_entries(world, rng: random.Random) -> None:
    """Write the entries at heartbeats, unless the store is away or just returned."""
    while not world.finished:
        if not (world.store.fault or _is_returning(world)):
            _write_entries(world)
        await anyio.sleep(HEARTBEAT_SECONDS)


def _write_entries(world) -> None:
    for instance, endpoint in world.endpoints.items():
        entry = endpoint.entry() | {"sequence": world.store.revision}
        world.store.announce(instance, entry)


async def remove_endpoints(world, rng: random.Random) -> None:
    """Replace one endpoint after another; those that leave don't say so."""
    while not world.finished:
        await anyio.sleep(rng.uniform(*REMOVAL_INTERVAL_SECONDS))
        if world.store.fault or _is_returning(world):
            continue
        instance = rng.choice(sorted(world.endpoints))
        await _start(world)
        await anyio.sleep(HEARTBEAT_SECONDS)
        del world.endpoints[instance]
        world.store.withdraw(instance)
        world.removals[instance] = anyio.current_time()
        world.checker.record_event(f"the entry of {instance} is removed")


async def disturb_store(world, rng: random.Random) -> None:
    """Cut watches, or let the store be away for moments, or for long."""
    while not world.finished:
        drawn = rng.random()
        if drawn < OUTAGE_SHARE:
            await _let_entries_lapse(world, rng)
        elif drawn < (1.0 + OUTAGE_SHARE) / 2:
            world.checker.counts["times with cut watches"] += 1
            world.store.cut_watches_after = rng.uniform(*CUT_AFTER_SECONDS)
            await anyio.sleep(rng.uniform(*CUT_PERIOD_SECONDS))
            world.store.cut_watches_after = math.inf
        else:
            for _ in range(rng.randint(2, MAX_MOMENTS)):
                await _be_away(world, rng, rng.uniform(*MOMENT_SECONDS))
                await anyio.sleep(rng.uniform(*MOMENT_INTERVAL_SECONDS))


async def _be_away(world, rng: random.Random, seconds: float) -> None:
    started = anyio.current_time()
    world.checker.record_disruption()
    world.store.fault = rng.choice(MOMENT_FAULTS)
    await anyio.sleep(seconds)
    world.store.fault = ""
    world.checker.record_disruption()
    world.outages.append((started, anyio.current_time()))


async def _let_entries_lapse(world, rng: random.Random) -> None:
    seconds = rng.uniform(*OUTAGE_SECONDS)
    world.checker.record_event(f"the store is away for {seconds:.1f} s")
    world.checker.counts["times in which entries lapse"] += 1

    async def lapse() -> None:
        await anyio.sleep(LAPSE_SECONDS)
        for instance in list(world.endpoints):
            world.store.withdraw(instance)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lapse)
        await _be_away(world, rng, seconds)
    await anyio.sleep(BACK_AFTER_SECONDS)
    _write_entries(world)
    await anyio.sleep(RETURN_SECONDS)


def _is_returning(world) -> bool:
    """Return whether a long outage has just ended."""
    now = anyio.current_time()
    return any(now < at + BACK_AFTER_SECONDS for _, at in _long_outages(world))


def _long_outages(world) -> list[tuple[float, float]]:
    """Return the outages in which entries lapsed."""
    return [(a, b) for a, b in world.outages if b - a > LAPSE_SECONDS]


def removal_violations(world) -> list[str]:
    """Return which endpoints got late requests, and whether lapsed ones got none."""
    return _late_requests(world) + _refusals(world)


def _late_requests(world) -> list[str]:
    """Return the requests that came too late after a removal was acknowledged.

    A gateway that has read a removal is bound by it whatever the store does; one in
    touch is bound by the store's acknowledgement, if the store was stable. An entry
    whose removal is read after a long outage may have lapsed in it, and is gone if it
    is still missing two seconds after the store's return.
    """
    read_at = _removals_read(world)
    late = []
    for at, fields in world.arrivals:
        instance, host = fields["endpoint"], fields["host"]
        removed_at = world.removals.get(instance)
        if removed_at is None or _is_near_long_outage(world, removed_at):
            continue
        bounds = [_gone_at(world, read_at.get((instance, host), math.inf))]
        if fields["host_in_touch"] and _is_stable(world, removed_at):
            bounds.append(removed_at)
        if at > min(bounds) + MAX_LEAVING_DELAY_SECONDS:
            late.append(f"{instance} {at - removed_at:.2f} s after its removal")
    world.checker.counts["removed endpoints"] += len(world.removals)
    if not late:
        return []
    return [f"{len(late)} requests reached removed endpoints: {'; '.join(late[:3])}"]


def _removals_read(world) -> dict[tuple[str, str], float]:
    """Return when gateways logged the last removals of entries, by endpoint and IP."""
    read_at: dict[tuple[str, str], float] = {}
    for gateway in world.gateways:
        path = gateway.folder / f"{gateway.name}.log"
        for text in path.read_text().splitlines():
            if '"endpoint_entry_removed"' in text:
                line = json.loads(text)
                instance, at = line["endpoint"], line["steady"]
                # It may have lapsed before.
                if at >= world.removals.get(instance, math.inf):
                    read_at.setdefault((instance, gateway.ip), at)
    return read_at


def _gone_at(world, at: float) -> float:
    """Return when an endpoint is gone whose removal was read at a time."""
    ends = [
        ended + RETURN_SECONDS
        for started, ended in _long_outages(world)
        if started < at < ended + RETURN_SECONDS
    ]
    return max(ends, default=at)


def _is_near_long_outage(world, at: float) -> bool:
    """Return whether an entry may have lapsed, as far as gateways can know."""
    return _gone_at(world, at) > at


def _is_stable(world, at: float) -> bool:
    """Return whether the store was without disruption around a removal."""
    return not any(
        ended > at - CONTACT_SECONDS and started < at + MAX_LEAVING_DELAY_SECONDS
        for started, ended in world.outages
    )


def _refusals(world) -> list[str]:
    """Return whether gateways refused requests until lapsed entries were back."""
    statuses = [
        attempt.answer.status
        for attempt in world.attempts
        for _, ended in _long_outages(world)
        if attempt.answer is not None
        and ended < attempt.sent_at < ended + RETURN_SECONDS
    ]
    refused = statuses.count(503)
    world.checker.counts["requests while entries lapse"] += len(statuses)
    if refused <= MAX_REFUSED_SHARE * len(statuses):
        return []
    return [f"{refused} of {len(statuses)} requests refused while entries lapsed"]
