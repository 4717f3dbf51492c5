"""Faults injected from outside the gateways, in concurrent series."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from currantdyke.soak.gateways import SupervisedGateway
from currantdyke.soak.proxy import Mode, Proxy

__all__ = [
    "FAULTS",
    "GATEWAY_FAULTS",
    "draw_duration",
    "inject_faults",
    "kill_gateway",
    "pause_gateway",
    "replace_endpoint",
    "stop_gateway",
]

# Longer than the detection of a silent peer or store takes, shorter than deadlines.
MAX_FAULT_SECONDS = 2.0
MAX_INTERVAL_SECONDS = 1.5
READY_TIMEOUT_SECONDS = 20.0
# One second more than MAX_LEAVING_DELAY_SECONDS, so that late requests are detected.
DRAIN_SECONDS = 3.0
STORE_FAULTS = ("busy", "reset", "silent")
FAULT_MODES = tuple(mode for mode in Mode if mode is not Mode.PASS)
STALE_CONFIGURATION_SECONDS = 1.0
# Longer than the time for which a gateway may serve by its last read of the store.
MAX_CUT_OFF_SECONDS = 6.0


async def inject_faults(world, rng: random.Random) -> None:
    """Inject one random fault after another until the run ends."""
    faults = world.pattern.faults
    while not world.finished:
        await anyio.sleep(rng.uniform(0.0, MAX_INTERVAL_SECONDS))
        name = rng.choice(sorted(faults))
        world.checker.counts[f"fault: {name}"] += 1
        world.checker.record_event(name)
        await faults[name](world, rng)
        world.checker.record_event(f"end: {name}")


def draw_duration(rng: random.Random) -> float:
    """Return how long a fault lasts, in seconds."""
    return rng.uniform(0.1, MAX_FAULT_SECONDS)


async def _kill_gateway(world, rng: random.Random) -> None:
    await kill_gateway(world, rng.choice(world.gateways))


async def kill_gateway(world, gateway: SupervisedGateway) -> None:
    """Kill a gateway, and wait until its next process is ready."""
    async with gateway.signal_lock:
        world.checker.record_disruption(gateway)
        gateway.send_signal(signal.SIGKILL)
        await gateway.wait_ready(READY_TIMEOUT_SECONDS)
        world.checker.record_disruption(gateway)


async def _pause_gateway(world, rng: random.Random) -> None:
    await pause_gateway(world, rng.choice(world.gateways), draw_duration(rng))


async def pause_gateway(world, gateway: SupervisedGateway, seconds: float) -> None:
    """Let a gateway stand still for a time."""
    async with gateway.signal_lock:
        world.checker.record_disruption(gateway)
        gateway.send_signal(signal.SIGSTOP)
        await anyio.sleep(seconds)
        gateway.send_signal(signal.SIGCONT)
        world.checker.record_disruption(gateway)


async def stop_gateway(world, rng: random.Random) -> None:
    """Stop a gateway with SIGTERM, and wait until its next process is ready."""
    gateway: SupervisedGateway = rng.choice(world.gateways)
    async with gateway.signal_lock:
        if not await gateway.wait_ready(READY_TIMEOUT_SECONDS):
            return
        incarnation = gateway.incarnation
        gateway.send_signal(signal.SIGTERM)
        await incarnation.process.wait()
        # The next incarnation starts from what the store shows at that moment.
        world.checker.record_disruption(gateway, planned=True)
        await gateway.wait_ready(READY_TIMEOUT_SECONDS)
        world.checker.record_disruption(gateway, planned=True)


async def _disrupt_store(world, rng: random.Random) -> None:
    world.checker.record_disruption()
    world.store.fault = rng.choice(STORE_FAULTS)
    await anyio.sleep(draw_duration(rng))
    world.store.fault = ""
    world.checker.record_disruption()


async def _drop_store_history(world, rng: random.Random) -> None:
    world.checker.record_disruption()
    world.store.compact()


async def _disrupt_store_connections(world, rng: random.Random) -> None:
    world.checker.record_disruption()
    proxies = [gateway.store_proxy for gateway in world.gateways]
    await _disrupt_connections(proxies, rng)
    world.checker.record_disruption()


async def _cut_gateway_off_store(world, rng: random.Random) -> None:
    """Disrupt the connections of one gateway to the store, mostly of a slow one."""
    slow = [g for g in world.gateways if g.bytes_per_second is not None]
    candidates = slow if slow and rng.random() < 0.5 else world.gateways
    gateway: SupervisedGateway = rng.choice(candidates)
    proxy = gateway.store_proxy
    proxy.set_mode(rng.choice(FAULT_MODES))
    if proxy.mode is Mode.REFUSE:
        await proxy.reset_all()
    ends_at = anyio.current_time() + rng.uniform(0.1, MAX_CUT_OFF_SECONDS)
    # The disruption lasts longer than the bounds that start anew after it.
    while anyio.current_time() < ends_at:
        world.checker.record_disruption(gateway)
        await anyio.sleep(min(MAX_FAULT_SECONDS / 2, ends_at - anyio.current_time()))
    proxy.set_mode(Mode.PASS)
    world.checker.record_disruption(gateway)


async def _disrupt_endpoint_connections(world, rng: random.Random) -> None:
    world.checker.record_unplanned()
    await _disrupt_connections([rng.choice(list(world.proxies.values()))], rng)
    world.checker.record_unplanned()


async def _lose_endpoint_answers(world, rng: random.Random) -> None:
    """Make a plain endpoint run requests but reset the connections of their answers."""
    plain = [name for name in world.proxies if name.startswith("plain")]
    proxy = world.proxies[rng.choice(plain)]
    world.checker.record_unplanned()
    proxy.set_mode(Mode.RESET_ANSWERS)
    await anyio.sleep(draw_duration(rng))
    proxy.set_mode(Mode.PASS)
    world.checker.record_unplanned()


async def _disrupt_connections(proxies: list[Proxy], rng: random.Random) -> None:
    if rng.random() < 0.3:
        for proxy in proxies:
            await proxy.reset_all()
        return
    mode = rng.choice(FAULT_MODES)
    for proxy in proxies:
        proxy.set_mode(mode)
    await anyio.sleep(draw_duration(rng))
    for proxy in proxies:
        proxy.set_mode(Mode.PASS)


async def replace_endpoint(world, rng: random.Random) -> None:
    """Start a new endpoint of a service, then drain and remove another one."""
    async with world.replacement_lock:
        instance = rng.choice(sorted(world.endpoints))
        replaced = world.endpoints[instance]
        await world.start_endpoint(type(replaced), replaced.service)
        world.announce(instance, state="draining")
        world.checker.leaving_since[instance] = anyio.current_time()
        await anyio.sleep(DRAIN_SECONDS)
        world.remove_endpoint(instance)


async def _change_configuration(world, rng: random.Random) -> None:
    async with world.configurations.lock:
        world.configurations.publish(routes=rng.choice((1, 1, 300)))


async def _write_stale_configuration(world, rng: random.Random) -> None:
    """Write an old configuration over the current one, as a delayed write would."""
    configurations = world.configurations
    async with configurations.lock:
        recent = max(1, configurations.version - rng.randint(1, 3))
        configurations.write(rng.choice((1, recent, recent, recent)))
        await anyio.sleep(STALE_CONFIGURATION_SECONDS)
        configurations.write(configurations.version)


FAULTS: dict[str, Callable[..., Awaitable[None]]] = {
    "kill a gateway": _kill_gateway,
    "pause a gateway": _pause_gateway,
    "stop a gateway": stop_gateway,
    "trouble of the store": _disrupt_store,
    "history of the store": _drop_store_history,
    "connections to the store": _disrupt_store_connections,
    "connections of a gateway to the store": _cut_gateway_off_store,
    "connections to an endpoint": _disrupt_endpoint_connections,
    "answers of an endpoint": _lose_endpoint_answers,
    "replace an endpoint": replace_endpoint,
    "change the configuration": _change_configuration,
    "write an old configuration": _write_stale_configuration,
}

# Faults of single gateways, after which each must learn again what the others know.
GATEWAY_FAULTS = {
    name: FAULTS[name]
    for name in (
        "kill a gateway",
        "pause a gateway",
        "stop a gateway",
        "connections of a gateway to the store",
    )
}
