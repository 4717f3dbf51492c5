import unittest

import anyio
import attrs

from currantdyke.emulator import CallerAnswer
from currantdyke.soak.callers import Attempt
from currantdyke.soak.promises import LEAVING_SECONDS, Promises
from currantdyke.soak.world import soak
from currantdyke.testing.virtual import run_virtual

SEED = 1
SECONDS = 8.0
LEAST_ANSWERS = 100


class TestSoak(unittest.TestCase):
    def test_promises_hold_in_a_short_run(self):
        report = anyio.run(soak, SEED, SECONDS)
        self.assertEqual(report.broken, [], report.text())
        answered = sum(n for name, n in report.counts.items() if name.endswith(" 200"))
        self.assertGreater(answered, LEAST_ANSWERS, report.text())

    def test_planted_fault_is_found(self):
        async def planted():
            return await soak(SEED, 2.0, planted="own-answer")

        report = anyio.run(planted)
        self.assertIn("another answer than its own", " ".join(report.broken))


@attrs.define(kw_only=True)
class FakeLife:
    told_to_stop: float | None = None
    disturbed: bool = False
    version: int = 0


@attrs.define(kw_only=True)
class FakeGateway:
    name: str = "gateway-1"
    shown: int = 1
    life: FakeLife = attrs.field(factory=FakeLife)

    async def configuration_version(self):
        return self.shown


def build_attempt(kind="once", answer=None, life=None):
    return Attempt(
        attempt_id="s1",
        kind=kind,
        target="/x",
        body=b"body",
        gateway=FakeGateway(),
        life=life or FakeLife(),
        sent_at=1.0,
        answer=answer,
        lost="" if answer else "reset",
    )


def build_answer(status=200, body=b"POST /x body", whole=True, **headers):
    signed = {"x-server-signature": "signed.i", "x-attempt-id": "s1"}
    return CallerAnswer(status=status, headers=signed | headers, body=body, whole=whole)


def judged(attempt, runs=0):
    promises = Promises()
    promises.runs["s1"] = runs
    promises.judge(attempt)
    promises.judge_runs(attempt)
    return promises.broken


class TestJudgement(unittest.TestCase):
    def test_own_whole_answer_is_good(self):
        self.assertEqual(judged(build_attempt(answer=build_answer()), runs=1), [])

    def test_each_broken_promise_of_an_answer_is_found(self):
        refused = build_answer(503, b"", **{"retry-after": "1"})
        cases = (
            (build_answer(body=b"POST /y body"), 1, "another answer"),
            (build_answer(body=b"POST /y", whole=False), 1, "not its own"),
            (build_answer(**{"x-attempt-id": "s2"}), 1, "another attempt's id"),
            (build_answer(), 2, "ran 2 times"),
            (refused, 1, "said not to have run"),
            (build_answer(503, b""), 0, "without Retry-After"),
        )
        for answer, runs, words in cases:
            with self.subTest(words):
                found = judged(build_attempt(answer=answer), runs=runs)
                self.assertIn(words, " ".join(found))

    def test_loss_is_broken_only_where_a_stop_caused_it(self):
        stopped = FakeLife(told_to_stop=0.5)
        killed = FakeLife(told_to_stop=0.5, disturbed=True)
        self.assertEqual(judged(build_attempt()), [])
        self.assertEqual(judged(build_attempt(life=killed)), [])
        found = judged(build_attempt(life=stopped))
        self.assertIn("told to stop, got no answer", " ".join(found))

    def test_process_that_ends_by_itself_or_badly_is_found(self):
        async def scenario(life, code):
            promises = Promises()
            promises.judge_end(FakeGateway(), life, code)
            return promises.broken

        stopped = FakeLife(told_to_stop=0.0)
        for life, code, words in (
            (FakeLife(), 1, "ended by itself"),
            (stopped, 1, "after SIGTERM"),
            (FakeLife(told_to_stop=-9.0), 0, "9.0 s to stop"),
        ):
            with self.subTest(words):
                self.assertIn(words, run_virtual(scenario, life, code)[0])
        self.assertEqual(run_virtual(scenario, stopped, 0), [])
        self.assertEqual(run_virtual(scenario, FakeLife(disturbed=True), -9), [])

    def test_configuration_that_goes_back_or_is_late_is_found(self):
        async def scenario():
            promises, gateway = Promises(), FakeGateway(shown=4)
            await promises.judge_version(gateway, 4)
            before = list(promises.broken)
            await promises.judge_version(gateway, 5)
            gateway.shown = 3
            await promises.judge_version(gateway, 0)
            return before, promises.broken

        before, after = run_virtual(scenario)
        self.assertEqual(before, [])
        self.assertEqual(
            after,
            ["gateway-1 has version 4, not 5", "gateway-1 went back from 4 to 3"],
        )

    def test_work_at_an_endpoint_that_left_is_found_unless_a_fault_excuses_it(self):
        async def scenario(disturbed):
            promises = Promises()
            promises.leaving["i"] = anyio.current_time()
            await anyio.sleep(LEAVING_SECONDS - 0.1)
            promises.arrived("i", "s1")
            if disturbed:
                promises.disturb()
            await anyio.sleep(0.2)
            promises.arrived("i", "s2")
            return promises.broken

        self.assertEqual(run_virtual(scenario, True), [])
        self.assertIn("i got s2", run_virtual(scenario, False)[0])


if __name__ == "__main__":
    unittest.main()
