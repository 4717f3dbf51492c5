import unittest

import attrs
import httpx_sse
import msgspec

from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_pipeline


async def submit(fleet, path="/v1/pipelines/notes", daemon="entry-1", **headers):
    async with fleet.caller(daemon) as client:
        return await client.post(path, json={"input": "flight 12"}, headers=headers)


async def stream(fleet, daemon="entry-1"):
    events = []
    async with (
        fleet.caller(daemon) as client,
        httpx_sse.aconnect_sse(
            client,
            "POST",
            "/v1/pipelines/notes",
            json={"input": "flight 12"},
            headers={"accept": "text/event-stream"},
        ) as source,
    ):
        async for event in source.aiter_sse():
            events.append((int(event.id), event.event, msgspec.json.decode(event.data)))
    return events


class TestEndToEnd(unittest.TestCase):
    def test_caller_receives_the_complete_answer_to_its_request(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                response = await submit(fleet)
                return response, response.headers["x-request-id"]

        response, request_id = run_virtual(scenario)
        self.assertEqual(response.status_code, 200)
        body = response.json()
        self.assertEqual(body["outcome"], "done")
        self.assertEqual(body["output"]["tokens"], 16)
        words = body["output"]["text"].split()
        self.assertEqual(words, [f"{request_id}:{i}" for i in range(16)])

    def test_streamed_events_are_numbered_without_gaps(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                return await stream(fleet)

        events = run_virtual(scenario)
        self.assertEqual([e[0] for e in events], list(range(18)))
        self.assertEqual(events[0][1], "accepted")
        self.assertEqual(events[-1][1], "answer")

    def test_broken_stream_is_resumed_without_lost_or_repeated_tokens(self):
        async def scenario():
            async with fleet_in_memory(endpoints=2) as fleet:
                fleet.standins["generator-1"].abort_after_tokens = 5
                return [await stream(fleet) for _ in range(4)]

        for events in run_virtual(scenario):
            texts = [e[2]["text"] for e in events if e[1] == "token"]
            indexes = [int(text.strip().rpartition(":")[2]) for text in texts]
            self.assertEqual(indexes, list(range(16)))
            self.assertEqual(events[-1][1], "answer")

    def test_answer_of_another_attempt_is_dropped_and_the_stage_retried(self):
        async def scenario():
            async with fleet_in_memory(endpoints=2) as fleet:
                fleet.standins["encoder-1"].answered_attempt_id = "another-attempt"
                return [await submit(fleet) for _ in range(6)]

        for response in run_virtual(scenario):
            self.assertEqual(response.status_code, 200)

    def test_outcome_is_not_run_if_no_endpoint_was_reached(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.network.detach("encoder-1:1")
                response = await submit(fleet)
                return response.json()["error"], fleet.standins["encoder-1"].calls

        error, calls = run_virtual(scenario)
        self.assertEqual(error["outcome"], "not_run")
        self.assertEqual(calls, [])

    def test_non_idempotent_call_is_not_repeated_after_a_lost_answer(self):
        async def scenario():
            services = {"entry-desk": {"idempotent": False}}
            async with fleet_in_memory(
                endpoints=2, bundle={"services": services}
            ) as fleet:
                for name in ("entry-desk-1", "entry-desk-2"):
                    fleet.network.faults_at(f"{name}:1").lose_answer = True
                response = await submit(fleet, "/v1/services/entry-desk")
                calls = [
                    call
                    for name in ("entry-desk-1", "entry-desk-2")
                    for call in fleet.standins[name].calls
                ]
                return response.json()["error"], calls

        error, calls = run_virtual(scenario)
        self.assertEqual(error["outcome"], "unknown")
        self.assertEqual(len(calls), 1)

    def test_deadline_ends_a_stage_whose_endpoint_does_not_answer(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.network.faults_at("encoder-1:1").silent = True
                headers = {"x-deadline-seconds": "2"}
                response = await submit(fleet, **headers)
                return response.json()["error"]

        error = run_virtual(scenario)
        self.assertEqual(error["code"], "deadline_passed")
        self.assertEqual(error["outcome"], "unknown")

    def test_optional_stage_that_fails_is_left_out(self):
        async def scenario():
            stages = build_pipeline().stages
            rerank = attrs.evolve(stages[2], optional=True)
            pipeline = build_pipeline(stages=(*stages[:2], rerank, stages[3]))
            async with fleet_in_memory(
                bundle={"pipelines": {"notes": pipeline}}
            ) as fleet:
                fleet.standins["reranker-1"].status = 500
                return await submit(fleet)

        self.assertEqual(run_virtual(scenario).status_code, 200)

    def test_decisions_leave_out_optional_stages_except_the_last(self):
        async def scenario():
            stages = tuple(
                attrs.evolve(stage, optional=stage.name in ("rerank", "generate"))
                for stage in build_pipeline().stages
            )
            pipeline = build_pipeline(stages=stages)
            async with fleet_in_memory(
                bundle={"pipelines": {"notes": pipeline}}
            ) as fleet:
                context = fleet.daemons["entry-1"].run_context
                context.decisions = attrs.evolve(
                    context.decisions, should_run_optional=lambda exchange, stage: False
                )
                return await submit(fleet)

        response = run_virtual(scenario)
        self.assertEqual(response.json()["left_out"], ["rerank"])
        self.assertEqual(response.json()["output"]["tokens"], 16)

    def test_wrong_workspace_key_gives_status_401(self):
        async def scenario():
            async with (
                fleet_in_memory() as fleet,
                fleet.caller("entry-1", key="wrong") as client,
            ):
                return await client.post("/v1/pipelines/notes", json={"input": 1})

        response = run_virtual(scenario)
        self.assertEqual(response.status_code, 401)


if __name__ == "__main__":
    unittest.main()
