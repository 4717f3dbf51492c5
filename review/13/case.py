"""Streams of a machine that freezes, while a runner of another version starts."""

import itertools
import pathlib
import random
import re
import signal
import sys

import anyio
import h11

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

from deployment_3 import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Gateway,
    World,
    free_port,
    run,
)

from currantdyke.emulator import Caller  # noqa: E402

GATEWAYS = 4
OLD, NEW = "v1", "v2"
EVENTS = 30
STREAMS = 24
NEW_CALLERS = 6
# As of node_freeze in the site file.
FROZEN_SECONDS = 4.0
NEW_VERSION_AFTER_SECONDS = 0.7
# Callers leave a stream after a gap of two seconds, four times the target latency or
# eight times the pause, whichever is longest; these are 2, 2 and 1.6 s.
GAP_SECONDS = 2.0
# The callers' retries, as of the sheet.
RETRIES = 1
MIN_RESUMED = 12
MIN_SHARE = 0.5
IDS = re.compile(rb"id: (\d+)\n")
NUMBERS = itertools.count(0x1000)


async def read_events(
    world: World, gateway: Gateway, attempt: str, headers: dict[str, str], state: dict
) -> int:
    """Send a request and read its events until it ends or falls silent.

    Returns the status; 0 without an answer. `state` holds the last event's id, and the
    seconds that the caller should wait.
    """
    caller = Caller(address=gateway.address)
    status, body = 0, b""
    try:
        with anyio.fail_after(1.0):
            await caller.connect()
        await caller.send(
            "POST",
            "/stream/x",
            body=attempt.encode(),
            headers={
                "authorization": "Token k1",
                "x-attempt-id": attempt,
                "x-deadline-ms": "12000",
                "x-model": "m",
                "x-token-usage": "120,30",
                "x-prefix-hash": f"ab:60,{attempt}:60",
            }
            | headers,
        )
        connection = await caller.connect()
        while True:
            with anyio.fail_after(state["gap"]):
                event = await connection.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
                for name, value in event.headers:
                    if name == b"retry-after":
                        state["wait"] = float(value)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
                if status == 200 and (ids := IDS.findall(body)):
                    state["last"] = max(state["last"], int(ids[-1]))
            else:
                break
            if world.leave_now and gateway is world.gateways[0]:
                break
    except Exception:
        # The channel broke, or the caller has left it.
        world.log("left", id=attempt, gateway=gateway.name, last=state["last"])
    finally:
        await caller.close()
    return status


async def call_frozen(world: World, rng: random.Random) -> None:
    """Begin a stream at the first machine, and take it up elsewhere if it stops."""
    await anyio.sleep(rng.uniform(0.0, 0.8))
    state = {"last": 0, "wait": 0.0, "gap": GAP_SECONDS}
    first_attempt = f"{next(NUMBERS):x}"
    world.log("sent", id=first_attempt, gateway=world.gateways[0].name)
    await read_events(world, world.gateways[0], first_attempt, {}, state)
    begun = state["last"]
    if not 0 < begun < EVENTS:
        return
    went_on = False
    for _ in range(1 + RETRIES):
        attempt = f"{next(NUMBERS):x}"
        gateway = rng.choice(world.gateways[1:])
        before = state["last"]
        headers = {"last-event-id": str(before), "resumes": first_attempt}
        world.log("sent", id=attempt, gateway=gateway.name, resumes=first_attempt)
        status = await read_events(world, gateway, attempt, headers, state)
        world.log("answered", id=attempt, status=status, last=state["last"])
        went_on = state["last"] > before
        if went_on:
            break
        await anyio.sleep(state["wait"])
    world.resumed.append(went_on)


async def call_new(world: World, rng: random.Random) -> None:
    """Begin new streams at the other machines."""
    while True:
        attempt = f"{next(NUMBERS):x}"
        gateway = rng.choice(world.gateways[1:])
        state = {"last": 0, "wait": 0.0, "gap": GAP_SECONDS}
        world.log("sent", id=attempt, gateway=gateway.name)
        status = await read_events(world, gateway, attempt, {}, state)
        world.log("answered", id=attempt, status=status, last=state["last"])
        world.begun.append(state["last"] > 0)
        await anyio.sleep(rng.uniform(0.05, 0.2))


async def start_runner(world: World, number: int, version: str) -> None:
    """Start a runner of a version."""
    await world.run_runner(
        f"127.0.0.1:{free_port('127.0.0.1')}",
        instance=f"i-{number}",
        version=version,
        options=["--events", str(EVENTS), "--event-ms", "150"],
    )


async def script(world: World) -> int:
    """Play the case, and compare the streams that go on with those that begin."""
    world.resumed, world.begun, world.leave_now = [], [], False
    route = {
        "name": "r-stream",
        "host": "one.example",
        "prefix": "/stream/",
        "type": "streaming",
        "timeout_ms": 12_000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": "llm",
        "max_attempts": 2,
        "stages": [],
        "public": False,
        "session_affinity": True,
        "stream_resume": True,
        "target_itl_ms": 200,
    }
    service = {
        "name": "llm",
        "health_path": "/healthz",
        "max_connections": 720,
        "engine": {"slots": 64, "kv_capacity_tokens": 557_011},
    }
    world.configure(routes=[route], services=[service])
    for number in (1, 2, 3):
        world.tasks.start_soon(start_runner, world, number, OLD)
    await anyio.sleep(1.0)
    if not await world.start_gateways(GATEWAYS):
        return COULD_NOT_RUN
    await anyio.sleep(4.0)
    for number in range(NEW_CALLERS):
        world.tasks.start_soon(call_new, world, random.Random(f"new {number}"))
    for number in range(STREAMS):
        world.tasks.start_soon(call_frozen, world, random.Random(number))
    await anyio.sleep(2.0)
    frozen = world.gateways[0]
    if world.disrupted:
        world.log("frozen", gateway=frozen.name)
        frozen.process.send_signal(signal.SIGSTOP)
    await anyio.sleep(NEW_VERSION_AFTER_SECONDS)
    world.tasks.start_soon(start_runner, world, 4, NEW)
    await anyio.sleep(FROZEN_SECONDS - NEW_VERSION_AFTER_SECONDS - 2.0)
    if not world.disrupted:
        # The callers' channels break, and the machine lives on.
        world.leave_now = True
    await anyio.sleep(2.0)
    frozen.process.send_signal(signal.SIGCONT)
    world.log("goes_on", gateway=frozen.name)
    await anyio.sleep(6.0)
    return judge(world)


def judge(world: World) -> int:
    """Compare the shares as the rule does."""
    resumed, begun = world.resumed, world.begun
    print(
        f"{sum(resumed)} of {len(resumed)} streams that were taken up went on, "
        f"{sum(begun)} of {len(begun)} new ones began"
    )
    world.log(
        "judged",
        resumed=len(resumed),
        went_on=sum(resumed),
        new=len(begun),
        began=sum(begun),
    )
    if len(resumed) < MIN_RESUMED or not any(begun):
        return COULD_NOT_RUN
    share = sum(resumed) / len(resumed)
    return BROKEN if share < MIN_SHARE * sum(begun) / len(begun) else HELD


if __name__ == "__main__":
    sys.exit(run(script, RECORD))
