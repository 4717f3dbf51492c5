"""Endpoints that crash if they must turn many requests away."""

import random

import anyio

from currantdyke.emulator import (
    EngineEmulator,
    PlainEmulator,
    Restarts,
    run_with_restarts,
)
from currantdyke.emulator.endpoints import EndpointEmulator
from currantdyke.soak.completeness import CONTACT_SECONDS

__all__ = [
    "change_fragility",
    "fragile_violations",
    "start_fragile",
    "start_fragile_engines",
]

ENDPOINTS = 3
LIMITS = (2, 3, 5)
DOWN_SECONDS = (0.5, 1.0, 2.0)
# Bound of the users on the crashes in one time in which endpoints say that they are
# fragile: this many, and a tenth of the endpoints.
MAX_CRASHES, MAX_CRASHES_SHARE = 2, 0.1
MIN_SECONDS, MAX_SECONDS = 6.0, 9.0
PAUSE_SECONDS = 2.0
# Requests that may wait at an engine, and those that still may while it is fragile.
ENGINE_PLACES, FRAGILE_ENGINE_PLACES = 24, 1
ENGINE_SLOTS = 4


async def start_fragile(world) -> None:
    """Start plain endpoints of one slot, which come back after each crash."""
    rng = random.Random(f"{world.seed} fragile")
    for number in range(1, ENDPOINTS + 1):
        endpoint = PlainEmulator(
            instance=f"plain-{number}",
            service="plain",
            slots=1,
            places=2,
            work_seconds=0.1,
            on_crash=world.checker.record_unplanned,
        )
        await _start(world, endpoint, rng)


async def start_fragile_engines(world) -> None:
    """Start engines of a few slots, which come back after each crash."""
    rng = random.Random(f"{world.seed} fragile engines")
    for number in range(1, ENDPOINTS + 1):
        engine = EngineEmulator(
            instance=f"engine-{number}",
            service="engine",
            slots=ENGINE_SLOTS,
            places=ENGINE_PLACES,
            event_seconds=0.1,
            on_crash=world.checker.record_unplanned,
        )
        await _start(world, engine, rng)


async def _start(world, endpoint: EndpointEmulator, rng: random.Random) -> None:
    world.observe(endpoint)
    world.endpoints[endpoint.instance] = endpoint
    restarts = Restarts(down_seconds=rng.choice(DOWN_SECONDS))
    await world.tasks.start(run_with_restarts, endpoint, world.store, restarts)


async def change_fragility(world, rng: random.Random) -> None:
    """Let the endpoints be fragile for some seconds, again and again."""
    while not world.finished:
        start = anyio.current_time()
        limit = rng.choice(LIMITS)
        world.checker.record_event(f"the endpoints say that they are fragile: {limit}")
        for endpoint in world.endpoints.values():
            endpoint.fragile = limit
        await anyio.sleep(CONTACT_SECONDS)
        _set_engine_places(world, FRAGILE_ENGINE_PLACES)
        await anyio.sleep(rng.uniform(MIN_SECONDS, MAX_SECONDS) - CONTACT_SECONDS)
        _set_engine_places(world, ENGINE_PLACES)
        for endpoint in world.endpoints.values():
            endpoint.fragile = 0
        world.fragile_periods.append((start, anyio.current_time()))
        await anyio.sleep(PAUSE_SECONDS)


def _set_engine_places(world, places: int) -> None:
    for endpoint in world.endpoints.values():
        if isinstance(endpoint, EngineEmulator):
            endpoint.places = places


def fragile_violations(world) -> list[str]:
    """Return the times in which endpoints crashed too often, and count crashes."""
    crashes = [
        at for endpoint in world.endpoints.values() for at in endpoint.overload_crashes
    ]
    world.checker.counts["crashes of fragile endpoints"] += len(crashes)
    allowed = MAX_CRASHES + MAX_CRASHES_SHARE * len(world.endpoints)
    violations = []
    for start, end in world.fragile_periods:
        count = sum(start + CONTACT_SECONDS <= at <= end for at in crashes)
        if count > allowed:
            violations.append(
                f"fragile endpoints crashed {count} times in {end - start:.1f} s"
            )
    return violations
