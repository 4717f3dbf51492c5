"""Planned work of the platform, in series that overlap."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from currantdyke.emulator.nodes import READINESS_PORT
from currantdyke.platform.names import READY_TARGET
from currantdyke.soak.faults import READY_TIMEOUT_SECONDS, replace_endpoint
from currantdyke.soak.gateways import SupervisedGateway

__all__ = ["LOWEST_TIMEOUT_SECONDS", "PLANNED_WORK"]

MAX_SERIES = 4
MAX_SERIES_INTERVAL_SECONDS = 1.0
# Within the grace period, so that the signal finds the process still serving.
MAX_SECOND_SIGNAL_SECONDS = 4.0
TIMEOUTS_SECONDS = (5.0, 6.0, 9.0)
LOWEST_TIMEOUT_SECONDS = min(TIMEOUTS_SECONDS)
TARGETS_MS = (200, 300, 600)
IDLE_TIMEOUTS_MS = (2_000, 4_000, 15_000)
HEADER_TIMEOUTS_MS = (1_000, 3_000)
MAX_BODY_BYTES = (200_000, 1_000_000)
RETRY_SLACKS = (54, 104, 204)


async def _stop_gateways(world, rng: random.Random) -> None:
    """Stop gateways one after another, without waiting for each other's restarts."""
    gateways = rng.sample(world.gateways, rng.randint(1, len(world.gateways)))
    async with anyio.create_task_group() as tasks:
        for gateway in gateways:
            tasks.start_soon(_stop_one, world, gateway, random.Random(rng.random()))
            await anyio.sleep(rng.uniform(0.0, MAX_SERIES_INTERVAL_SECONDS))


async def _stop_one(world, gateway: SupervisedGateway, rng: random.Random) -> None:
    async with gateway.signal_lock:
        if not await gateway.wait_ready(READY_TIMEOUT_SECONDS):
            return
        process = gateway.incarnation.process
        gateway.send_signal(signal.SIGTERM)
        with anyio.move_on_after(rng.uniform(0.0, MAX_SECOND_SIGNAL_SECONDS)):
            await process.wait()
        if process.returncode is None:
            gateway.send_signal(rng.choice((signal.SIGTERM, signal.SIGHUP)))
            await process.wait()
        world.checker.record_disruption(gateway, planned=True)
        await gateway.wait_ready(READY_TIMEOUT_SECONDS)
        world.checker.record_disruption(gateway, planned=True)


async def _reload_settings(world, rng: random.Random) -> None:
    """Change the settings file of a gateway a few times, mostly with SIGHUP."""
    gateway: SupervisedGateway = rng.choice(world.gateways)
    for _ in range(rng.randint(1, MAX_SERIES)):
        bounds, platform = gateway.document["bounds"], gateway.document["platform"]
        bounds["retry_budget_slack"] = rng.choice(RETRY_SLACKS)
        platform["address"] = rng.choice(gateway.store_addresses)
        rng.shuffle(gateway.document["seed_nodes"])
        gateway.write_settings()
        # A process that does not serve its pages yet may not handle signals either.
        serving = (await gateway.fetch(READINESS_PORT, READY_TARGET))[0] != 0
        if serving and rng.random() < 0.8:
            gateway.send_signal(signal.SIGHUP)
        await anyio.sleep(rng.uniform(0.0, MAX_SERIES_INTERVAL_SECONDS))


async def _change_configurations(world, rng: random.Random) -> None:
    """Write some versions with other time-outs, limits and services."""
    configurations = world.configurations
    for _ in range(rng.randint(1, MAX_SERIES)):
        async with configurations.lock:
            configurations.route_fields = {
                "timeout_ms": int(1_000 * rng.choice(TIMEOUTS_SECONDS)),
                "target_latency_ms": rng.choice(TARGETS_MS),
                "max_attempts": rng.choice((1, 2, 3)),
            }
            configurations.limits = {
                "idle_timeout_ms": rng.choice(IDLE_TIMEOUTS_MS),
                "header_timeout_ms": rng.choice(HEADER_TIMEOUTS_MS),
                "max_body_bytes": rng.choice(MAX_BODY_BYTES),
            }
            configurations.plain_service = rng.choice(("plain", "other"))
            configurations.publish(routes=rng.choice((1, 1, 300)))
        await anyio.sleep(rng.uniform(0.0, MAX_SERIES_INTERVAL_SECONDS))


PLANNED_WORK: dict[str, Callable[..., Awaitable[None]]] = {
    "stop gateways": _stop_gateways,
    "reload settings": _reload_settings,
    "change configurations": _change_configurations,
    "replace an endpoint": replace_endpoint,
}
