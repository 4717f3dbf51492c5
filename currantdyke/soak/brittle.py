"""Endpoints that crash if they must turn many requests away."""

import random

import anyio

from currantdyke.emulator import PlainEmulator, Restarts, run_with_restarts
from currantdyke.soak.completeness import CONTACT_SECONDS

__all__ = ["brittle_violations", "change_brittleness", "start_brittle"]

ENDPOINTS = 3
LIMITS = (2, 3, 5)
DOWN_SECONDS = (0.5, 1.0, 2.0)
# Bound of the users on the crashes in one time in which endpoints say that they are
# brittle: this many, and a tenth of the endpoints.
MAX_FALLS, MAX_FALLS_SHARE = 2, 0.1
MIN_SECONDS, MAX_SECONDS = 6.0, 9.0
PAUSE_SECONDS = 2.0


async def start_brittle(world) -> None:
    """Start plain endpoints of one slot, which come back after each crash."""
    rng = random.Random(f"{world.seed} brittle")
    for number in range(1, ENDPOINTS + 1):
        endpoint = PlainEmulator(
            instance=f"plain-{number}",
            service="plain",
            slots=1,
            places=2,
            work_seconds=0.1,
            on_crash=world.checker.record_unplanned,
        )
        world.observe(endpoint)
        world.endpoints[endpoint.instance] = endpoint
        restarts = Restarts(down_seconds=rng.choice(DOWN_SECONDS))
        await world.tasks.start(run_with_restarts, endpoint, world.store, restarts)


async def change_brittleness(world, rng: random.Random) -> None:
    """Let the endpoints be brittle for some seconds, again and again."""
    while not world.finished:
        start = anyio.current_time()
        limit = rng.choice(LIMITS)
        world.checker.record_event(f"the endpoints say that they are brittle: {limit}")
        for endpoint in world.endpoints.values():
            endpoint.brittle = limit
        await anyio.sleep(rng.uniform(MIN_SECONDS, MAX_SECONDS))
        for endpoint in world.endpoints.values():
            endpoint.brittle = 0
        world.brittle_periods.append((start, anyio.current_time()))
        await anyio.sleep(PAUSE_SECONDS)


def brittle_violations(world) -> list[str]:
    """Return the times in which endpoints crashed too often, and count crashes."""
    falls = [at for endpoint in world.endpoints.values() for at in endpoint.falls]
    world.checker.counts["crashes of brittle endpoints"] += len(falls)
    allowed = MAX_FALLS + MAX_FALLS_SHARE * len(world.endpoints)
    violations = []
    for start, end in world.brittle_periods:
        count = sum(start + CONTACT_SECONDS <= at <= end for at in falls)
        if count > allowed:
            violations.append(
                f"brittle endpoints crashed {count} times in {end - start:.1f} s"
            )
    return violations
