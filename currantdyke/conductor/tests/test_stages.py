import unittest

import anyio
import attrs

from currantdyke.catalog import StageStep
from currantdyke.conductor.chain import Chain
from currantdyke.conductor.messages import Placement, PlacementRequest, Refusal
from currantdyke.conductor.stagecall import CallOutcome
from currantdyke.conductor.tests.builders import (
    CHAIN,
    CHAIN_AFTER_SCORES,
    SCORES,
    entries_fleet,
)
from currantdyke.platform.stagecalls import PieceFailure, PieceResult
from currantdyke.testing.virtual import run_virtual

REQUEST = PlacementRequest(
    attempt_id="r",
    service="engine",
    steps=CHAIN,
    pieces=(1, 8, 16),
    stage_key="k",
    target=1.7,
    deadline=8.0,
)


async def place(requests, *, prepare=lambda fleet: None):
    """Place requests at once; return the fleet and the answers."""
    fleet = entries_fleet()
    prepare(fleet)
    answers = {}

    async def ask(request):
        fleet.work[request.attempt_id] = (1.0,) * 4
        answers[request.attempt_id] = await fleet.conductor.place(request)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.stages.run)
        async with anyio.create_task_group() as asking:
            for request in requests:
                asking.start_soon(ask, request)
        tasks.cancel_scope.cancel()
    return fleet, answers


def keep_sizes(fleet):
    """Let all results be as large as configured."""
    fleet.size_spread = 0.0


class TestChains(unittest.TestCase):
    def test_engine_gets_the_results_of_all_final_stages_once(self):
        request = attrs.evolve(REQUEST, steps=CHAIN_AFTER_SCORES, pieces=(2, 1, 8, 16))
        _, answers = run_virtual(place, [request])
        handles = answers["r"].handles
        self.assertEqual(len(handles), 2 + 16)
        self.assertEqual(len(set(handles)), len(handles))

    def test_stage_for_the_engine_alone_starts_with_the_last_of_the_others(self):
        request = attrs.evolve(REQUEST, steps=CHAIN_AFTER_SCORES, pieces=(2, 1, 8, 16))
        chain = Chain.of(request=request, now=0.0)
        self.assertEqual(chain.ready_stages(), [1])
        chain.started |= {1, 2, 3}
        self.assertEqual(chain.ready_stages(), [0])

    def test_pieces_of_many_requests_share_calls(self):
        requests = [attrs.evolve(REQUEST, attempt_id=f"r{n}") for n in range(12)]
        fleet, answers = run_virtual(place, requests)
        self.assertTrue(all(isinstance(a, Placement) for a in answers.values()))
        self.assertGreater(fleet.figures.pieces / fleet.figures.calls, 8)

    def test_chains_do_not_wait_for_each_others_memory(self):
        steps = (StageStep(service="score", result_bytes=3_000_000),)
        requests = [
            attrs.evolve(REQUEST, attempt_id=f"r{n}", steps=steps, pieces=(5,))
            for n in range(8)
        ]
        _, answers = run_virtual(place, requests, prepare=keep_sizes)
        # There is memory for five results at each of four endpoints, and nothing is
        # given up here: four chains get all of it, not eight a half.
        done = [a for a in answers.values() if isinstance(a, Placement)]
        self.assertGreaterEqual(len(done), 4)

    def test_lost_input_runs_the_chain_again_once(self):
        def lose_one(fleet):
            run_pieces = fleet.stages.run_pieces
            lost = []

            async def losing(endpoint, pieces, timeout):
                outcome = await run_pieces(endpoint, pieces, timeout)
                if pieces[0].stage == 2 and not lost:
                    lost.append(True)
                    gone = PieceResult(failure=PieceFailure.INPUT_GONE)
                    return CallOutcome(results=[gone] * len(pieces))
                return outcome

            fleet.stages.run_pieces = losing

        _, answers = run_virtual(place, [REQUEST], prepare=lose_one)
        self.assertIsInstance(answers["r"], Placement)

    def test_endpoint_that_fails_always_ends_the_request_with_a_refusal(self):
        def break_all(fleet):
            async def broken(endpoint, pieces, timeout):
                await anyio.sleep(0.01)
                return CallOutcome(reason="connection refused")

            fleet.stages.run_pieces = broken

        _, answers = run_virtual(place, [REQUEST], prepare=break_all)
        self.assertIsInstance(answers["r"], Refusal)

    def test_error_of_our_own_in_one_call_ends_no_other_request(self):
        def prepare(fleet):
            made = fleet.stages.run_pieces
            calls = []

            async def run_pieces(endpoint, pieces, timeout):
                calls.append(endpoint)
                if len(calls) == 2:
                    raise ValueError("a fault of the program")
                return await made(endpoint, pieces, timeout)

            async def free_results(endpoint, handles):
                raise ValueError("a fault of the program")

            fleet.stages.run_pieces = run_pieces
            fleet.stages.free_results = free_results

        requests = [attrs.evolve(REQUEST, attempt_id=f"r{n}") for n in range(4)]
        with self.assertLogs("absl", "ERROR"):
            _, answers = run_virtual(lambda: place(requests, prepare=prepare))
        for answer in answers.values():
            self.assertIsInstance(answer, Placement)

    def test_all_results_are_given_up_when_a_chain_ends(self):
        fleet, answers = run_virtual(place, [attrs.evolve(REQUEST, deadline=0.4)])
        self.assertIsInstance(answers["r"], Refusal)
        self.assertEqual(fleet.stages.live, {})

    def test_work_is_not_left_to_an_endpoint_of_its_zone_that_rests(self):
        fleet = entries_fleet()

        async def look():
            workers = fleet.stages.service_workers("score")
            resting = workers[0]
            for _ in range(8):
                resting.answered(2.0, 0.2, anyio.current_time())
            chain = Chain.of(
                request=attrs.evolve(REQUEST, steps=(SCORES,), pieces=(3,)), now=0.0
            )
            chain.home = resting.zone
            fleet.work["r"] = (1.0,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.stages.run)
                fleet.stages.start(chain)
                with anyio.move_on_after(1.0):
                    await chain.ended.wait()
                tasks.cancel_scope.cancel()
            return chain.ended.is_set()

        self.assertTrue(run_virtual(look))

    def test_pieces_that_found_no_room_do_not_make_an_endpoint_look_quick(self):
        fleet = entries_fleet()

        async def look():
            worker = fleet.stages.service_workers("score")[0]
            fleet.workers[worker.endpoint.instance].results["other"] = 1e9
            chain = Chain.of(
                request=attrs.evolve(REQUEST, steps=(SCORES,), pieces=(1,)), now=0.0
            )
            chain.home = worker.zone
            fleet.work["r"] = (1.0,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.stages.run)
                fleet.stages.start(chain)
                await chain.ended.wait()
                tasks.cancel_scope.cancel()
            return worker.slowness

        self.assertEqual(run_virtual(look), 1.0)

    def test_slow_endpoint_is_left_to_the_others_while_they_suffice(self):
        fleet = entries_fleet()

        async def look():
            workers = fleet.stages.service_workers("score")
            for _ in range(5):
                workers[0].answered(1.5, 0.2, anyio.current_time())
            chain = Chain.of(
                request=attrs.evolve(REQUEST, steps=(SCORES,), pieces=(3,)), now=0.0
            )
            fleet.work["r"] = (1.0,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.stages.run)
                await anyio.sleep(0)
                fleet.stages.start(chain)
                await chain.ended.wait()
                tasks.cancel_scope.cancel()
            return workers[0]

        slow = run_virtual(look)
        self.assertEqual(slow.results, {})


if __name__ == "__main__":
    unittest.main()
