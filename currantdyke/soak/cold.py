"""Endpoints that are cold when they start, and again at other times."""

import bisect
import collections
import random

import anyio
import attrs

from currantdyke.emulator import PlainEmulator
from currantdyke.soak.completeness import CONTACT_SECONDS
from currantdyke.soak.states import LEAVING_SECONDS

__all__ = ["COLD_RATE", "ColdTime", "change_temperatures", "cold_violations"]

SERVICE = "plain"
# What a cold endpoint tolerates, and the users' bound on the requests that it gets in
# any second.
COLD_RATE = 2.0
COLD_OVERAGE, COLD_TOLERANCE = 1.5, 5
WINDOW_SECONDS = 1.0
HEARTBEAT_SECONDS = 0.5
# Longer than `CONTACT_SECONDS`, after which the bound counts.
MIN_SECONDS, MAX_SECONDS = 5.0, 8.0
MAX_PAUSE_SECONDS = 1.0
START_SHARE = 0.5


@attrs.frozen(kw_only=True)
class ColdTime:
    """When all gateways in touch knew that an endpoint is cold, in seconds."""

    instance: str
    start: float
    end: float


async def change_temperatures(world, rng: random.Random) -> None:
    """Start one cold endpoint after another, or let one turn cold again."""
    world.configurations.cold_rate = COLD_RATE
    world.configurations.publish()
    await anyio.sleep(CONTACT_SECONDS)
    while not world.finished:
        seconds = rng.uniform(MIN_SECONDS, MAX_SECONDS)
        if rng.random() < START_SHARE:
            await _replace(world, rng, seconds)
        else:
            instance = rng.choice(_instances(world))
            start = anyio.current_time() + CONTACT_SECONDS
            await _stay_cold(world, instance, seconds, start)
        await anyio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))


def _instances(world) -> list[str]:
    return sorted(
        instance
        for instance, endpoint in world.endpoints.items()
        if endpoint.service == SERVICE
    )


async def _replace(world, rng: random.Random, seconds: float) -> None:
    """Start an endpoint whose first entry says that it is cold, and stop another."""
    async with world.replacement_lock:
        replaced = rng.choice(_instances(world))
        start = anyio.current_time()
        instance = await world.start_endpoint(
            PlainEmulator, SERVICE, cold_milliseconds=1_000 * seconds
        )
        world.announce(replaced, state="draining")
        await _stay_cold(world, instance, seconds, start)
        await anyio.sleep(max(0.0, start + LEAVING_SECONDS - anyio.current_time()))
        world.remove_endpoint(replaced)


async def _stay_cold(world, instance: str, seconds: float, start: float) -> None:
    """Write the heartbeats of an endpoint while it is cold, and the one after."""
    endpoint = world.endpoints[instance]
    world.checker.record_event(f"{instance} is cold for {seconds:.1f} s")
    end = anyio.current_time() + seconds
    while (left := end - anyio.current_time()) > 0 and instance in world.endpoints:
        endpoint.cold_milliseconds = round(1_000 * left)
        world.announce(instance, state="ready")
        await anyio.sleep(min(left, HEARTBEAT_SECONDS))
    world.cold_times.append(
        ColdTime(instance=instance, start=start, end=anyio.current_time())
    )
    endpoint.cold_milliseconds = 0
    if instance in world.endpoints:
        world.announce(instance, state="ready")


def cold_violations(world) -> list[str]:
    """Return which cold endpoints got too many requests, and count the requests."""
    arrivals = collections.defaultdict(list)
    for at, fields in world.arrivals:
        if fields["in_touch"]:
            arrivals[fields["endpoint"]].append(at)
    allowed = COLD_OVERAGE * COLD_RATE + COLD_TOLERANCE
    violations = []
    for cold in world.cold_times:
        times = [at for at in arrivals[cold.instance] if cold.start <= at < cold.end]
        world.checker.counts["requests to cold endpoints"] += len(times)
        counts = [
            bisect.bisect_left(times, at + WINDOW_SECONDS) - index
            for index, at in enumerate(times)
        ]
        busiest = max(counts, default=0)
        if busiest > allowed:
            violations.append(
                f"{cold.instance} was cold and got {busiest} requests in a second; "
                f"allowed {allowed:g}"
            )
    return violations
