"""Fault scenarios of the benchmark."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

__all__ = ["LOADS", "SCENARIOS", "Scenario"]

LOADS = (0.5, 0.8, 1.0, 1.3, 2.0)
FAULT_START_SECONDS = 10.0
FAULT_END_SECONDS = 20.0
DEFAULT_LOAD_LAG_SECONDS = 0.5
SLOW_FACTOR = 4.0
HALF_POOL_SLOW_FACTOR = 2.0
STAGE_FAILURE_PROBABILITY = 0.2
LOST_ZONE = "zone-1"

FaultInjector = Callable[[Any], Awaitable[None]]


async def no_fault(cell: Any) -> None:
    """Inject no fault."""


def slow_engines(share_of_pool: float, factor: float) -> FaultInjector:
    """Return a fault that slows the first engines during the fault interval.

    At least one engine is slowed.
    """

    async def inject_fault(cell: Any) -> None:
        engines = cell.engines()
        slowed = engines[: max(1, round(share_of_pool * len(engines)))]
        await anyio.sleep(FAULT_START_SECONDS)
        for engine in slowed:
            engine.slow_factor = factor
        await anyio.sleep(FAULT_END_SECONDS - FAULT_START_SECONDS)
        for engine in slowed:
            engine.slow_factor = 1.0

    return inject_fault


async def crash_and_recover(cell: Any) -> None:
    """Crash one engine; it recovers with an empty prefix cache."""
    engine = cell.engines()[0]
    await anyio.sleep(FAULT_START_SECONDS)
    engine.crash()
    await anyio.sleep(FAULT_END_SECONDS - FAULT_START_SECONDS)
    engine.recover()


async def lose_zone(cell: Any) -> None:
    """Lose an availability zone: endpoints stop responding and daemons are lost."""
    await anyio.sleep(FAULT_START_SECONDS)
    for endpoint in cell.endpoints.values():
        endpoint.silent = endpoint.silent or endpoint.zone == LOST_ZONE
    for number, daemon in enumerate(cell.daemons):
        if daemon.settings.availability_zone == LOST_ZONE:
            cell.lost_daemons.add(number)
            for exchange in daemon.requests.by_id.values():
                if exchange.cancel_scope is not None:
                    exchange.cancel_scope.cancel()


async def fail_stage_calls(cell: Any) -> None:
    """Fail a fifth of the retriever's calls during the whole run."""
    for name, endpoint in cell.endpoints.items():
        if name.startswith("retriever"):
            endpoint.failure_probability = STAGE_FAILURE_PROBABILITY


async def clear_caches(cell: Any) -> None:
    """Clear the prefix caches of all engines once."""
    await anyio.sleep(FAULT_START_SECONDS)
    for engine in cell.engines():
        engine.prefixes.clear()


@attrs.frozen(kw_only=True)
class Scenario:
    """A named fault scenario.

    Attributes
    ----------
    inject_fault : callable
        Injects the fault into a cell.
    burst : tuple or None
        Start and end in seconds, and rate factor, of a burst of arrivals.
    flood : bool
        Whether one workspace sends, in addition to the load, ten times an equal share
        of the engines' capacity.
    load_lag : float
        Age in seconds of a load report when it is delivered.
    resend : bool
        Whether callers resend after a timeout, a failure, or a refusal with a retry
        time.
    single_fault : bool
        Whether the target for single faults applies to the scenario.
    loads : tuple of float
        Loads at which the scenario is run, as fractions of engine capacity.
    """

    name: str
    inject_fault: FaultInjector = no_fault
    burst: tuple[float, float, float] | None = None
    flood: bool = False
    load_lag: float = DEFAULT_LOAD_LAG_SECONDS
    resend: bool = False
    single_fault: bool = True
    loads: tuple[float, ...] = (0.8, 2.0)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(name="steady", loads=LOADS),
        Scenario(name="burst x5", burst=(10.0, 20.0, 5.0)),
        Scenario(name="slow VM x4", inject_fault=slow_engines(0.0, SLOW_FACTOR)),
        Scenario(
            name="half pool x2", inject_fault=slow_engines(0.5, HALF_POOL_SLOW_FACTOR)
        ),
        Scenario(name="crash and return", inject_fault=crash_and_recover),
        Scenario(name="zone lost", inject_fault=lose_zone),
        Scenario(name="stage fails 20%", inject_fault=fail_stage_calls),
        Scenario(name="flood x10", flood=True, loads=(0.5,)),
        Scenario(name="lag 2 s", load_lag=2.0),
        Scenario(name="lag 10 s", load_lag=10.0),
        Scenario(name="caches lost", inject_fault=clear_caches),
        Scenario(name="resends", resend=True, loads=(0.8, 1.3, 2.0)),
    )
}
