import unittest
from unittest import mock

import anyio

from currantdyke.pipelines import run as run_module
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.testing.builders import build_bundle

ENTRY_DESK_PATH = "/v1/services/entry-desk"
NOTES_PATH = "/v1/pipelines/notes"


async def submit(fleet, path=NOTES_PATH, **headers):
    async with fleet.caller("entry-1") as client:
        return await client.post(path, json={"input": "flight 12"}, headers=headers)


async def submit_with(prepare, path=ENTRY_DESK_PATH, **headers):
    services = {"entry-desk": {"idempotent": False}}
    async with fleet_in_memory(endpoints=2, bundle={"services": services}) as fleet:
        prepare(fleet)
        response = await submit(fleet, path, **headers)
        ran = sum(len(s.calls) for s in fleet.standins.values())
        return response.json(), ran


def set_on_each(attribute, value, where="standin"):
    def prepare(fleet):
        for name, standin in fleet.standins.items():
            target = (
                standin if where == "standin" else fleet.network.faults_at(f"{name}:1")
            )
            setattr(target, attribute, value)

    return prepare


def set_on_each_link(attribute, value):
    return set_on_each(attribute, value, where="link")


CASES = (
    ("done", "done", 1, set_on_each("seconds", 0.1)),
    ("refused connections", "not_run", 0, set_on_each_link("refuse", True)),
    ("refused by all endpoints", "not_run", 0, set_on_each("refuse", True)),
    ("unreachable endpoints", "not_run", 0, set_on_each_link("unreachable", True)),
    ("error status", "failed", 1, set_on_each("status", 500)),
    ("ambiguous status", "unknown", 1, set_on_each("status", 504)),
    ("lost answer", "unknown", 1, set_on_each_link("lose_answer", True)),
    (
        "answer of another attempt",
        "unknown",
        1,
        set_on_each("answered_attempt_id", "another"),
    ),
    ("slower than the deadline", "unknown", 1, set_on_each("seconds", 60.0)),
    ("malformed JSON", "unknown", 1, set_on_each("answer", lambda call: b"{")),
)


class TestOutcomes(unittest.TestCase):
    def test_each_fault_gives_its_outcome_for_a_non_idempotent_call(self):
        for name, outcome, ran, prepare in CASES:
            with self.subTest(name):
                headers = {"x-deadline-seconds": "2.5"}
                body, seen = run_virtual(submit_with, prepare, **headers)
                self.assertEqual(body["outcome"], outcome, body)
                self.assertEqual(seen, ran)

    def test_deadline_before_any_hand_off_gives_outcome_not_run(self):
        headers = {"x-deadline-seconds": "0.5"}
        prepare = set_on_each_link("unreachable", True)
        body, _ = run_virtual(submit_with, prepare, **headers)
        self.assertEqual(body["error"]["code"], "deadline_passed")
        self.assertEqual(body["outcome"], "not_run")

    def test_outcome_is_failed_if_a_later_stage_is_never_reached(self):
        def prepare(fleet):
            for name in ("generator-1", "generator-2"):
                fleet.network.faults_at(f"{name}:1").refuse = True

        body, _ = run_virtual(submit_with, prepare, NOTES_PATH)
        self.assertEqual(body["outcome"], "failed")

    def test_internal_error_settles_the_request_and_the_daemon_keeps_serving(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                with (
                    mock.patch.object(run_module, "run_stage", side_effect=KeyError),
                    self.assertLogs("absl"),
                ):
                    broken = await submit(fleet)
                again = await submit(fleet)
                return broken, again, fleet.daemons["entry-1"].requests.in_flight

        broken, again, in_flight = run_virtual(scenario)
        self.assertEqual(broken.status_code, 500)
        self.assertEqual(broken.json()["error"]["code"], "internal")
        self.assertEqual(broken.json()["outcome"], "not_run")
        self.assertEqual(again.status_code, 200)
        self.assertEqual(in_flight, 0)

    def test_error_while_settling_still_answers_the_caller(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                with (
                    mock.patch.object(
                        run_module, "_record_outcome", side_effect=KeyError
                    ),
                    self.assertLogs("absl"),
                ):
                    first = await submit(fleet)
                with (
                    mock.patch.object(run_module, "_settle", side_effect=KeyError),
                    self.assertLogs("absl"),
                ):
                    second = await submit(fleet)
                return first, second, await submit(fleet)

        first, second, third = run_virtual(scenario)
        self.assertEqual(first.json()["outcome"], "done")
        self.assertEqual(second.json()["outcome"], "unknown")
        self.assertEqual(third.json()["outcome"], "done")

    def test_late_answer_of_a_settled_attempt_is_dropped_and_counted(self):
        async def scenario():
            async with fleet_in_memory(endpoints=2) as fleet:
                for name in ("encoder-1", "encoder-2"):
                    fleet.standins[name].status = 500
                first, second = fleet.standins["encoder-1"], fleet.standins["encoder-2"]

                def late(attempt_id):
                    for standin in (first, second):
                        standin.status = 200
                        standin.answered_attempt_id = attempt_id

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call_after_first_call, (first, second), late)
                    response = await submit(fleet)
                daemon = fleet.daemons["entry-1"]
                dropped = daemon.metrics.answers_dropped.labels("encoder", "settled")
                return response.json(), dropped._value.get()

        body, dropped = run_virtual(scenario)
        self.assertEqual(body["outcome"], "unknown")
        self.assertGreaterEqual(dropped, 1)

    def test_stalled_stream_is_resumed_at_another_endpoint_within_the_deadline(self):
        async def scenario():
            async with fleet_in_memory(endpoints=2) as fleet:
                fleet.standins["generator-1"].stall_after_tokens = 5
                answers = [await submit(fleet) for _ in range(6)]
                return answers, len(fleet.standins["generator-1"].calls)

        answers, silent_calls = run_virtual(scenario)
        self.assertGreater(silent_calls, 0)
        for answer in answers:
            words = answer.json()["output"]["text"].split()
            self.assertEqual([int(w.rpartition(":")[2]) for w in words], [*range(16)])

    def test_running_request_keeps_its_bundle_after_a_change(self):
        async def scenario():
            async with fleet_in_memory() as fleet:
                fleet.standins["encoder-1"].seconds = 1.0
                async with anyio.create_task_group() as tasks:
                    answers = []

                    async def send():
                        answers.append(await submit(fleet))

                    tasks.start_soon(send)
                    await anyio.sleep(0.5)
                    desk = {"entry-desk": fleet.urls["entry-desk"]}
                    fleet.apply_bundle(build_bundle(desk), version=2)
                return answers[0].json(), (await submit(fleet)).json()

        kept, refused = run_virtual(scenario)
        self.assertEqual(refused["error"]["code"], "unknown_pipeline")
        self.assertEqual(kept["outcome"], "done", kept)


async def call_after_first_call(standins, then):
    while not any(standin.calls for standin in standins):
        await anyio.sleep(0)
    then(next(s.calls[0].attempt_id for s in standins if s.calls))


if __name__ == "__main__":
    unittest.main()
