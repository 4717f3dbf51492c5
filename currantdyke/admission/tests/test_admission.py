import unittest

import attrs

from currantdyke.admission import (
    Forecast,
    StageForecast,
    WorkspaceUsage,
    check_admission,
)
from currantdyke.bundle import Policy
from currantdyke.core import FailureKind, Outcome
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import WORKSPACE_KEY, build_pipeline


def stage(name, after=(), run=1.0, wait=0.0):
    return StageForecast(
        name=name, after=after, run_seconds=run, spread_seconds=0.1, wait_seconds=wait
    )


class TestDecide(unittest.TestCase):
    def test_forecast_follows_the_longest_path(self):
        stages = [stage("a"), stage("b", ("a",), run=3.0), stage("c", ("a",), wait=1.0)]
        forecast = Forecast.from_stages(stages, 0.0)
        self.assertEqual((forecast.run_seconds, forecast.wait_seconds), (4.0, 0.0))

    def test_request_that_queues_too_long_is_refused_with_retry_after(self):
        forecast = Forecast(run_seconds=2.0, wait_seconds=5.0)
        refused = check_admission(forecast, seconds_left=6.0, wait_share=0.5)
        self.assertIs(refused.kind, FailureKind.OVERLOADED)
        self.assertIs(refused.outcome, Outcome.NOT_RUN)
        self.assertAlmostEqual(refused.retry_after, 3.0)

    def test_flooding_workspace_exceeds_its_share_and_small_ones_do_not(self):
        usage = WorkspaceUsage()
        for number in range(100):
            usage.add("large", 1.0, number * 0.1)
            if number % 10 == 0:
                usage.add(f"small-{number % 40}", 1.0, number * 0.1)
        self.assertTrue(usage.exceeds_share("large", {}, 10.0))
        self.assertFalse(usage.exceeds_share("small-0", {}, 10.0))
        self.assertFalse(usage.exceeds_share("new", {}, 10.0))

    def test_idle_workspaces_are_dropped(self):
        usage = WorkspaceUsage()
        for number in range(17_000):
            usage.add(f"workspace-{number}", 1.0, number * 0.1)
        self.assertLess(len(usage.used), 1000)

    def test_only_active_workspace_does_not_exceed_its_share(self):
        usage = WorkspaceUsage()
        for number in range(100):
            usage.add("large", 1.0, number * 0.1)
        self.assertFalse(usage.exceeds_share("large", {}, 10.0))


class TestDeadline(unittest.TestCase):
    def test_infeasible_deadline_is_refused_before_any_dispatch(self):
        async def scenario():
            async with (
                fleet_in_memory() as fleet,
                fleet.caller("entry-1", key=WORKSPACE_KEY) as client,
            ):
                response = await client.post(
                    "/v1/pipelines/notes",
                    json={"input": "flight 12"},
                    headers={"x-deadline-seconds": "0.1"},
                )
                calls = [c for s in fleet.standins.values() for c in s.calls]
                return response, calls

        response, calls = run_virtual(scenario)
        self.assertEqual(response.status_code, 429)
        self.assertEqual(response.json()["error"]["code"], "deadline_too_short")
        self.assertEqual(response.json()["error"]["outcome"], "not_run")
        self.assertGreater(int(response.headers["retry-after"]), 0)
        self.assertEqual(calls, [])

    def test_optional_stage_is_left_out_if_the_deadline_is_too_short(self):
        async def scenario():
            stages = build_pipeline().stages
            rerank = attrs.evolve(stages[2], optional=True)
            pipeline = build_pipeline(stages=(*stages[:2], rerank, stages[3]))
            services = {"reranker": {"typical_seconds": 5.0}}
            async with (
                fleet_in_memory(
                    bundle={"pipelines": {"notes": pipeline}, "services": services}
                ) as fleet,
                fleet.caller("entry-1", key=WORKSPACE_KEY) as client,
            ):
                response = await client.post(
                    "/v1/pipelines/notes",
                    json={"input": "flight 12"},
                    headers={"x-deadline-seconds": "3"},
                )
                return response, fleet.standins["reranker-1"].calls

        response, calls = run_virtual(scenario)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(calls, [])
        self.assertIn("rerank", response.json()["left_out"])


class TestPolicy(unittest.TestCase):
    def test_objective_sets_defaults_of_omitted_fields(self):
        attainment, cost = Policy(), Policy(objective="cost")
        self.assertLess(cost.wait_share, attainment.wait_share)
        self.assertGreater(cost.affinity_bound, attainment.affinity_bound)
        self.assertEqual(Policy(objective="cost", wait_share=0.7).wait_share, 0.7)


if __name__ == "__main__":
    unittest.main()
