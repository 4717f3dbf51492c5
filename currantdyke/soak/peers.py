"""Gateways that live by their peers: some reach the store, others do not."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from currantdyke.soak.gateways import SupervisedGateway
from currantdyke.soak.proxy import Mode

__all__ = ["ISOLATIONS", "LASTING_ISOLATION"]

MIN_SECONDS, MAX_SECONDS = 0.3, 4.0
MAX_PAUSE_SECONDS = 1.5
# Gateways are bound again some seconds after a disruption.
MAX_CALM_SECONDS = 5.0
# Longer disruptions are recorded again, since bounds start anew after them.
RECORD_INTERVAL_SECONDS = 0.5


def _disrupt_store_links(mode: Mode):
    """Return a fault of the connections of some gateways to the store."""

    async def disrupt(world, rng: random.Random) -> None:
        chosen = _choose(world, rng)
        for gateway in chosen:
            gateway.store_proxy.set_mode(mode)
            if mode is Mode.REFUSE:
                await gateway.store_proxy.reset_all()
        await _hold(world, chosen, rng.uniform(MIN_SECONDS, MAX_SECONDS))
        for gateway in chosen:
            gateway.store_proxy.set_mode(Mode.PASS)
        await _release(world, rng, chosen)

    return disrupt


def _refuse(world, gateways: list[SupervisedGateway]) -> set[str]:
    """Let the store answer 503 to some gateways; return their hosts."""
    store = world.store
    hosts = {gateway.ip for gateway in gateways}
    store.affected_hosts |= hosts
    # Without hosts, the fault would affect all.
    store.fault = "busy" if store.affected_hosts else ""
    return hosts


async def _refuse_all_but_one(world, rng: random.Random) -> None:
    """Let the store answer 503 to all gateways but one, until the run ends."""
    gateways = world.gateways[1:]
    world.isolated |= {gateway.name for gateway in gateways}
    world.checker.counts["isolated gateways"] += len(gateways)
    _refuse(world, gateways)
    while not world.finished:
        await _hold(world, gateways, RECORD_INTERVAL_SECONDS)


async def _refuse_calls(world, rng: random.Random) -> None:
    """Let the store answer 503 to some gateways for a time."""
    chosen, store = _choose(world, rng), world.store
    hosts = _refuse(world, chosen)
    await _hold(world, chosen, rng.uniform(MIN_SECONDS, MAX_SECONDS))
    store.affected_hosts -= hosts
    store.fault = "busy" if store.affected_hosts else ""
    await _release(world, rng, chosen)


async def _pause(world, rng: random.Random) -> None:
    """Pause some gateways, one after the other, for overlapping times."""
    chosen = _choose(world, rng)
    async with anyio.create_task_group() as tasks:
        for gateway in chosen:
            tasks.start_soon(_pause_one, world, gateway, rng.uniform(0.1, 1.0), rng)
    await _release(world, rng, chosen)


async def _pause_one(
    world, gateway: SupervisedGateway, delay: float, rng: random.Random
) -> None:
    seconds = rng.uniform(0.1, MAX_PAUSE_SECONDS)
    await anyio.sleep(delay)
    async with gateway.signal_lock:
        world.checker.record_disruption(gateway)
        gateway.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        gateway.send_signal(signal.SIGCONT)
        world.checker.record_disruption(gateway)


def _choose(world, rng: random.Random) -> list[SupervisedGateway]:
    """Choose gateways that are not isolated yet; at least one is left."""
    free = [g for g in world.gateways if g.name not in world.isolated]
    rng.shuffle(free)
    chosen = free[: rng.randint(min(1, len(free) - 1), len(free) - 1)]
    world.isolated |= {gateway.name for gateway in chosen}
    world.checker.record_event(f"isolated: {[gateway.name for gateway in chosen]}")
    world.checker.counts["isolated gateways"] += len(chosen)
    return chosen


async def _hold(world, gateways: list[SupervisedGateway], seconds: float) -> None:
    ends_at = anyio.current_time() + seconds
    while (left := ends_at - anyio.current_time()) > 0:
        for gateway in gateways:
            world.checker.record_disruption(gateway)
        await anyio.sleep(min(RECORD_INTERVAL_SECONDS, left))
    for gateway in gateways:
        world.checker.record_disruption(gateway)


async def _release(
    world, rng: random.Random, gateways: list[SupervisedGateway]
) -> None:
    world.isolated -= {gateway.name for gateway in gateways}
    await anyio.sleep(rng.uniform(0.0, MAX_CALM_SECONDS))


ISOLATIONS = {
    "refused by the store": _refuse_calls,
    "cut off from the store": _disrupt_store_links(Mode.REFUSE),
    "no answers of the store": _disrupt_store_links(Mode.NO_ANSWERS),
    "slow answers of the store": _disrupt_store_links(Mode.DELAY),
    "paused": _pause,
}

LASTING_ISOLATION: dict[str, Callable[..., Awaitable[None]]] = {
    "refused by the store until the end": _refuse_all_but_one
}
