"""Streams over engines of several software versions, resumed by their callers."""

import itertools
import random
import re
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from currantdyke.emulator import Caller, CallerAnswer, EngineEmulator, caller_headers
from currantdyke.soak.callers import CONNECTION_ERRORS
from currantdyke.soak.configurations import FIRST_KEY
from currantdyke.soak.gateways import SupervisedGateway

__all__ = [
    "StreamRecord",
    "change_versions",
    "read_stream",
    "resume_streams",
    "start_engine",
    "start_versions",
    "stream_headers",
    "try_stream",
    "version_violations",
    "versions_of",
]

VERSIONS = ("v1", "v1.2")
ENGINES_PER_VERSION = 2
EVENTS = 5
EVENT_SECONDS = 0.05
MARK_PATTERN = re.compile(rb"data: \d+ (\S+)\n")
ID_PATTERN = re.compile(rb"id: (\d+)\n")
# Bounds of the users: this many streams may hold events of two versions; of so many
# that are resumed, at least half the share of the new streams that begin goes on.
MAX_JOINED = 2
MIN_RESUMED = 12
MIN_SHARE = 0.5
MAX_TRIES = 4
PROMPTS = 16
# A short prompt goes to any engine, a long one to the engine that has it cached.
PROMPT_TOKENS = (40, 6_000)
MAX_CHANGE_INTERVAL_SECONDS = 3.0
# The platform withdraws the entry of an engine that leaves after this time.
DRAIN_SECONDS = 3.0
THINK_SECONDS = 0.1
STREAM_NUMBERS = itertools.count(1)

ReadEvents = Callable[[str, str, int, str], Awaitable[bytes]]


@attrs.define(kw_only=True)
class StreamRecord:
    """One stream over all tries of its caller.

    Attributes
    ----------
    body : bytes
        The events of all tries.
    first_attempt : str
        The attempt that brought the first event; empty before.
    tries : list of (bool, bool, bool)
        For each try, whether it resumes the stream, whether the bounds on its gateway
        held and two engines of the version served, and whether it brought events.
    """

    body: bytes = b""
    first_attempt: str = ""
    tries: list[tuple[bool, bool, bool]] = attrs.field(factory=list)

    @property
    def last_id(self) -> int:
        """Number of the last event; 0 before the first one."""
        return max((int(number) for number in ID_PATTERN.findall(self.body)), default=0)


def versions_of(body: bytes) -> set[str]:
    """Return the versions that the events of a stream name."""
    return {mark.decode() for mark in MARK_PATTERN.findall(body)}


async def read_stream(
    address: str,
    attempt_id: str,
    *,
    count: int = EVENTS,
    last_id: int = 0,
    resumes: str = "",
    prompt: str = "ab",
    prompt_tokens: int = PROMPT_TOKENS[-1],
) -> CallerAnswer | None:
    """Send a request for a stream, or resume one, and read some of its events.

    Parameters
    ----------
    prompt : str
        Id of the first part of the prompt, which some engine has cached.
    prompt_tokens : int
        Length of that part.

    Returns
    -------
    CallerAnswer or None
        None if the connection was lost before an answer.
    """
    headers = stream_headers(
        attempt_id,
        last_id=last_id,
        resumes=resumes,
        prompt=prompt,
        prompt_tokens=prompt_tokens,
    )
    caller = Caller(address=address)
    try:
        await caller.send("POST", "/stream/", headers=headers)
        # One event more than wanted would be the end of the answer.
        return await caller.first_events(count if count < EVENTS else EVENTS + 1)
    except CONNECTION_ERRORS:
        return None
    finally:
        await caller.close()


def stream_headers(
    attempt_id: str, *, last_id: int, resumes: str, prompt: str, prompt_tokens: int
) -> dict[str, str]:
    """Return the headers of a request for a stream; see `read_stream`."""
    headers = caller_headers(attempt_id, key=FIRST_KEY, streams=True)
    headers["x-prefix-hash"] = f"{prompt}:{prompt_tokens},cd:40"
    if last_id:
        headers |= {"last-event-id": str(last_id), "resumes": resumes}
    return headers


async def start_versions(world) -> None:
    """Start the engines of the first versions."""
    for version in VERSIONS:
        for _ in range(ENGINES_PER_VERSION):
            await start_engine(world, version)


async def start_engine(
    world, version: str, *, event_seconds: float = EVENT_SECONDS, **settings: Any
) -> None:
    """Start an engine of a version, and announce it."""
    number = next(world.instance_numbers)
    engine = EngineEmulator(
        instance=f"engine-{number}",
        service="engine",
        version=version,
        marks_events=True,
        events=EVENTS,
        event_seconds=event_seconds,
        **settings,
    )
    world.observe(engine)
    world.endpoints[engine.instance] = engine
    await world.tasks.start(engine.run)
    world.store.announce(engine.instance, engine.entry())


async def change_versions(world, rng: random.Random) -> None:
    """Let engines of later versions come and others leave or crash."""
    number = len(VERSIONS)
    while not world.finished:
        await anyio.sleep(rng.uniform(0.5, MAX_CHANGE_INTERVAL_SECONDS))
        known = sorted({e.version for e in world.endpoints.values()})
        version = rng.choice(known)
        if rng.random() < 0.3:
            number += 1
            version = f"v{number}"
        await start_engine(world, version)
        world.checker.record_event(f"an engine of {version} starts")
        leaving = rng.choice(sorted(world.endpoints))
        world.tasks.start_soon(_remove_engine, world, leaving, rng.random() < 0.4)


async def _remove_engine(world, instance: str, crashes: bool) -> None:
    engine = world.endpoints.pop(instance, None)
    if engine is None:
        return
    world.checker.record_event(f"{instance} {'crashes' if crashes else 'leaves'}")
    if crashes:
        engine.crash()
        await anyio.sleep(DRAIN_SECONDS / 2)
    else:
        world.store.announce(instance, engine.entry(state="draining"))
        await anyio.sleep(DRAIN_SECONDS)
    world.store.withdraw(instance)


async def resume_streams(world, rng: random.Random) -> None:
    """Begin streams at one gateway and resume them at others, until the run ends."""
    while not world.finished:
        record = StreamRecord()
        world.streams.append(record)
        await _run_stream(world, record, rng)
        await anyio.sleep(rng.uniform(0.0, THINK_SECONDS))


async def _run_stream(world, record: StreamRecord, rng: random.Random) -> None:
    prompt = f"{rng.randrange(PROMPTS):x}"
    prompt_tokens = rng.choice(PROMPT_TOKENS)

    async def read(address: str, attempt_id: str, last_id: int, resumes: str) -> bytes:
        answer = await read_stream(
            address,
            attempt_id,
            count=rng.randint(1, EVENTS),
            last_id=last_id,
            resumes=resumes,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
        )
        return answer.body if answer is not None and answer.status == 200 else b""

    for _ in range(MAX_TRIES):
        await try_stream(world, record, rng.choice(world.gateways), read)
        if record.last_id == EVENTS:
            return


async def try_stream(
    world, record: StreamRecord, gateway: SupervisedGateway, read: ReadEvents
) -> None:
    """Begin a stream at a gateway, or resume it there, and record what it brought.

    Parameters
    ----------
    read : callable
        Sends the request to an address, with an attempt id, the id of the last event
        and the attempt that brought the first one; returns the events that arrive.
    """
    attempt_id = f"v{next(STREAM_NUMBERS)}"
    bound, last_id = versions_of(record.body), record.last_id
    in_touch = world.is_in_touch(gateway)
    served = _served_versions(world)
    events = await read(gateway.address, attempt_id, last_id, record.first_attempt)
    record.body += events
    if record.last_id and not record.first_attempt:
        record.first_attempt = attempt_id
    counts = in_touch and bound <= served & _served_versions(world)
    record.tries.append((bool(last_id), counts, bool(events)))
    if record.last_id == EVENTS:
        world.checker.counts["streams completed"] += 1


def _served_versions(world) -> set[str]:
    """Return the versions of which two engines serve."""
    versions = [engine.version for engine in world.endpoints.values()]
    return {version for version in versions if versions.count(version) >= 2}


def version_violations(world) -> list[str]:
    """Return which streams hold events of two versions, and count the cases."""
    counts = world.checker.counts
    joined = [s for s in world.streams if len(versions_of(s.body)) > 1]
    violations = []
    if len(joined) > MAX_JOINED:
        violations.append(f"{len(joined)} streams hold events of two versions")
    numbers = list(range(1, EVENTS + 1))
    for stream in world.streams:
        ids = [int(number) for number in ID_PATTERN.findall(stream.body)]
        if ids != numbers[: len(ids)]:
            violations.append(f"a stream has the events {ids}")
    shares = {}
    for name, resumes in (("new streams", False), ("resumed streams", True)):
        brought = [
            went_on
            for stream in world.streams
            for is_resumed, in_touch, went_on in stream.tries
            if is_resumed is resumes and in_touch
        ]
        counts[name], counts[f"{name}, with events"] = len(brought), sum(brought)
        shares[resumes] = sum(brought) / max(1, len(brought))
    enough = counts["resumed streams"] >= MIN_RESUMED
    if enough and shares[True] < MIN_SHARE * shares[False]:
        violations.append(
            f"{shares[True]:.2f} of the streams that were resumed went on, and "
            f"{shares[False]:.2f} of the new ones began"
        )
    return violations
