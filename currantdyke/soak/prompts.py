"""Requests with a part of their prompts that crashes engines, beside sound ones."""

import bisect
import itertools
import random

import anyio
import attrs

from currantdyke.emulator import EngineEmulator, Restarts, run_with_restarts
from currantdyke.soak.callers import Attempt, RequestChoice
from currantdyke.soak.completeness import CONTACT_SECONDS
from currantdyke.soak.configurations import FIRST_KEY

__all__ = [
    "BAD",
    "CrashObservations",
    "choose_prompt",
    "crash_violations",
    "start_engines",
]

# Kinds of requests, with and without the part that crashes engines.
BAD, SOUND = "bad", "sound"
BAD_PART = "bad0"
FIRST_PARTS = ("ab", "cd")
MIDDLE_PARTS = ("11", "22", "33")
UNIQUE_PARTS = itertools.count(0x1000)
ENGINES = 8
DOWN_SECONDS = (0.05, 0.5, 1.0, 3.0)
# Some engines write on for a while before they end.
CRASH_SECONDS = (0.0, 0.0, 0.6, 0.9)
# Sound requests are counted alone before the first bad one.
WARM_UP_SECONDS = 6.0
BAD_SHARE = 0.15
# Bounds of the users: after this many crashes, at most this many more requests with the
# part reach endpoints, and sound requests begin at least half as often as before.
CRASHES_UNTIL_KNOWN = 5
MAX_LATE_ARRIVALS = 3
MIN_BEGIN_SHARE = 0.5
MIN_COMPARED = 20


@attrs.define(kw_only=True, eq=False)
class CrashObservations:
    """What happened to the requests of a run with a crashing part.

    Attributes
    ----------
    started_at : float
        When callers began.
    crashes : list of float
        Times of the crashes.
    bad_arrivals : list of float
        Times at which requests with the part reached endpoints from gateways that had
        been undisturbed for `CONTACT_SECONDS`.
    """

    started_at: float = float("inf")
    crashes: list[float] = attrs.field(factory=list)
    bad_arrivals: list[float] = attrs.field(factory=list)


async def start_engines(world) -> None:
    """Start engines that crash on the part and come back, each in its own way."""
    rng = random.Random(f"{world.seed} engines")
    for number in range(1, ENGINES + 1):
        restarts = Restarts(
            down_seconds=rng.choice(DOWN_SECONDS), new_instance=rng.random() < 0.5
        )
        engine = EngineEmulator(
            instance=f"engine-{number}",
            service="engine",
            crash_part=BAD_PART,
            crash_seconds=rng.choice(CRASH_SECONDS),
            work_seconds=0.05,
            on_crash=lambda: _record_crash(world),
        )
        world.observe(engine)
        world.endpoints[engine.instance] = engine
        await world.tasks.start(run_with_restarts, engine, world.store, restarts)


def _record_crash(world) -> None:
    world.crashes.crashes.append(anyio.current_time())
    # All answers of the engine break off.
    world.checker.record_unplanned()


def choose_prompt(world, rng: random.Random) -> RequestChoice:
    """Choose a prompt; some have the crashing part once the warm-up is over."""
    warm = anyio.current_time() - world.crashes.started_at > WARM_UP_SECONDS
    bad = warm and rng.random() < BAD_SHARE
    parts = [rng.choice(FIRST_PARTS), *rng.sample(MIDDLE_PARTS, rng.randrange(3))]
    if bad:
        parts.insert(rng.randint(1, len(parts)), BAD_PART)
    parts.append(f"{next(UNIQUE_PARTS):x}")
    prefix = ",".join(f"{part}:60" for part in parts)
    return RequestChoice(
        kind=BAD if bad else SOUND,
        prefix="/stream/",
        key=FIRST_KEY,
        streams=True,
        headers={"x-prefix-hash": prefix},
    )


def crash_violations(world) -> list[str]:
    """Return what broke the users' bounds on a crashing part, and count the cases."""
    seen: CrashObservations = world.crashes
    counts = world.checker.counts
    counts["crashes of engines"] = len(seen.crashes)
    violations = []
    if len(seen.crashes) >= CRASHES_UNTIL_KNOWN:
        known_at = seen.crashes[CRASHES_UNTIL_KNOWN - 1] + CONTACT_SECONDS
        late = sum(at > known_at for at in seen.bad_arrivals)
        counts["late requests with the part"] = late
        if late > MAX_LATE_ARRIVALS:
            violations.append(
                f"{late} requests with the part reached engines later than "
                f"{CONTACT_SECONDS:.0f} s after the fifth crash"
            )
    return violations + _sound_violations(world)


def _sound_violations(world) -> list[str]:
    seen: CrashObservations = world.crashes
    bad = [attempt.sent_at for attempt in world.attempts if attempt.kind == BAD]
    if not bad or not seen.crashes:
        return []
    crashes = seen.crashes[:CRASHES_UNTIL_KNOWN]
    known_at = crashes[-1] + 2 * CONTACT_SECONDS
    before = _begun(world, seen.started_at, bad[0])
    after = _begun(world, known_at, bad[-1])
    for name, begun in (("before", before), ("beside", after)):
        world.checker.counts[f"sound requests {name} the part"] = len(begun)
        world.checker.counts[f"sound requests {name} the part, begun"] = sum(begun)
    if min(len(before), len(after)) < MIN_COMPARED:
        return []
    shares = [sum(begun) / len(begun) for begun in (before, after)]
    if shares[1] >= MIN_BEGIN_SHARE * shares[0]:
        return []
    return [
        f"{shares[1]:.2f} of the sound requests began beside requests with the part, "
        f"{shares[0]:.2f} before"
    ]


def _begun(world, start: float, end: float) -> list[bool]:
    """Return which sound requests that were sent in a period have begun to run."""
    attempts: list[Attempt] = world.attempts
    times = [attempt.sent_at for attempt in attempts]
    span = slice(bisect.bisect(times, start), bisect.bisect(times, end))
    runs = {run for engine in world.endpoints.values() for run in engine.runs}
    return [
        attempt.attempt_id in runs
        for attempt in attempts[span]
        if attempt.kind == SOUND and attempt.in_touch
    ]
