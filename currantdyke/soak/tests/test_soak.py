import unittest

import anyio
import attrs

from currantdyke.emulator import CallerAnswer
from currantdyke.soak.callers import Attempt
from currantdyke.soak.promises import MAX_LEAVING_DELAY_SECONDS, GuaranteeChecker
from currantdyke.soak.world import soak
from currantdyke.testing.virtual import run_virtual

SEED = 1
SECONDS = 8.0
MIN_ANSWERS = 100


class TestSoak(unittest.TestCase):
    def test_short_run_has_no_violations(self):
        report = anyio.run(soak, SEED, SECONDS)
        self.assertEqual(report.broken, [], report.text())
        answered = sum(n for name, n in report.counts.items() if name.endswith(" 200"))
        self.assertGreater(answered, MIN_ANSWERS, report.text())

    def test_injected_fault_is_detected(self):
        async def run_with_fault():
            return await soak(SEED, 2.0, planted="own-answer")

        report = anyio.run(run_with_fault)
        self.assertIn("another answer than its own", " ".join(report.broken))


@attrs.define(kw_only=True)
class FakeIncarnation:
    sigterm_at: float | None = None
    interrupted: bool = False
    max_version: int = 0


@attrs.define(kw_only=True)
class FakeGateway:
    name: str = "gateway-1"
    reported_version: int = 1
    incarnation: FakeIncarnation = attrs.field(factory=FakeIncarnation)

    async def configuration_version(self):
        return self.reported_version


def build_attempt(kind="once", answer=None, incarnation=None):
    return Attempt(
        attempt_id="s1",
        kind=kind,
        target="/x",
        body=b"body",
        gateway=FakeGateway(),
        incarnation=incarnation or FakeIncarnation(),
        sent_at=1.0,
        answer=answer,
        error="" if answer else "reset",
    )


def build_answer(status=200, body=b"POST /x body", complete=True, **headers):
    signed = {"x-server-signature": "signed.i", "x-attempt-id": "s1"}
    return CallerAnswer(
        status=status, headers=signed | headers, body=body, complete=complete
    )


def violations_of(attempt, runs=0):
    checker = GuaranteeChecker()
    checker.executions["s1"] = runs
    checker.check_attempt(attempt)
    checker.check_executions(attempt)
    return checker.violations


class TestGuaranteeChecker(unittest.TestCase):
    def test_complete_own_answer_is_no_violation(self):
        self.assertEqual(
            violations_of(build_attempt(answer=build_answer()), runs=1), []
        )

    def test_each_wrong_answer_is_a_violation(self):
        refused = build_answer(503, b"", **{"retry-after": "1"})
        cases = (
            (build_answer(body=b"POST /y body"), 1, "another answer"),
            (build_answer(body=b"POST /y", complete=False), 1, "not its own"),
            (build_answer(**{"x-attempt-id": "s2"}), 1, "another attempt's id"),
            (build_answer(), 2, "ran 2 times"),
            (refused, 1, "said not to have run"),
            (build_answer(503, b""), 0, "without Retry-After"),
        )
        for answer, runs, words in cases:
            with self.subTest(words):
                found = violations_of(build_attempt(answer=answer), runs=runs)
                self.assertIn(words, " ".join(found))

    def test_lost_connection_is_a_violation_only_after_sigterm(self):
        stopped = FakeIncarnation(sigterm_at=0.5)
        killed = FakeIncarnation(sigterm_at=0.5, interrupted=True)
        self.assertEqual(violations_of(build_attempt()), [])
        self.assertEqual(violations_of(build_attempt(incarnation=killed)), [])
        found = violations_of(build_attempt(incarnation=stopped))
        self.assertIn("told to stop, got no answer", " ".join(found))

    def test_unrequested_failed_and_slow_exits_are_violations(self):
        async def scenario(incarnation, code):
            checker = GuaranteeChecker()
            checker.check_exit(FakeGateway(), incarnation, code)
            return checker.violations

        stopped = FakeIncarnation(sigterm_at=0.0)
        for incarnation, code, words in (
            (FakeIncarnation(), 1, "ended by itself"),
            (stopped, 1, "after SIGTERM"),
            (FakeIncarnation(sigterm_at=-9.0), 0, "9.0 s to stop"),
        ):
            with self.subTest(words):
                self.assertIn(words, run_virtual(scenario, incarnation, code)[0])
        self.assertEqual(run_virtual(scenario, stopped, 0), [])
        self.assertEqual(
            run_virtual(scenario, FakeIncarnation(interrupted=True), -9), []
        )

    def test_older_or_late_configuration_is_a_violation(self):
        async def scenario():
            checker, gateway = GuaranteeChecker(), FakeGateway(reported_version=4)
            await checker.check_configuration(gateway, 4)
            before = list(checker.violations)
            await checker.check_configuration(gateway, 5)
            gateway.reported_version = 3
            await checker.check_configuration(gateway, 0)
            return before, checker.violations

        before, after = run_virtual(scenario)
        self.assertEqual(before, [])
        self.assertEqual(
            after,
            ["gateway-1 has version 4, not 5", "gateway-1 went back from 4 to 3"],
        )

    def test_late_request_at_leaving_endpoint_is_a_violation_unless_disrupted(self):
        async def scenario(disrupted):
            checker = GuaranteeChecker()
            checker.leaving_since["i"] = anyio.current_time()
            await anyio.sleep(MAX_LEAVING_DELAY_SECONDS - 0.1)
            checker.check_arrival("i", "s1")
            if disrupted:
                checker.record_disruption()
            await anyio.sleep(0.2)
            checker.check_arrival("i", "s2")
            return checker.violations

        self.assertEqual(run_virtual(scenario, True), [])
        self.assertIn("i got s2", run_virtual(scenario, False)[0])


if __name__ == "__main__":
    unittest.main()
