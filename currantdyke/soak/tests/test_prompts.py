import functools
import random
import types
import unittest

import anyio
import attrs

from currantdyke.soak.completeness import CONTACT_SECONDS
from currantdyke.soak.promises import GuaranteeChecker
from currantdyke.soak.prompts import (
    BAD,
    BAD_PART,
    CRASHES_UNTIL_KNOWN,
    MAX_LATE_ARRIVALS,
    MIN_COMPARED,
    SOUND,
    WARM_UP_SECONDS,
    CrashObservations,
    choose_prompt,
    crash_violations,
)
from currantdyke.soak.tests.builders import build_attempt
from currantdyke.soak.world import soak
from currantdyke.testing.virtual import run_virtual

SEED = 1
KNOWN_AT = float(CRASHES_UNTIL_KNOWN)


def build_world(*, late_arrivals=0, begun_beside=MIN_COMPARED):
    """Return a world with five crashes, and sound requests before and beside them."""
    observations = CrashObservations(
        started_at=-100.0,
        crashes=[float(number) for number in range(1, CRASHES_UNTIL_KNOWN + 1)],
        bad_arrivals=[KNOWN_AT + CONTACT_SECONDS + 0.1] * late_arrivals,
    )
    attempts, runs = [], []
    for start, begun in ((-50.0, MIN_COMPARED), (50.0, begun_beside)):
        for number in range(MIN_COMPARED):
            attempt = attrs.evolve(
                build_attempt(SOUND), attempt_id=f"{start} {number}", sent_at=start
            )
            attempt.in_touch = True
            attempts.append(attempt)
            if number < begun:
                runs.append(attempt.attempt_id)
        attempts.append(attrs.evolve(build_attempt(BAD), sent_at=start + 50.0))
    return types.SimpleNamespace(
        crashes=observations,
        checker=GuaranteeChecker(),
        attempts=attempts,
        endpoints={"engine-1": types.SimpleNamespace(runs=runs)},
    )


class TestCrashViolations(unittest.TestCase):
    def test_more_than_three_late_arrivals_are_a_violation(self):
        for late, count in ((MAX_LATE_ARRIVALS, 0), (MAX_LATE_ARRIVALS + 1, 1)):
            found = crash_violations(build_world(late_arrivals=late))
            self.assertEqual(len(found), count, found)

    def test_sound_requests_that_begin_half_as_often_are_no_violation(self):
        half = MIN_COMPARED // 2
        for begun, count in ((half, 0), (half - 1, 1)):
            found = crash_violations(build_world(begun_beside=begun))
            self.assertEqual(len(found), count, found)


class TestChoosePrompt(unittest.TestCase):
    def test_prompts_are_unique_and_never_end_with_the_part(self):
        async def scenario():
            started_at = anyio.current_time()
            world = types.SimpleNamespace(
                crashes=CrashObservations(started_at=started_at)
            )
            rng = random.Random(SEED)
            before = [choose_prompt(world, rng).kind for _ in range(100)]
            await anyio.sleep(WARM_UP_SECONDS + 1.0)
            return before, [choose_prompt(world, rng) for _ in range(200)]

        before, choices = run_virtual(scenario)
        self.assertEqual(set(before), {SOUND})
        prefixes = [choice.headers["x-prefix-hash"] for choice in choices]
        self.assertEqual(len(set(prefixes)), len(prefixes))
        for choice, prefix in zip(choices, prefixes, strict=True):
            parts = [entry.partition(":")[0] for entry in prefix.split(",")]
            self.assertEqual(BAD_PART in parts[1:-1], choice.kind == BAD)


class TestCrashingPart(unittest.TestCase):
    def test_undetected_crashes_are_found(self):
        run = functools.partial(
            soak, SEED, 16.0, pattern="crashing-part", planted="crashes"
        )
        report = anyio.run(run)
        self.assertRegex(
            " ".join(report.broken), "requests with the part reached engines later"
        )


if __name__ == "__main__":
    unittest.main()
