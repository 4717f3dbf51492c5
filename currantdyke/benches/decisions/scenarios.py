"""What goes wrong in each scenario."""

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
    """Leave all as it is."""


def slow_engines(share_of_pool: float, factor: float) -> FaultInjector:
    """Return a fault that slows the first engines for a while."""

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
    """Crash one engine; it comes back empty."""
    engine = cell.engines()[0]
    await anyio.sleep(FAULT_START_SECONDS)
    engine.crash()
    await anyio.sleep(FAULT_END_SECONDS - FAULT_START_SECONDS)
    engine.recover()


async def lose_zone(cell: Any) -> None:
    """Lose a zone: its endpoints fall silent and its daemons are gone."""
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
    """Let a fifth of one stage's calls fail, all through."""
    for name, endpoint in cell.endpoints.items():
        if name.startswith("retriever"):
            endpoint.failure_probability = STAGE_FAILURE_PROBABILITY


async def clear_caches(cell: Any) -> None:
    """Empty every prefix cache once."""
    await anyio.sleep(FAULT_START_SECONDS)
    for engine in cell.engines():
        engine.prefixes.clear()


@attrs.frozen(kw_only=True)
class Scenario:
    """A named fault.

    Attributes
    ----------
    inject_fault : callable
        Brings the fault about.
    burst : tuple or None
        Start, end and factor of a burst of arrivals.
    flood : bool
        Whether one workspace asks for ten times its share.
    load_lag : float
        Age in seconds of a load report when it comes.
    resend : bool
        Whether callers send again after a time-out or a refusal.
    single_fault : bool
        Whether the target for a single fault holds for it.
    loads : tuple of float
        Loads at which it is measured.
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
