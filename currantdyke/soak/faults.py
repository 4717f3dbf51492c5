"""Faults that are brought in from outside the gateways, in series that overlap."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from currantdyke.soak.gateways import GatewayProcess
from currantdyke.soak.proxy import Mode, Proxy

__all__ = ["FAULTS", "one_after_the_other"]

# Longer than it takes to find a silent peer or store, and shorter than deadlines.
LONGEST_SECONDS = 2.0
LONGEST_CALM_SECONDS = 1.5
READY_SECONDS = 20.0
# A second beyond the bound for work at a leaving endpoint, so that late work shows.
LEAVE_SECONDS = 3.0
STORE_TROUBLES = ("busy", "reset", "silent")
MODES = tuple(mode for mode in Mode if mode is not Mode.PASS)
OLD_SECONDS = 1.0


async def one_after_the_other(world, source: random.Random) -> None:
    """Bring in faults until the soak is over; several such series overlap."""
    while not world.over:
        await anyio.sleep(source.uniform(0.0, LONGEST_CALM_SECONDS))
        name = source.choice(sorted(FAULTS))
        world.promises.counts[f"fault: {name}"] += 1
        await FAULTS[name](world, source)


def _seconds(source: random.Random) -> float:
    return source.uniform(0.1, LONGEST_SECONDS)


async def _kill(world, source: random.Random) -> None:
    gateway: GatewayProcess = source.choice(world.gateways)
    async with gateway.busy:
        world.promises.disturb()
        gateway.send(signal.SIGKILL)
        await gateway.wait_ready(READY_SECONDS)
        world.promises.disturb()


async def _pause(world, source: random.Random) -> None:
    gateway: GatewayProcess = source.choice(world.gateways)
    async with gateway.busy:
        world.promises.disturb()
        gateway.send(signal.SIGSTOP)
        await anyio.sleep(_seconds(source))
        gateway.send(signal.SIGCONT)
        world.promises.disturb()


async def _stop(world, source: random.Random) -> None:
    gateway: GatewayProcess = source.choice(world.gateways)
    async with gateway.busy:
        if not await gateway.wait_ready(READY_SECONDS):
            return
        life = gateway.life
        gateway.send(signal.SIGTERM)
        await life.process.wait()
        # The next life begins with what the store shows just then.
        world.promises.disturb()
        await gateway.wait_ready(READY_SECONDS)
        world.promises.disturb()


async def _store(world, source: random.Random) -> None:
    world.promises.disturb()
    world.store.trouble = source.choice(STORE_TROUBLES)
    await anyio.sleep(_seconds(source))
    world.store.trouble = ""
    world.promises.disturb()


async def _history(world, source: random.Random) -> None:
    world.promises.disturb()
    world.store.forget_history()


async def _store_connections(world, source: random.Random) -> None:
    world.promises.disturb()
    await _mode(world.store_proxy, source)
    world.promises.disturb()


async def _endpoint_connections(world, source: random.Random) -> None:
    await _mode(source.choice(list(world.proxies.values())), source)


async def _endpoint_answers(world, source: random.Random) -> None:
    """Let an endpoint run requests whose answers are lost."""
    plain = [name for name in world.proxies if name.startswith("plain")]
    proxy = world.proxies[source.choice(plain)]
    proxy.use(Mode.RESET_ANSWERS)
    await anyio.sleep(_seconds(source))
    proxy.use(Mode.PASS)


async def _mode(proxy: Proxy, source: random.Random) -> None:
    if source.random() < 0.3:
        await proxy.reset_all()
        return
    proxy.use(source.choice(MODES))
    await anyio.sleep(_seconds(source))
    proxy.use(Mode.PASS)


async def _replace(world, source: random.Random) -> None:
    """Start an endpoint, then let another one of its service leave."""
    async with world.replacing:
        instance = source.choice(sorted(world.endpoints))
        old = world.endpoints[instance]
        await world.start_endpoint(type(old), old.service)
        world.announce(instance, state="draining")
        world.promises.leaving[instance] = anyio.current_time()
        await anyio.sleep(LEAVE_SECONDS)
        world.end_endpoint(instance)


async def _configure(world, source: random.Random) -> None:
    async with world.configuring:
        world.configure(routes=source.choice((1, 1, 300)))


async def _configure_late(world, source: random.Random) -> None:
    """Let the store show an old version again, as a late write does."""
    async with world.configuring:
        world.show_configuration(1, routes=1)
        await anyio.sleep(OLD_SECONDS)
        world.show_configuration(world.version, routes=1)


FAULTS: dict[str, Callable[..., Awaitable[None]]] = {
    "kill a gateway": _kill,
    "pause a gateway": _pause,
    "stop a gateway": _stop,
    "trouble of the store": _store,
    "history of the store": _history,
    "connections to the store": _store_connections,
    "connections to an endpoint": _endpoint_connections,
    "answers of an endpoint": _endpoint_answers,
    "replace an endpoint": _replace,
    "change the configuration": _configure,
    "write an old configuration": _configure_late,
}
