import unittest

import anyio
import attrs

from currantdyke.scheduler.messages import Placement, PlacementRequest, Refusal
from currantdyke.scheduler.tests.builders import CHAIN_STEPS, request_kinds, small_fleet
from currantdyke.testing.virtual import run_virtual

REQUEST = PlacementRequest(
    attempt_id="r",
    service="engine",
    steps=CHAIN_STEPS,
    pieces=(1, 8, 16),
    stage_key="k",
    target=1.7,
    deadline=8.0,
)


def limit_service(fleet, service, rate):
    """Have all endpoints of a service name a limit."""
    limits = fleet.stages.endpoint_limits
    for endpoint in fleet.directory.endpoints.of_service(service).values():
        limits.table.adopt(endpoint.instance, endpoint.born, rate, float("inf"))


class TestStageCalls(unittest.TestCase):
    # Issue 28: a limit on stage calls was not read either.
    def test_stage_calls_stay_within_the_limits_of_the_endpoints(self):
        async def run():
            fleet = small_fleet()
            limit_service(fleet, "roll", 1.0)
            calls = []
            run_pieces = fleet.stages.run_pieces

            async def record(endpoint, pieces, timeout):
                if endpoint.service == "roll":
                    calls.append((endpoint.instance, anyio.current_time()))
                return await run_pieces(endpoint, pieces, timeout)

            fleet.stages.run_pieces = record
            free_results = fleet.stages.free_results

            async def free(endpoint, handles):
                if endpoint.service == "roll":
                    calls.append((endpoint.instance, anyio.current_time()))
                return await free_results(endpoint, handles)

            fleet.stages.free_results = free
            kinds = request_kinds()
            await fleet.run(kinds, seconds=30.0, load=lambda name, now: 1.0)
            return calls, fleet.figures

        calls, figures = run_virtual(run)
        instances = {instance for instance, _ in calls}
        for instance in instances:
            times = [at for name, at in calls if name == instance]
            busiest = max(sum(at <= other < at + 4 for other in times) for at in times)
            self.assertLessEqual(busiest, 7)
        self.assertGreater(len(calls), 0.5 * 30 * len(instances))
        # What the limited stage can't take is refused; the others go on.
        self.assertGreater(figures.share("dossier"), 0.9)


class TestEngines(unittest.TestCase):
    def place(self, *requests, rate=0.25, seconds=0.0):
        async def run():
            fleet = small_fleet()
            limit_service(fleet, "engine", rate)
            answers = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.stages.run)
                fleet.stages.endpoint_limits.held(
                    fleet.directory.endpoints.of_service("engine").values(),
                    sheddable=False,
                )
                await anyio.sleep(seconds)
                started = anyio.current_time()
                for request in requests:
                    fleet.work[request.attempt_id] = (1.0,) * 4
                    answers.append(await fleet.scheduler.place(request))
                seconds_taken = anyio.current_time() - started
                tasks.cancel_scope.cancel()
            return answers, fleet.stages.calls, seconds_taken

        return run_virtual(run)

    def test_request_is_refused_before_its_stages_run_for_nothing(self):
        answers, calls, seconds = self.place(REQUEST)
        self.assertIsInstance(answers[0], Refusal)
        self.assertGreater(answers[0].retry_after, 0.1)
        self.assertEqual((calls, seconds), (0, 0.0))

    def test_urgent_requests_are_not_starved_by_less_urgent_ones(self):
        many = [
            attrs.evolve(
                REQUEST, attempt_id=f"r{n}", sheddable=True, steps=(), pieces=()
            )
            for n in range(40)
        ]
        urgent = attrs.evolve(REQUEST, attempt_id="u", steps=(), pieces=())
        answers, _, _ = self.place(*many, urgent, rate=0.5, seconds=8.0)
        kinds = [type(answer) for answer in answers]
        self.assertEqual(kinds[-2:], [Refusal, Placement])
        self.assertEqual(kinds.count(Placement), 2 * 9 + 1)


if __name__ == "__main__":
    unittest.main()
