"""Runners that are cut off from the store restart under their ids, upgraded."""

import itertools
import pathlib
import random
import re
import sys

import anyio

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_3 import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    World,
    free_port,
    run,
)

GATEWAYS = 3
CALLERS = 32
RUNNERS = 2
OLD, NEW = "v1", "v2"
WARM_UP_SECONDS = 5.0
# As of the disruption srv_cut in the list of the bench.
CUT_SECONDS = 5.0
DOWN_SECONDS = 0.5
GAP_SECONDS = 1.5
AFTER_SECONDS = 6.0
MAX_JOINED = 2
MARKS = re.compile(rb"data: \d+ (\S+)\n")
IDS = re.compile(rb"id: (\d+)\n")
EVENTS = 20
NUMBERS = itertools.count(0x1000)


async def keep_runner(world: World, number: int, address: str) -> None:
    """Run a runner; it comes back under its id, and its second lifetime is upgraded."""
    for version in itertools.chain((OLD,), itertools.repeat(NEW)):
        await world.run_runner(
            address,
            instance=f"i-{number}",
            version=version,
            options=["--events", str(EVENTS), "--event-ms", "200"],
        )
        await anyio.sleep(DOWN_SECONDS)


async def call(world: World, rng: random.Random) -> None:
    """Send streams one after the other, and take a broken one up again."""
    await anyio.sleep(rng.uniform(0.0, 4.0))
    while True:
        first_attempt, body = "", b""
        parts = f"ab:60,{next(NUMBERS):x}:60"
        for _ in range(3):
            attempt = f"s{next(NUMBERS):x}"
            gateway = rng.choice(world.gateways)
            last_id = max((int(number) for number in IDS.findall(body)), default=0)
            headers = {
                "x-model": "m",
                "x-token-usage": "120,30",
                "x-prefix-hash": parts,
            }
            if last_id:
                headers |= {"last-event-id": str(last_id), "resumes": first_attempt}
            world.log("sent", id=attempt, gateway=gateway.name, last_event_id=last_id)
            answer = await world.request(
                gateway, attempt, headers=headers, body=parts.encode()
            )
            got = answer.body if answer and answer.status == 200 else b""
            whole = got[: got.rfind(b"\n\n") + 2]
            if whole and not first_attempt:
                first_attempt = attempt
            body += whole
            versions = sorted({mark.decode() for mark in MARKS.findall(whole)})
            world.log(
                "answered",
                id=attempt,
                status=answer.status if answer else 0,
                ids=[int(number) for number in IDS.findall(whole)],
                versions=versions,
            )
            if len(IDS.findall(body)) >= EVENTS:
                break
            await anyio.sleep(rng.uniform(0.05, 0.2))
        versions = {mark.decode() for mark in MARKS.findall(body)}
        world.streams.append(versions)
        if len(versions) > 1:
            world.log("joined", first_attempt=first_attempt, versions=sorted(versions))


async def script(world: World) -> int:
    """Play the case, and judge by the events that callers got."""
    world.streams = []
    route = {
        "name": "r-stream",
        "host": "one.example",
        "prefix": "/stream/",
        "type": "streaming",
        "timeout_ms": 12_000,
        "target_latency_ms": 1_300,
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
    for number in range(1, RUNNERS + 1):
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        world.tasks.start_soon(keep_runner, world, number, address)
    await anyio.sleep(1.0)
    if not await world.start_gateways(GATEWAYS):
        return COULD_NOT_RUN
    await anyio.sleep(3.0)
    for number in range(CALLERS):
        world.tasks.start_soon(call, world, random.Random(number))
    await anyio.sleep(WARM_UP_SECONDS)
    if world.disrupted:
        world.tasks.start_soon(world.cut_runners_off, CUT_SECONDS)
    await anyio.sleep(0.2)
    for number in range(1, RUNNERS + 1):
        world.log("killed", runner=f"i-{number}")
        world.runner_processes[f"i-{number}"].kill()
        await anyio.sleep(GAP_SECONDS)
    await anyio.sleep(AFTER_SECONDS)
    joined = sum(len(versions) > 1 for versions in world.streams)
    print(f"{len(world.streams)} streams, {joined} hold events of two versions")
    world.log("judged", streams=len(world.streams), joined=joined)
    if len(world.streams) < CALLERS:
        return COULD_NOT_RUN
    return BROKEN if joined > MAX_JOINED else HELD


if __name__ == "__main__":
    sys.exit(run(script, FOLDER))
