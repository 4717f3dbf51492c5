import functools
import json
import pathlib
import tempfile
import unittest

import anyio

from currantdyke.emulator import CallerAnswer, StoreEmulator
from currantdyke.soak.configurations import FIRST_KEY, Configurations
from currantdyke.soak.promises import (
    MAX_CONFIGURATION_DELAY_SECONDS,
    MAX_LEAVING_DELAY_SECONDS,
    GuaranteeChecker,
)
from currantdyke.soak.tests.builders import (
    FakeGateway,
    FakeIncarnation,
    build_answer,
    build_attempt,
)
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

    def test_logs_of_a_failed_run_are_kept(self):
        with tempfile.TemporaryDirectory() as folder:
            kept_logs = pathlib.Path(folder)
            run = functools.partial(
                soak, SEED, 2.0, planted="own-answer", kept_logs=kept_logs
            )
            report = anyio.run(run)
            kept = sorted(path.name for path in kept_logs.glob("faults-1/*"))
            lines = (kept_logs / "faults-1" / "run.jsonl").read_text().splitlines()
        self.assertNotEqual(report.broken, [])
        logs = [f"gateway-{number}.log" for number in range(1, 5)]
        self.assertEqual(kept, [*logs, "report.txt", "run.jsonl"])
        self.assertIn("attempt", {json.loads(line)["event"] for line in lines})

    # The planted fault closes connections; sound endpoints are silent for longer.
    def test_requests_lost_at_silent_endpoints_are_detected(self):
        run = functools.partial(soak, SEED, 3.0, pattern="silent", planted="silence")
        report = anyio.run(run)
        self.assertIn("got no whole answer", " ".join(report.broken))

    def test_injected_fault_is_detected(self):
        run = functools.partial(soak, SEED, 2.0, planted="own-answer")
        report = anyio.run(run)
        self.assertIn("another answer than its own", " ".join(report.broken))

    # Routes are added at the start, and applied after twice the bound.
    def test_late_configuration_is_detected_as_a_final_refusal(self):
        run = functools.partial(soak, SEED, 6.0, planted="final-refusal")
        report = anyio.run(run)
        self.assertRegex(
            " ".join(report.broken), "at gateway-[123] got 404 for /grown/"
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

    # Guards against errors that end other requests, and that nobody sees.
    def test_internal_error_is_a_violation_once(self):
        checker = GuaranteeChecker()
        line = '{"event":"internal_error","where":"a link","reason":"planted"}\n'
        checker.check_log("gateway-1", ["no JSON\n", line, line])
        self.assertEqual(checker.violations, ["gateway-1: a link failed: planted"])

    def test_final_refusal_is_a_violation_if_all_recent_configurations_allow_it(self):
        allowed, bound = 1.0, MAX_CONFIGURATION_DELAY_SECONDS
        for status, since, violations in (
            (404, allowed - bound - 0.1, 1),
            (401, allowed - bound - 0.1, 1),
            (413, allowed - bound - 0.1, 1),
            (404, allowed - bound, 0),
            (404, float("inf"), 0),
            (408, allowed - bound - 0.1, 0),
            (502, allowed - bound - 0.1, 0),
        ):
            with self.subTest(status=status, since=since):
                answer = CallerAnswer(
                    status=status, headers={}, body=b"", complete=True
                )
                attempt = build_attempt(answer=answer, allowed_since=since)
                self.assertEqual(len(violations_of(attempt)), violations)

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

    def test_disruption_of_a_gateway_is_none_of_another_one(self):
        async def scenario():
            checker = GuaranteeChecker()
            first, second = FakeGateway(), FakeGateway(name="gateway-2")
            checker.record_disruption(first)
            await anyio.sleep(1.0)
            one = [checker.is_undisrupted(g, 0.5) for g in (first, second)]
            two = [checker.is_undisrupted(g, 1.5) for g in (first, second)]
            checker.record_disruption()
            return one, two, [checker.is_undisrupted(g, 0.5) for g in (first, second)]

        self.assertEqual(
            run_virtual(scenario), ([True, True], [False, True], [False, False])
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


class TestConfigurations(unittest.TestCase):
    def test_added_routes_and_keys_stay_and_are_allowed_since_they_were_added(self):
        async def scenario():
            configurations = Configurations(store=StoreEmulator())
            configurations.publish()
            await anyio.sleep(1.0)
            configurations.grow(2)
            await anyio.sleep(1.0)
            configurations.publish(routes=3)
            configurations.publish()
            return [
                configurations.both_allowed_since(prefix, key)
                for prefix, key in (
                    ("/plain/", FIRST_KEY),
                    ("/plain/", "k2"),
                    ("/grown/1/", FIRST_KEY),
                    ("/grown/2/", FIRST_KEY),
                    ("/more/0/", FIRST_KEY),
                )
            ]

        start, *others = run_virtual(scenario)
        never = float("inf")
        self.assertEqual(others, [start + 1.0, start + 1.0, never, never])

    def test_route_counts_as_added_anew_after_a_write_without_it(self):
        async def scenario():
            configurations = Configurations(store=StoreEmulator())
            configurations.publish()
            configurations.grow(1)
            configurations.write(1)
            removed = configurations.both_allowed_since("/grown/0/", FIRST_KEY)
            await anyio.sleep(1.0)
            configurations.write(2)
            added = configurations.both_allowed_since("/grown/0/", FIRST_KEY)
            return removed, added - anyio.current_time()

        self.assertEqual(run_virtual(scenario), (float("inf"), 0.0))

    def test_version_is_required_once_its_link_has_had_time_to_transfer_it(self):
        async def scenario():
            configurations = Configurations(store=StoreEmulator())
            required = []
            configurations.publish()
            await anyio.sleep(10.0)
            configurations.grow(1_000)
            rate = configurations.writes[-1].size / 2.0
            configurations.grow(1)
            for _ in range(7):
                await anyio.sleep(1.0)
                versions = (
                    configurations.required_version(1.9, float("inf")),
                    configurations.required_version(1.9, rate),
                )
                required.append(versions)
            return required

        expected = [(1, 1), (3, 1), (3, 1), (3, 2), (3, 2), (3, 3), (3, 3)]
        self.assertEqual(run_virtual(scenario), expected)

    def test_version_that_replaced_a_newer_one_may_still_be_in_force(self):
        async def scenario():
            configurations = Configurations(store=StoreEmulator())
            required = []
            configurations.publish()
            configurations.publish()
            await anyio.sleep(10.0)
            configurations.write(1)
            await anyio.sleep(1.0)
            configurations.write(2)
            for _ in range(3):
                required.append(configurations.required_version(1.9, float("inf")))
                await anyio.sleep(1.0)
            return required

        self.assertEqual(run_virtual(scenario), [1, 1, 2])


if __name__ == "__main__":
    unittest.main()
