"""Streams of a gateway that is lost around the start of a second version.

Their callers stay until the gateway falls silent, and then resume them at the others.
"""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio
import h11

from currantdyke.emulator import Caller
from currantdyke.soak.callers import CONNECTION_ERRORS
from currantdyke.soak.faults import draw_duration, kill_gateway, pause_gateway
from currantdyke.soak.versions import (
    EVENTS,
    MIN_RESUMED,
    MIN_SHARE,
    VERSIONS,
    StreamRecord,
    start_engine,
    stream_headers,
    try_stream,
    version_violations,
)

__all__ = [
    "FAULTS_OF_OTHERS",
    "hold_streams",
    "lose_first_gateway",
    "lost_stream_violations",
    "start_first_version",
]

FIRST_ENGINES = 3
# A stream takes three seconds, so that many are in progress when their gateway is lost.
EVENT_SECONDS = 0.6
# As the users' callers, who leave a stream after this time without an event and try
# once more.
GAP_SECONDS = 2.0
MAX_TRIES = 3
# The users' VMs stand still for at most this time.
FROZEN_SECONDS = 4.0
LOST_AFTER_SECONDS = (2.5, 3.5)
# When the second version starts, from the moment at which the gateway is lost.
MIN_OFFSET_SECONDS, MAX_OFFSET_SECONDS = -0.7, 1.6
# Longest time without a fault of another gateway.
MAX_QUIET_SECONDS = 3.0
# Each engine has room for the streams of all callers.
SLOTS = 64
PROMPTS = 16
PROMPT_TOKENS = 60
THINK_SECONDS = 0.3


async def start_first_version(world) -> None:
    """Start the engines of the only version."""
    for _ in range(FIRST_ENGINES):
        await _start_engine(world, VERSIONS[0])


async def _start_engine(world, version: str) -> None:
    await start_engine(world, version, event_seconds=EVENT_SECONDS, slots=SLOTS)


async def lose_first_gateway(world, rng: random.Random) -> None:
    """Pause or kill a gateway, and start an engine of a second version about then."""
    await anyio.sleep(rng.uniform(*LOST_AFTER_SECONDS))
    offset = rng.uniform(MIN_OFFSET_SECONDS, MAX_OFFSET_SECONDS)
    lose = rng.choice((_freeze, _kill, _freeze_and_kill))

    async def start_second_version() -> None:
        await anyio.sleep(max(0.0, offset))
        await _start_engine(world, VERSIONS[1])
        world.checker.record_event("an engine of a second version starts")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(start_second_version)
        await anyio.sleep(max(0.0, -offset))
        world.checker.record_event(f"{lose.__name__} the first gateway")
        world.lost_streams += [s for s in world.streams if not s.tries]
        await lose(world)


async def _freeze(world) -> None:
    await pause_gateway(world, world.gateways[0], FROZEN_SECONDS)


async def _kill(world) -> None:
    await kill_gateway(world, world.gateways[0])


async def _freeze_and_kill(world) -> None:
    """Pause the gateway, which then ends without going on, as by a loss of power."""
    gateway = world.gateways[0]
    async with gateway.signal_lock:
        world.checker.record_disruption(gateway)
        gateway.send_signal(signal.SIGSTOP)
        await anyio.sleep(FROZEN_SECONDS)
    await kill_gateway(world, gateway)


async def _pause_another(world, rng: random.Random) -> None:
    await pause_gateway(world, rng.choice(world.gateways[1:]), draw_duration(rng))


async def _kill_another(world, rng: random.Random) -> None:
    await kill_gateway(world, rng.choice(world.gateways[1:]))


async def _rest(world, rng: random.Random) -> None:
    await anyio.sleep(rng.uniform(0.0, MAX_QUIET_SECONDS))


# The first gateway serves until it is lost.
FAULTS_OF_OTHERS: dict[str, Callable[..., Awaitable[None]]] = {
    "pause another gateway": _pause_another,
    "kill another gateway": _kill_another,
    "no fault": _rest,
}


async def hold_streams(world, rng: random.Random) -> None:
    """Read one stream after another, begun at the first gateway while it serves."""
    # The streams are at different events when the gateway is lost.
    await anyio.sleep(rng.uniform(0.0, EVENTS * EVENT_SECONDS))
    while not world.finished:
        record = StreamRecord()
        world.streams.append(record)
        await _hold_stream(world, record, rng)
        await anyio.sleep(rng.uniform(0.0, THINK_SECONDS))


async def _hold_stream(world, record: StreamRecord, rng: random.Random) -> None:
    prompt = f"{rng.randrange(PROMPTS):x}"

    async def read(address: str, attempt_id: str, last_id: int, resumes: str) -> bytes:
        headers = stream_headers(
            attempt_id,
            last_id=last_id,
            resumes=resumes,
            prompt=prompt,
            prompt_tokens=PROMPT_TOKENS,
        )
        headers["x-deadline-ms"] = str(int(1_000 * world.pattern.deadline_seconds))
        return await _read_until_silent(address, headers)

    first, others = world.gateways[0], world.gateways[1:]
    for _ in range(MAX_TRIES):
        is_lost = record.last_id or first.signal_lock.locked()
        gateway = rng.choice(others) if is_lost else first
        await try_stream(world, record, gateway, read)
        if record.last_id == EVENTS or world.finished:
            return


async def _read_until_silent(address: str, headers: dict[str, str]) -> bytes:
    """Return the whole events of an answer until its end or a gap."""
    caller = Caller(address=address)
    body, status = b"", 0
    try:
        with anyio.fail_after(GAP_SECONDS):
            await caller.send("POST", "/stream/", headers=headers)
        connection = await caller.connect()
        while True:
            with anyio.fail_after(GAP_SECONDS):
                event = await connection.next_event()
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data) and status == 200:
                body += bytes(event.data)
            elif not isinstance(event, h11.Data):
                break
    except CONNECTION_ERRORS:
        # The gateway is lost; what has arrived of the stream counts.
        pass
    finally:
        await caller.close()
    return body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""


def lost_stream_violations(world) -> list[str]:
    """Return the violations of runs with versions, and of the streams that were lost.

    The users' bound on all streams of a day holds for these alone.
    """
    resumed = [
        [went_on for _, counts, went_on in stream.tries[1:] if counts]
        for stream in world.lost_streams
    ]
    went_on = [any(tries) for tries in resumed if tries]
    world.checker.counts["streams of the lost gateway"] += len(went_on)
    violations = version_violations(world)
    if len(went_on) >= MIN_RESUMED and sum(went_on) < MIN_SHARE * len(went_on):
        violations.append(
            f"{sum(went_on)} of {len(went_on)} streams of the lost gateway went on"
        )
    return violations
