import unittest

import anyio

from currantdyke.bundle import Stage
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_pipeline

FAN_OUT = (
    Stage(name="encode", service="encoder"),
    Stage(name="notes", service="retriever", after=("encode",)),
    Stage(name="scores", service="retriever", after=("encode",), optional=True),
    Stage(name="members", service="entry-desk", after=("encode",)),
    Stage(name="rerank", service="reranker", after=("notes", "scores", "members")),
    Stage(name="generate", service="generator", after=("rerank",)),
)


async def submit(prepare=None, stages=FAN_OUT, seconds=None, **options):
    pipelines = {"notes": build_pipeline(stages=stages)}
    async with fleet_in_memory(bundle={"pipelines": pipelines}, **options) as fleet:
        if prepare is not None:
            prepare(fleet.standins)
        headers = {"x-deadline-seconds": str(seconds)} if seconds else {}
        async with fleet.caller("entry-1") as client:
            started = anyio.current_time()
            response = await client.post(
                "/v1/pipelines/notes", json={"input": "flight 12"}, headers=headers
            )
            elapsed = anyio.current_time() - started
        await anyio.sleep(0.01)
        return response.json(), elapsed, fleet


def answer_failing_for(stage):
    def answer(call):
        return (
            b"{}"
            if call.stage == stage
            else b'{"output": "%s"}' % (call.stage.encode())
        )

    return answer


class TestStages(unittest.TestCase):
    def test_pipelines_of_three_to_six_stages_pass_outputs_to_the_next_stage(self):
        chain = ("encoder", "retriever", "reranker", "entry-desk", "reranker")
        for count in range(3, 7):
            names = [*chain[: count - 1], "generator"]
            stages = tuple(
                Stage(name=f"s{i}", service=name, after=(f"s{i - 1}",) if i else ())
                for i, name in enumerate(names)
            )
            with self.subTest(count):
                body, _, fleet = run_virtual(submit, stages=stages)
                self.assertEqual(body["outcome"], "done")
                self.assertEqual(len(body["stages"]), count)
                prompt = fleet.standins["generator-1"].calls[0].body["prompt"]
                before = prompt["previous"][f"s{count - 2}"]
                self.assertEqual(before["endpoint"], f"{names[-2]}-1")

    def test_independent_stages_run_concurrently_and_join(self):
        def prepare(standins):
            for name in ("retriever-1", "entry-desk-1"):
                standins[name].seconds = 1.0

        body, elapsed, fleet = run_virtual(submit, prepare)
        joined = fleet.standins["reranker-1"].calls[0].body["previous"]
        self.assertEqual(set(joined), {"notes", "scores", "members"})
        self.assertEqual(body["outcome"], "done")
        self.assertEqual(body["left_out"], [])
        self.assertLess(elapsed, 1.5)

    def test_failed_optional_stage_is_listed_and_the_request_completes(self):
        def prepare(standins):
            standins["retriever-1"].answer = answer_failing_for("scores")

        body, _, fleet = run_virtual(submit, prepare)
        joined = fleet.standins["reranker-1"].calls[0].body["previous"]
        self.assertEqual(body["outcome"], "done")
        self.assertEqual(body["left_out"], ["scores"])
        self.assertIsNone(joined["scores"])
        self.assertEqual(joined["notes"], "notes")

    def test_slow_optional_stage_is_left_out_before_the_deadline(self):
        def prepare(standins):
            standins["reranker-1"].seconds = 60.0

        stages = tuple(
            Stage(
                name=stage.name,
                service=stage.service,
                after=stage.after,
                optional=stage.name == "rerank",
            )
            for stage in FAN_OUT
        )
        body, elapsed, fleet = run_virtual(submit, prepare, stages=stages, seconds=4)
        self.assertEqual(body["outcome"], "done", body)
        self.assertEqual(body["left_out"], ["rerank"])
        self.assertLess(elapsed, 3)
        self.assertEqual(len(fleet.standins["reranker-1"].abandoned), 1)

    def test_failed_stage_cancels_concurrent_calls_at_their_endpoints(self):
        def prepare(standins):
            standins["retriever-1"].seconds = 3.0
            standins["entry-desk-1"].status = 500

        body, elapsed, fleet = run_virtual(submit, prepare)
        retriever = fleet.standins["retriever-1"]
        self.assertEqual(body["error"]["code"], "stage_failed")
        self.assertLess(elapsed, 1.0)
        self.assertEqual(retriever.completed, [])
        self.assertEqual(
            sorted(retriever.abandoned), sorted(c.attempt_id for c in retriever.calls)
        )
        self.assertEqual(len(retriever.calls), 2)

    def test_deadline_cancels_running_calls_at_their_endpoints(self):
        def prepare(standins):
            standins["retriever-1"].seconds = 60.0
            standins["entry-desk-1"].seconds = 60.0

        body, elapsed, fleet = run_virtual(submit, prepare, seconds=2)
        self.assertEqual(body["error"]["code"], "deadline_passed")
        self.assertAlmostEqual(elapsed, 2.0, places=3)
        self.assertEqual(len(fleet.standins["entry-desk-1"].abandoned), 1)
        self.assertEqual(fleet.standins["generator-1"].calls, [])

    def test_failed_optional_last_stage_gives_outcome_failed(self):
        def prepare(standins):
            standins["generator-1"].status = 500

        last = Stage(
            name="generate", service="generator", after=("rerank",), optional=True
        )
        body, _, _ = run_virtual(submit, prepare, stages=(*FAN_OUT[:-1], last))
        self.assertEqual(body["outcome"], "failed")

    def test_cost_of_a_cancelled_stage_is_reported(self):
        def prepare(standins):
            standins["retriever-1"].seconds = 60.0

        body, _, _ = run_virtual(submit, prepare, seconds=2)
        cost = {r["stage"]: r["cost_seconds"] for r in body["stages"]}
        self.assertAlmostEqual(cost["notes"], 2.0, places=3)


if __name__ == "__main__":
    unittest.main()
