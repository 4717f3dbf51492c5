"""A runner whose entry was removed gets work on, while waiting watches are cut."""

import itertools
import pathlib
import random
import sys
import time

import anyio

from currantdyke.emulator import PlainEmulator, StoreEmulator

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

from deployment_3 import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HEARTBEAT_SECONDS,
    HELD,
    World,
    run,
)

GATEWAYS = 3
CALLERS = 12
DRAIN_SECONDS = 2.0
# A runner that never says it is draining serves on for drain_ms, and at times for many
# seconds more.
LINGER_SECONDS = 5.0
# Of the watches that have waited this long for a change, this share is cut.
CUT_AFTER_SECONDS = 0.2
CUT_SHARE = 0.5
NUMBERS = itertools.count(0x1000)


class CuttingStore(StoreEmulator):
    """The project's emulated store, which cuts some of the watches that wait."""

    def prepare(self, world: World) -> None:
        """Begin without cuts."""
        self.world, self.cuts, self.random = world, False, random.Random(12)

    async def _handle(self, request, reply) -> None:
        if "/kv-watch" in request.path and self.cuts:
            revision = self.revision
            with anyio.move_on_after(CUT_AFTER_SECONDS):
                while self.revision == revision:
                    await self.changed.wait()
            if self.revision == revision and self.random.random() < CUT_SHARE:
                self.world.log("watch_cut")
                await reply.close()
        await super()._handle(request, reply)


class RecordingRunner(PlainEmulator):
    """The project's emulated plain endpoint, which records what it runs."""

    async def _serve(self, request, reply) -> None:
        self.world.log("ran", runner=self.instance, id=request.attempt_id)
        await super()._serve(request, reply)


async def call(world: World, rng: random.Random) -> None:
    """Send requests that may run once, one after the other."""
    while True:
        attempt = f"o{next(NUMBERS):x}"
        gateway = rng.choice(world.gateways)
        world.log("sent", id=attempt, gateway=gateway.name)
        answer = await world.request(
            gateway,
            attempt,
            path="/once/x",
            deadline_ms=3_003,
            body=attempt.encode(),
        )
        world.log("answered", id=attempt, status=answer.status if answer else 0)
        await anyio.sleep(rng.uniform(0.05, 0.15))


async def keep_entries(world: World, runners: list[PlainEmulator]) -> None:
    """Write the entries of the runners at each heartbeat, unless they have left."""
    for sequence in itertools.count(1):
        for runner in runners:
            if runner.instance not in world.left:
                world.store.announce(
                    runner.instance, runner.entry() | {"sequence": sequence}
                )
        await anyio.sleep(HEARTBEAT_SECONDS)


async def script(world: World) -> int:
    """Play the case, and judge by when requests reached the runner that has left."""
    world.store.prepare(world)
    world.left = set()
    route = {
        "name": "r-once",
        "host": "one.example",
        "prefix": "/once/",
        "type": "non_idempotent",
        "timeout_ms": 3_000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": "desk",
        "max_attempts": 1,
        "public": False,
    }
    service = {"name": "desk", "health_path": "/healthz", "max_connections": 192}
    world.configure(routes=[route], services=[service])
    runners = [
        RecordingRunner(
            instance=f"i-{number}", service="desk", slots=6, work_seconds=0.09
        )
        for number in (1, 2)
    ]
    for runner in runners:
        runner.world = world
        runner.born = int(time.time() * 1_000)
        await world.tasks.start(runner.run)
    world.tasks.start_soon(keep_entries, world, runners)
    if not await world.start_gateways(GATEWAYS):
        return COULD_NOT_RUN
    await anyio.sleep(3.0)
    for number in range(CALLERS):
        world.tasks.start_soon(call, world, random.Random(number))
    await anyio.sleep(3.0)
    world.store.cuts = world.disrupted
    await anyio.sleep(4.0)
    leaving = runners[0]
    world.left.add(leaving.instance)
    world.store.withdraw(leaving.instance)
    removed_at = time.monotonic()
    world.log("entry_removed", runner=leaving.instance)
    await anyio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
    arrivals = list(zip(leaving.arrivals, leaving.arrived_at, strict=True))
    running = set(leaving.runs) - set(leaving.stopped)
    leaving.crash()
    world.log("runner_ended", runner=leaving.instance, runs=len(running))
    await anyio.sleep(1.5)
    # The clock of anyio is the steady clock.
    late = [
        request.attempt_id
        for request, at in arrivals
        if at > removed_at + DRAIN_SECONDS
    ]
    for request, at in arrivals:
        world.lines.append(
            {"at": at, "event": "arrived", "runner": "i-1", "id": request.attempt_id}
        )
    failed = [
        line["id"]
        for line in world.lines
        if line["event"] == "answered" and line["status"] not in (200, 503)
    ]
    print(
        f"{len(late)} of {len(arrivals)} requests reached the runner over "
        f"{DRAIN_SECONDS} s after its entry was removed; {len(failed)} requests failed"
    )
    world.log("judged", late=len(late), failed=failed)
    if len(arrivals) < CALLERS:
        return COULD_NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run(script, RECORD, store=CuttingStore()))
