"""Measurement of the memory of a daemon's state, one process per measurement."""

import concurrent.futures
import gc
import multiprocessing
import os
import time
from collections.abc import Callable
from typing import Any

import anyio
import attrs
import msgspec
import numpy as np
import psutil

from currantdyke.catalog import StageStep
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import ChangeSet, Directory
from currantdyke.emulator import PlainEmulator
from currantdyke.platform.records import (
    CONFIGURATION_KEY,
    ENDPOINTS_PREFIX,
    DaemonEntry,
    encode_daemon_entry,
)
from currantdyke.platform.store import Change
from currantdyke.scheduler.chain import Chain
from currantdyke.scheduler.messages import PlacementRequest
from currantdyke.testing.gateways import configuration, plain_route

__all__ = ["STATES", "Slope", "measure_slope"]


@attrs.frozen(kw_only=True)
class Slope:
    """A straight line fitted to the measured memory of one kind of state.

    Attributes
    ----------
    per_item : float
        Bytes per additional item.
    seconds_per_item : float
        CPU seconds to build one item, at the largest size.
    spread : float
        Largest residual of a point, as a fraction of the last point.
    """

    name: str
    sizes: tuple[int, ...]
    bytes: tuple[float, ...]
    per_item: float
    seconds_per_item: float
    spread: float


def build_workspaces(count: int) -> Directory:
    """Return a directory with a configuration of ``count`` workspaces in force."""
    tenants = [
        {"name": f"workspace-{i:05}", "api_keys": [f"key-{i}"], "priority": 1}
        for i in range(count)
    ]
    document = configuration(1, [plain_route()], tenants=tenants)
    return _directory([(CONFIGURATION_KEY, msgspec.json.encode(document))])


def build_endpoints(count: int) -> Directory:
    """Return a directory that holds ``count`` endpoints."""
    items = []
    for number in range(count):
        instance = f"i-{number:010x}"
        endpoint = PlainEmulator(
            instance=instance,
            service=f"service-{number % 23}",
            host=f"10.1.{number // 250}.{number % 250}",
            port=8_000,
        )
        value = msgspec.json.encode(endpoint.entry())
        items.append((ENDPOINTS_PREFIX + instance, value))
    return _directory(items)


def build_daemons(count: int) -> Directory:
    """Return a directory that holds ``count`` daemons."""
    entries = [
        DaemonEntry(
            name=f"edge-{i}",
            ip=f"10.2.{i // 250}.{i % 250}",
            availability_zone=f"zone-{i % 16}",
            incarnation=f"{i:012x}",
        )
        for i in range(count)
    ]
    return _directory([encode_daemon_entry(entry) for entry in entries])


def build_chains(count: int) -> list[Chain]:
    """Return the chains of ``count`` requests, of which no stage has started."""
    steps = (
        StageStep(service="score", result_bytes=8_000),
        StageStep(service="roll", after=(0,), result_bytes=60_000),
        StageStep(service="notice", after=(1,), result_bytes=6_000),
    )
    return [
        Chain.of(
            request=PlacementRequest(
                attempt_id=f"{number:016x}",
                service="engine",
                steps=steps,
                pieces=(1, 8, 16),
                stage_key=f"{number:012x}",
            ),
            now=0.0,
        )
        for number in range(count)
    ]


def _directory(items: list[tuple[str, bytes]]) -> Directory:
    log = DecisionLog(daemon="bench", descriptor=os.open(os.devnull, os.O_WRONLY))
    directory = Directory(log=log)
    changes = tuple(
        Change(key=key, value=value, revision=number)
        for number, (key, value) in enumerate(items, start=1)
    )
    changed = ChangeSet(changes=changes, revision=len(items), is_snapshot=True)
    directory.apply(changed, source="store")
    log.waiting.clear()
    return directory


STATES: dict[str, tuple[Callable[[int], Any], tuple[int, ...]]] = {
    "workspace in force": (build_workspaces, (2_000, 6_000, 12_000, 17_000)),
    "endpoint known": (build_endpoints, (500, 1_500, 3_000, 4_200)),
    "daemon known": (build_daemons, (50, 150, 300, 490)),
    "chain at an owner": (build_chains, (50, 150, 300, 600)),
}


async def _measure_state(name: str, count: int) -> tuple[float, float]:
    """Build a state and return its bytes and CPU seconds."""
    build, _ = STATES[name]
    process = psutil.Process()
    build(10)
    gc.collect()
    before = process.memory_info().rss
    started = time.process_time()
    state = build(count)
    seconds = time.process_time() - started
    gc.collect()
    grown_bytes = process.memory_info().rss - before
    del state
    return grown_bytes, seconds


def measure_state(name: str, count: int) -> tuple[float, float]:
    """Return the bytes and CPU seconds of a state; call this in a fresh process."""
    return anyio.run(_measure_state, name, count)


def measure_slope(name: str) -> Slope:
    """Measure a state at each of its sizes and fit a line to the points."""
    _, sizes = STATES[name]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        1, context, max_tasks_per_child=1
    ) as pool:
        points = [pool.submit(measure_state, name, size).result() for size in sizes]
    grown_bytes = [point[0] for point in points]
    per_item, offset = np.polyfit(sizes, grown_bytes, 1)
    line = np.polyval((per_item, offset), sizes)
    return Slope(
        name=name,
        sizes=sizes,
        bytes=tuple(grown_bytes),
        per_item=float(per_item),
        seconds_per_item=points[-1][1] / sizes[-1],
        spread=float(np.max(np.abs(line - grown_bytes)) / grown_bytes[-1]),
    )
