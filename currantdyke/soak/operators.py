"""Operators who write versions in several forms, and a store that goes back."""

import itertools
import random
from collections.abc import Iterator, Sequence

import anyio

from currantdyke.soak.forms import EMPTY, UNUSABLE, Form, draw_odd_forms

__all__ = ["hold_versions", "operate", "operate_quickly"]

MAX_VERSION_INTERVAL_SECONDS = 1.2
MAX_ROUTES = 3
ODD_SHARE = 0.4
# How long the last version of a series stays the newest: effects of a version show
# two seconds after it was written.
MIN_HOLD_SECONDS, MAX_HOLD_SECONDS = 1.0, 4.5
# Between a version that need not come into force and the next one.
NEXT_VERSION_SECONDS = 0.5
# Changes that the copy lacks, besides versions: as many as a large fleet writes.
MIN_LOST_CHANGES, MAX_LOST_CHANGES = 50, 300
# Age of the copy from which the store returns, and how long it is away.
MIN_COPY_AGE_SECONDS, MAX_COPY_AGE_SECONDS = 1.0, 6.0
MIN_AWAY_SECONDS, MAX_AWAY_SECONDS = 0.3, 1.0
# Endpoints write their entries about this often; without that, an entry is removed
# after three times as long.
HEARTBEAT_SECONDS = 1.2
# What the copy lacks is written again within this time.
REWRITE_SECONDS = 1.0


async def operate(world, rng: random.Random) -> None:
    """Write versions in all forms, and let the store return from a copy."""
    odd = draw_odd_forms(rng)
    # Gateways are bound again some seconds after the store's return.
    for others in itertools.cycle((_draw(rng, EMPTY), _draw(rng, UNUSABLE))):
        await _write_series(world, rng, odd)
        await _write_and_hold(world, rng, next(odd))
        await _write_and_hold(world, rng, next(others))
        await _return_from_copy(world, rng, odd)
        if world.finished:
            return


async def operate_quickly(world, rng: random.Random) -> None:
    """Write versions in all forms in quick succession."""
    odd, others = draw_odd_forms(rng), _draw(rng, (*UNUSABLE, *EMPTY))
    while not world.finished:
        await _write_series(world, rng, odd)
        await _write_and_hold(world, rng, next(rng.choice((odd, others))))


async def hold_versions(world, rng: random.Random) -> None:
    """Write unusable and odd versions by turns, and hold each of them.

    Each moves a route, adds one and takes a key away, so that requests to any gateway
    show whether it is in force.
    """
    configurations = world.configurations
    odd, unusable = draw_odd_forms(rng), _draw(rng, UNUSABLE)
    services = itertools.cycle(("other", "plain"))
    await anyio.sleep(MAX_HOLD_SECONDS)
    while not world.finished:
        for form, seconds in (
            (next(unusable), MAX_HOLD_SECONDS),
            (None, NEXT_VERSION_SECONDS),
            (next(odd), MAX_HOLD_SECONDS),
        ):
            configurations.plain_service = next(services)
            configurations.replace_key()
            _publish(world, 1, form)
            await anyio.sleep(seconds)


def _draw(rng: random.Random, forms: Sequence[Form]) -> Iterator[Form]:
    """Return forms in turn, in a random order."""
    return itertools.cycle(rng.sample(forms, len(forms)))


async def _write_series(world, rng: random.Random, odd: Iterator[Form]) -> None:
    """Write some versions, a share of them in odd forms."""
    for _ in range(rng.randint(2, 5)):
        await anyio.sleep(rng.uniform(0.1, MAX_VERSION_INTERVAL_SECONDS))
        form = next(odd) if rng.random() < ODD_SHARE else None
        async with world.configurations.lock:
            _write_version(world, rng, form)


async def _write_and_hold(world, rng: random.Random, form: Form) -> None:
    """Write a version in some form, and for a while none after it."""
    async with world.configurations.lock:
        _write_version(world, rng, form)
        await anyio.sleep(rng.uniform(MIN_HOLD_SECONDS, MAX_HOLD_SECONDS))
        if not form.is_required:
            # The store must not end with a version that need not come into force.
            _write_version(world, rng, None)


def _write_version(world, rng: random.Random, form: Form | None) -> None:
    """Write a version which adds a route, and may move one or take a key away."""
    configurations = world.configurations
    configurations.plain_service = rng.choice(("plain", "other"))
    if rng.random() < 0.5:
        configurations.replace_key()
    _publish(world, rng.randint(1, MAX_ROUTES), form)


def _publish(world, routes: int, form: Form | None) -> None:
    """Write a version with more routes, and count it."""
    configurations = world.configurations
    configurations.grow(routes, form=form)
    if form is None:
        kind = "plain versions"
    else:
        kind = "odd versions" if form.is_required else "unusable versions"
        world.checker.record_event(f"version {configurations.version}: {form.name}")
    world.checker.counts[kind] += 1


async def _return_from_copy(world, rng: random.Random, odd: Iterator[Form]) -> None:
    """Let the store be away and return from a copy that lacks the last versions."""
    store, checker = world.store, world.checker
    state = store.copy()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_write_series, world, rng, odd)
        for number in range(rng.randint(MIN_LOST_CHANGES, MAX_LOST_CHANGES)):
            store.announce("noise", {"sequence": number})
        store.withdraw("noise")
        await anyio.sleep(rng.uniform(MIN_COPY_AGE_SECONDS, MAX_COPY_AGE_SECONDS))
    async with world.configurations.lock:
        checker.record_event("the store is away")
        checker.record_disruption()
        store.fault = "reset"
        await anyio.sleep(rng.uniform(MIN_AWAY_SECONDS, MAX_AWAY_SECONDS))
        lost = store.revision - state.revision
        store.restore(state)
        store.fault = ""
        checker.record_event(f"era {store.era}, {lost} changes lost")
        checker.counts["returns of the store"] += 1
        await anyio.sleep(rng.uniform(0.0, REWRITE_SECONDS))
        _announce_all(world)
        world.configurations.write(world.configurations.version)
        checker.record_disruption()
    world.tasks.start_soon(_go_on_after_return, world)


async def _go_on_after_return(world) -> None:
    """Write heartbeats, and remove the entries of endpoints that are gone."""
    for _ in range(3):
        await anyio.sleep(HEARTBEAT_SECONDS)
        _announce_all(world)
    for key in list(world.store.items):
        prefix, _, instance = key.partition("/")
        if prefix == "servers" and instance not in world.endpoints:
            world.store.withdraw(instance)


def _announce_all(world) -> None:
    for instance in list(world.endpoints):
        leaving = instance in world.checker.leaving_since
        world.announce(instance, state="draining" if leaving else "ready")
