import unittest

import anyio

from currantdyke.callers.tests.callers import (
    ACCEPT_EVENT_STREAM,
    NOTES_PATH,
    read_events,
    rejoin,
    submit,
    submit_async,
    token_texts,
)
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_bundle


class TestRejoin(unittest.TestCase):
    def test_request_id_is_sent_before_the_first_stage_ends(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.standins["encoder-1"].seconds = 3.0
                async with (
                    fleet.caller("entry-1") as client,
                    client.stream(
                        "POST",
                        NOTES_PATH,
                        json={"input": 1},
                        headers=ACCEPT_EVENT_STREAM,
                    ) as response,
                ):
                    first = await anext(response.aiter_text())
                    return response.headers["x-request-id"], first, fleet.network.calls

        request_id, first, _ = run_virtual(scenario)
        self.assertIn(request_id, first)
        self.assertTrue(first.startswith("id: 0\nevent: accepted\n"))

    def test_whole_answer_can_be_fetched_later(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.standins["encoder-1"].seconds = 3.0
                started = anyio.current_time()
                accepted = await submit(fleet, prefer="respond-async")
                waited = anyio.current_time() - started
                location = accepted.headers["location"]
                async with fleet.caller("entry-1") as client:
                    early = await client.get(location, headers={"prefer": "wait=1"})
                    whole = await client.get(location)
                return accepted, waited, early, whole

        accepted, waited, early, whole = run_virtual(scenario)
        self.assertEqual((accepted.status_code, waited), (202, 0.0))
        self.assertEqual(early.status_code, 202)
        self.assertEqual(whole.json()["outcome"], "done")
        self.assertEqual(whole.json()["request_id"], accepted.json()["request_id"])

    def test_disconnected_caller_resumes_the_stream_without_loss(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.standins["generator-1"].token_seconds = 0.05
                async with fleet.caller("entry-1") as client:
                    options = {
                        "json": {"input": 1},
                        "headers": dict(ACCEPT_EVENT_STREAM),
                    }
                    seen = await read_events(
                        client, "POST", NOTES_PATH, max_events=5, **options
                    )
                request_id = seen[0][2]["request_id"]
                last = {"last-event-id": str(seen[-1][0])}
                rest = await rejoin(fleet, request_id, headers=last)
                again = await rejoin(fleet, request_id, first=0)
                tail = await rejoin(fleet, request_id, first=len(again) - 1)
                return seen, rest, again, tail, len(fleet.standins["encoder-1"].calls)

        seen, rest, again, tail, calls = run_virtual(scenario)
        self.assertEqual(seen + rest, again)
        self.assertEqual([number for number, _, _ in again], list(range(18)))
        self.assertEqual("".join(token_texts(again)), again[-1][2]["output"]["text"])
        self.assertEqual(tail, again[-1:])
        self.assertEqual(calls, 1)

    def test_cancel_aborts_the_call_at_the_endpoint(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                generator = fleet.standins["generator-1"]
                generator.token_seconds = 0.5
                request_id = await submit_async(fleet)
                await anyio.sleep(1.2)
                async with fleet.caller("entry-1") as client:
                    path = f"/v1/requests/{request_id}"
                    cancelled = await client.delete(path)
                    again = await client.delete(path)
                await anyio.sleep(0.01)
                return cancelled, again, generator

        cancelled, again, generator = run_virtual(scenario)
        self.assertEqual(cancelled.json()["error"]["code"], "cancelled")
        self.assertEqual(cancelled.json()["outcome"], "unknown")
        self.assertEqual(again.content, cancelled.content)
        self.assertEqual(generator.completed, [])
        self.assertEqual(generator.abandoned, [generator.calls[0].attempt_id])

    def test_cancel_before_any_call_was_sent_reports_not_run(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.network.faults_at("encoder-1:1").unreachable = True
                request_id = await submit_async(fleet)
                async with fleet.caller("entry-1") as client:
                    return await client.delete(f"/v1/requests/{request_id}")

        self.assertEqual(run_virtual(scenario).json()["outcome"], "not_run")

    def test_idle_stream_gets_keep_alive_comments(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.standins["encoder-1"].seconds = 5.0
                async with fleet.caller("entry-1") as client:
                    response = await client.post(
                        NOTES_PATH, json={"input": 1}, headers=ACCEPT_EVENT_STREAM
                    )
                request_id = response.headers["x-request-id"]
                return response.text, await rejoin(fleet, request_id)

        text, events = run_virtual(scenario)
        self.assertEqual(text.count("\n: keep-alive\n"), 1)
        self.assertEqual([number for number, _, _ in events], list(range(18)))

    def test_readers_of_a_request_beyond_16_are_refused_with_429(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.standins["encoder-1"].seconds = 5.0
                request_id = await submit_async(fleet)
                statuses = []
                async with fleet.caller("entry-1") as client:

                    async def read():
                        path = f"/v1/requests/{request_id}"
                        response = await client.get(path, headers=ACCEPT_EVENT_STREAM)
                        statuses.append(response.status_code)

                    async with anyio.create_task_group() as tasks:
                        for _ in range(20):
                            tasks.start_soon(read)
                await anyio.sleep(0.01)
                exchange = fleet.daemons["entry-1"].requests.by_id[request_id]
                return statuses, exchange.readers

        statuses, left = run_virtual(scenario)
        self.assertEqual((statuses.count(200), statuses.count(429)), (16, 4))
        self.assertEqual(left, 0)

    def test_request_of_another_daemon_or_incarnation_is_lost_with_unknown_outcome(
        self,
    ):
        async def scenario():
            async with fleet_in_memory() as fleet:
                request_id = await submit_async(fleet)
                fleet.kill_daemon("entry-1")
                await fleet.start_daemon("entry-1")
                fleet.apply_bundle(build_bundle(fleet.urls))
                async with fleet.caller("entry-1") as client:
                    return [
                        await client.request(method, f"/v1/requests/{asked}")
                        for method in ("GET", "DELETE")
                        for asked in (request_id, "entry-9.ab.1.cd")
                    ]

        for response in run_virtual(scenario):
            body = response.json()
            self.assertEqual(response.status_code, 410, body)
            self.assertEqual(body["error"]["code"], "request_lost")
            self.assertEqual(body["outcome"], "unknown")
            self.assertIn("send the request again", body["error"]["message"])

    def test_id_that_was_never_issued_is_unknown(self):
        async def scenario():
            async with fleet_in_memory() as fleet, fleet.caller("entry-1") as client:
                identity = fleet.daemons["entry-1"].identity
                asked = (f"{identity.name}.{identity.incarnation}.1.cd", "nonsense")
                return [await client.get(f"/v1/requests/{name}") for name in asked]

        for response in run_virtual(scenario):
            self.assertEqual(response.status_code, 404)
            self.assertEqual(response.json()["error"]["code"], "unknown_request")


if __name__ == "__main__":
    unittest.main()
