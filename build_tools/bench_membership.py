"""Measure what membership costs a daemon and how fast it is, by fleet size.

All daemons of a size run in this process, in virtual time, with the real codec and
the real keyed code; the kernel's share of the cost is measured apart, over UDP
sockets of 127.0.0.1.

Usage: python build_tools/bench_membership.py [--out FILE] [SIZE ...]
       python build_tools/bench_membership.py --merge FILE [FILE ...]

The second form joins the results of runs with some sizes each.
"""

import argparse
import json
import math
import pathlib
import platform
import statistics
import time
from collections.abc import Sequence

import anyio
import psutil

from currantdyke.core import new_incarnation
from currantdyke.events import Timeline
from currantdyke.membership import Membership
from currantdyke.membership.spreading import sync_period_seconds
from currantdyke.metrics import Metrics
from currantdyke.peers import Member, MessageSeal, open_peer_sockets
from currantdyke.testing import run_virtual
from currantdyke.testing.members import MemberFleet, MemoryFeed, member_fleet
from currantdyke.timers import TimerService

SIZES = (3, 12, 50, 100, 200)
FULL_SIZE = 490
REGIONS = 5
ZONES_PER_REGION = 3
SETTLE_SECONDS = 30.0
WINDOW_SECONDS = 60.0
VERSION_SECONDS = 86_400 / 16_000
LEAVING_SECONDS = 86_400 / 1_000
HEADER_BYTES = 28
KILLS = 3
SMALLEST_FOR_THIRDS = 9
SOCKET_DAEMONS = (12, 50)
SOCKET_SECONDS = 10.0
BUDGET_CORE_SHARE = 0.049
BUDGET_BYTES_PER_SECOND = 10_000


def traffic(fleet: MemberFleet) -> tuple[float, float]:
    """Return messages and bytes sent and received by all daemons so far."""
    messages = content = 0.0
    for node in fleet.nodes.values():
        for family in node.metrics.registry.collect():
            if family.name == "currantdyke_peer_messages":
                messages += sum(s.value for s in family.samples if is_total(s))
            if family.name == "currantdyke_peer_bytes":
                content += sum(s.value for s in family.samples if is_total(s))
    return messages, content


def is_total(sample) -> bool:
    """Return whether a sample is a count and not its time of creation."""
    return sample.name.endswith("_total")


async def window(fleet: MemberFleet, busy: bool) -> dict:
    """Measure one window of steady running, with changes or without.

    The window is so long that each daemon exchanges its whole table in it once.
    """
    seconds = max(WINDOW_SECONDS, 1.5 * sync_period_seconds(len(fleet.nodes)))
    before, started = traffic(fleet), time.process_time()
    async with anyio.create_task_group() as tasks:
        if busy:
            tasks.start_soon(make_changes, fleet)
        await anyio.sleep(seconds)
        tasks.cancel_scope.cancel()
    spent, after = time.process_time() - started, traffic(fleet)
    share = 1.0 / (seconds * len(fleet.nodes))
    messages = (after[0] - before[0]) * share
    return {
        "messages_per_second": messages,
        "bytes_per_second": (after[1] - before[1]) * share + HEADER_BYTES * messages,
        "core_share": spent * share,
    }


async def make_changes(fleet: MemberFleet) -> None:
    """Change configuration and endpoints as often as the full size does."""
    names = sorted(fleet.nodes)
    feed = fleet.nodes[names[0]].feed
    next_leaving = anyio.current_time()
    while True:
        feed.put(feed.version + 1)
        if anyio.current_time() >= next_leaving:
            next_leaving += LEAVING_SECONDS
            stated = fleet.nodes[names[-1]].membership
            stated.state_fact(f"leaving/vm-{feed.version}/ab", "list", seconds=3600)
        await anyio.sleep(VERSION_SECONDS)


async def detection(fleet: MemberFleet) -> dict:
    """Kill daemons one after another; return when the others took them for dead."""
    first, last = [], []
    for name in sorted(fleet.nodes)[-KILLS:]:
        if len(fleet.nodes) <= 2:
            break
        started = anyio.current_time()
        fleet.kill(name)

        def observers(name=name):
            return {d[1]: d[0] for d in fleet.deaths if d[2] == name}

        await fleet.until(lambda: len(observers()) == len(fleet.nodes), 90.0)
        times = [at - started for at in observers().values()]
        first.append(min(times))
        last.append(max(times) if len(times) == len(fleet.nodes) else math.inf)
    return {
        "first_seconds": statistics.mean(first),
        "last_seconds": max(last),
        "false_deaths": len(fleet.false_deaths()),
    }


async def configuration(fleet: MemberFleet) -> dict:
    """Put a version in force with a fifth of messages lost and a third dead."""
    if len(fleet.nodes) < SMALLEST_FOR_THIRDS:
        return {}
    fleet.network.loss = 0.2
    names = sorted(fleet.nodes)
    for name in names[1::3]:
        fleet.kill(name)
    feed = fleet.nodes[names[0]].feed
    version = feed.version + 1
    feed.put(version)
    seconds = await fleet.until(
        lambda: all(n.feed.version >= version for n in fleet.nodes.values()), 60.0
    )
    return {"in_force_seconds": seconds}


async def measure(size: int) -> dict:
    """Measure one size."""
    process = psutil.Process()
    memory = process.memory_info().rss
    async with member_fleet(size, regions=REGIONS, zones=ZONES_PER_REGION) as fleet:
        joined = await fleet.until(fleet.agree, 120.0)
        await anyio.sleep(SETTLE_SECONDS)
        grown = process.memory_info().rss - memory
        return {
            "daemons": size,
            "join_seconds": joined,
            "memory_bytes_per_daemon": grown / size,
            "quiet": await window(fleet, busy=False),
            "busy": await window(fleet, busy=True),
            "detection": await detection(fleet),
            "configuration": await configuration(fleet),
        }


async def over_sockets(size: int) -> dict:
    """Measure daemons over UDP sockets, with the kernel's share."""
    async with anyio.create_task_group() as tasks:
        members: list[Membership] = []
        for number in range(size):
            seeds = [members[0].me.address] if members else []
            await tasks.start(socket_daemon, number, seeds, members)
        while any(len(m.live_members()) < size for m in members):
            await anyio.sleep(0.1)
        await anyio.sleep(5.0)
        started = time.process_time()
        await anyio.sleep(SOCKET_SECONDS)
        spent = time.process_time() - started
        tasks.cancel_scope.cancel()
    return {"daemons": size, "core_share": spent / SOCKET_SECONDS / size}


async def socket_daemon(
    number: int, seeds: list[str], members: list[Membership], *, task_status
) -> None:
    """Run one daemon's membership over sockets."""
    async with (
        open_peer_sockets("127.0.0.1", 0) as transport,
        anyio.create_task_group() as tasks,
    ):
        name = f"entry-{number}"
        membership = Membership(
            me=Member(
                name=name,
                counter=time.time_ns() // 1000,
                incarnation=new_incarnation(),
                address=transport.address,
            ),
            transport=transport,
            seal=MessageSeal(keys=["key"]),
            feed=MemoryFeed(),
            timers=TimerService(),
            metrics=Metrics(),
            timeline=Timeline(daemon=name, capacity=100),
            random_source=TimerService().random_source,
            seeds=seeds,
        )
        members.append(membership)
        membership.start(tasks)
        tasks.start_soon(membership.timers.run)
        task_status.started()


def fit(rows: list[dict], pick) -> dict:
    """Fit a line over the sizes and extend it to the full one."""
    points = [(row["daemons"], pick(row)) for row in rows]
    line = statistics.linear_regression(*zip(*points, strict=True))
    at_full = line.intercept + line.slope * FULL_SIZE
    return {"slope_per_daemon": line.slope, "at_full_size": at_full}


def summary(rows: list[dict]) -> dict:
    """Return slopes and their values at the full size, beside the budgets."""
    picks = {
        f"{load}_{name}": (lambda row, load=load, name=name: row[load][name])
        for load in ("quiet", "busy")
        for name in ("core_share", "bytes_per_second", "messages_per_second")
    }
    picks["memory_bytes_per_daemon"] = lambda row: row["memory_bytes_per_daemon"]
    fits = {name: fit(rows, pick) for name, pick in picks.items()}
    budgets = {
        "core_share": BUDGET_CORE_SHARE,
        "bytes_per_second": BUDGET_BYTES_PER_SECOND,
    }
    return {"full_size": FULL_SIZE, "fits": fits, "budgets": budgets}


def run(sizes: Sequence[int]) -> dict:
    """Measure sizes one after another."""
    rows = []
    for size in sizes:
        rows.append(run_virtual(measure, size))
        print(json.dumps(rows[-1]), flush=True)
    wanted = " ".join(map(str, sizes))
    return {
        "command": f"python build_tools/bench_membership.py {wanted}",
        "machine": f"{platform.machine()}, Python {platform.python_version()}",
        "sizes": rows,
        "sockets": [anyio.run(over_sockets, size) for size in SOCKET_DAEMONS],
    }


def merged(files: Sequence[str]) -> dict:
    """Join the results of earlier runs."""
    parts = [json.loads(pathlib.Path(file).read_text()) for file in files]
    return {
        "command": "; ".join(part["command"] for part in parts),
        "machine": parts[0]["machine"],
        "sizes": sorted(
            (row for part in parts for row in part["sizes"]),
            key=lambda row: row["daemons"],
        ),
        "sockets": parts[0]["sockets"],
    }


def main() -> None:
    """Measure the sizes given and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int)
    parser.add_argument("--out", default="docs/results/membership.json")
    parser.add_argument("--merge", nargs="+", default=[])
    options = parser.parse_args()
    found = merged(options.merge) if options.merge else run(options.sizes or SIZES)
    if len(found["sizes"]) > 2:
        found |= summary(found["sizes"])
    path = pathlib.Path(options.out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(found, indent=1) + "\n")
    print(json.dumps(found.get("fits")), json.dumps(found["sockets"]))


if __name__ == "__main__":
    main()
