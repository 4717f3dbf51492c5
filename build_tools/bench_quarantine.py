"""Count the endpoints that one request crashes, and what becomes of innocents.

Usage: python build_tools/bench_quarantine.py
"""

import json
import statistics

import anyio

from currantdyke.quarantine.tests.builders import POISON, make_crashing, restart
from currantdyke.testing import FleetInMemory, fleet_in_memory, run_virtual

SEEDS = range(1, 11)
DAEMONS = 6
ENDPOINTS = 8
RESENDS = 24
INNOCENTS = 50
SERVICE = "entry-desk"
PATH = f"/v1/services/{SERVICE}"
MEETING_SECONDS = 5.0
RESTART_SECONDS = 0.5


async def submit(fleet: FleetInMemory, daemon: int, content: str) -> int:
    """Send one request and return its status."""
    async with fleet.caller(f"entry-{daemon + 1}") as client:
        headers = {"x-deadline-seconds": "20"}
        answer = await client.post(PATH, json={"input": content}, headers=headers)
        return answer.status_code


async def keep_up(fleet: FleetInMemory, crashes: list[str]) -> None:
    """Restart each endpoint a while after it died."""
    while True:
        await anyio.sleep(RESTART_SECONDS)
        for name in fleet.standins:
            if f"{name}:1" not in fleet.network.apps:
                restart(fleet, name, crashes)


async def count_crashes(seed: int, apart_seconds: float) -> int:
    """Send one crashing request again and again, through all daemons in turn."""
    crashes: list[str] = []
    async with fleet_in_memory(
        daemons=DAEMONS, endpoints=ENDPOINTS, seed=seed, peers=True
    ) as fleet:
        await anyio.sleep(MEETING_SECONDS)
        make_crashing(fleet, SERVICE, crashes)
        fleet.tasks.start_soon(keep_up, fleet, crashes)
        async with anyio.create_task_group() as tasks:
            for number in range(RESENDS):
                tasks.start_soon(submit, fleet, number % DAEMONS, POISON)
                await anyio.sleep(apart_seconds)
        return len(crashes)


async def spare_innocents(seed: int) -> dict:
    """Crash an endpoint with innocents in flight; return what became of them."""
    crashes: list[str] = []
    statuses: list[int] = []
    seconds: list[float] = []
    async with fleet_in_memory(
        daemons=2, endpoints=ENDPOINTS, seed=seed, peers=True
    ) as fleet:
        await anyio.sleep(MEETING_SECONDS)
        make_crashing(fleet, SERVICE, crashes)
        fleet.tasks.start_soon(keep_up, fleet, crashes)
        for standin in fleet.standins.values():
            standin.seconds = 0.2
        endpoints = fleet.daemons["entry-1"].endpoints.of_service(SERVICE)
        for endpoint in endpoints[1:]:
            endpoint.leaving = True

        async def innocent(number: int) -> None:
            started = anyio.current_time()
            statuses.append(await submit(fleet, 0, f"flight {number}"))
            seconds.append(anyio.current_time() - started)

        async with anyio.create_task_group() as tasks:
            for number in range(INNOCENTS):
                tasks.start_soon(innocent, number)
            await anyio.sleep(0.1)
            tasks.start_soon(submit, fleet, 0, POISON)
            await anyio.sleep(0.05)
            for endpoint in endpoints:
                endpoint.leaving = False
    return {
        "answered": statuses.count(200),
        "crashes": len(crashes),
        "median_seconds": statistics.median(seconds),
        "last_seconds": max(seconds),
    }


def main() -> None:
    """Run every case over all seeds and print the figures."""
    for apart in (0.0, 0.05, 0.3, 1.0):
        counts = [run_virtual(count_crashes, seed, apart) for seed in SEEDS]
        print(f"{RESENDS} copies, {apart:g} s apart: crashes {sorted(counts)}")
    rows = [run_virtual(spare_innocents, seed) for seed in SEEDS]
    for name in rows[0]:
        print(f"{INNOCENTS} innocents, {name}:", json.dumps([r[name] for r in rows]))


if __name__ == "__main__":
    main()
