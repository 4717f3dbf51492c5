"""What goes wrong in each scenario."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

__all__ = ["LOADS", "SCENARIOS", "Scenario"]

LOADS = (0.5, 0.8, 1.0, 1.3, 2.0)
FAULT_BEGINS_SECONDS = 10.0
FAULT_ENDS_SECONDS = 20.0
USUAL_LAG_SECONDS = 0.5
SLOW_FACTOR = 4.0
HALF_POOL_SLOW_FACTOR = 2.0
FAILING_SHARE = 0.2
LOST_ZONE = "zone-1"

Play = Callable[[Any], Awaitable[None]]


async def nothing(cell: Any) -> None:
    """Leave all as it is."""


def slow(share_of_pool: float, factor: float) -> Play:
    """Return a fault that slows the first engines for a while."""

    async def play(cell: Any) -> None:
        engines = cell.engines()
        slowed = engines[: max(1, round(share_of_pool * len(engines)))]
        await anyio.sleep(FAULT_BEGINS_SECONDS)
        for engine in slowed:
            engine.slow_factor = factor
        await anyio.sleep(FAULT_ENDS_SECONDS - FAULT_BEGINS_SECONDS)
        for engine in slowed:
            engine.slow_factor = 1.0

    return play


async def crash_and_return(cell: Any) -> None:
    """Crash one engine; it comes back empty."""
    engine = cell.engines()[0]
    await anyio.sleep(FAULT_BEGINS_SECONDS)
    engine.crash()
    await anyio.sleep(FAULT_ENDS_SECONDS - FAULT_BEGINS_SECONDS)
    engine.recover()


async def zone_lost(cell: Any) -> None:
    """Lose a zone: its endpoints fall silent and its daemons are gone."""
    await anyio.sleep(FAULT_BEGINS_SECONDS)
    for endpoint in cell.endpoints.values():
        endpoint.silent = endpoint.silent or endpoint.zone == LOST_ZONE
    for number, daemon in enumerate(cell.daemons):
        if daemon.settings.availability_zone == LOST_ZONE:
            cell.lost_daemons.add(number)
            for exchange in daemon.requests.by_id.values():
                if exchange.cancel_scope is not None:
                    exchange.cancel_scope.cancel()


async def stage_failing(cell: Any) -> None:
    """Let a fifth of one stage's calls fail, all through."""
    for name, endpoint in cell.endpoints.items():
        if name.startswith("retriever"):
            endpoint.fail_share = FAILING_SHARE


async def caches_lost(cell: Any) -> None:
    """Empty every prefix cache once."""
    await anyio.sleep(FAULT_BEGINS_SECONDS)
    for engine in cell.engines():
        engine.prefixes.clear()


@attrs.frozen(kw_only=True)
class Scenario:
    """A named fault.

    Attributes
    ----------
    play : callable
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
    play: Play = nothing
    burst: tuple[float, float, float] | None = None
    flood: bool = False
    load_lag: float = USUAL_LAG_SECONDS
    resend: bool = False
    single_fault: bool = True
    loads: tuple[float, ...] = (0.8, 2.0)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(name="steady", loads=LOADS),
        Scenario(name="burst x5", burst=(10.0, 20.0, 5.0)),
        Scenario(name="slow VM x4", play=slow(0.0, SLOW_FACTOR)),
        Scenario(name="half pool x2", play=slow(0.5, HALF_POOL_SLOW_FACTOR)),
        Scenario(name="crash and return", play=crash_and_return),
        Scenario(name="zone lost", play=zone_lost),
        Scenario(name="stage fails 20%", play=stage_failing),
        Scenario(name="flood x10", flood=True, loads=(0.5,)),
        Scenario(name="lag 2 s", load_lag=2.0),
        Scenario(name="lag 10 s", load_lag=10.0),
        Scenario(name="caches lost", play=caches_lost),
        Scenario(name="resends", resend=True, loads=(0.8, 1.3, 2.0)),
    )
}
