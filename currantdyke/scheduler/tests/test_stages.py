import unittest

import anyio
import attrs

from currantdyke.catalog import StageStep
from currantdyke.forward.budget import FleetRetryBudget
from currantdyke.platform.stagecalls import PieceFailure, PieceResult
from currantdyke.scheduler.chain import Chain
from currantdyke.scheduler.messages import Placement, PlacementRequest, Refusal
from currantdyke.scheduler.stagecall import CallOutcome
from currantdyke.scheduler.tests.builders import (
    CHAIN_STEPS,
    SCORE_AND_CHAIN_STEPS,
    SCORE_STEP,
    small_fleet,
)
from currantdyke.testing.virtual import run_virtual

# Calls of an endpoint that is this much slower than configured are late.
LATE_SLOWNESS = 12.0
REQUEST = PlacementRequest(
    attempt_id="r",
    service="engine",
    steps=CHAIN_STEPS,
    pieces=(1, 8, 16),
    stage_key="k",
    target=1.7,
    deadline=8.0,
)


async def place(requests, *, prepare=lambda fleet: None, settle_seconds=0.0):
    """Place requests concurrently, and return the fleet and the answers.

    Parameters
    ----------
    settle_seconds : float
        For how long the endpoints run on after the last answer.
    """
    fleet = small_fleet()
    prepare(fleet)
    answers = {}

    async def ask(request):
        fleet.work[request.attempt_id] = (1.0,) * 4
        answers[request.attempt_id] = await fleet.scheduler.place(request)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.stages.run)
        async with anyio.create_task_group() as asking:
            for request in requests:
                asking.start_soon(ask, request)
        await anyio.sleep(settle_seconds)
        tasks.cancel_scope.cancel()
    return fleet, answers


async def place_beside_endpoint_that_is_down(sent):
    """Place requests without any retries left, while one endpoint of a stage is down.

    Parameters
    ----------
    sent : bool
        Whether the calls to that endpoint may have reached it.
    """

    def take_one_down(fleet):
        original = fleet.stages.run_pieces
        down = fleet.stages.service_workers("roll")[0].endpoint
        budget = FleetRetryBudget(ratio=0.0, window=10.0, slack=0.0)
        fleet.stages.retry_budget = lambda service: budget

        async def run_pieces(endpoint, pieces, timeout):
            if endpoint is down:
                await anyio.sleep(0.01)
                return CallOutcome(sent=sent, reason="connection refused")
            return await original(endpoint, pieces, timeout)

        fleet.stages.run_pieces = run_pieces

    requests = [attrs.evolve(REQUEST, attempt_id=f"r{n}") for n in range(4)]
    return await place(requests, prepare=take_one_down)


def use_nominal_sizes(fleet):
    """Make all results as large as configured."""
    fleet.size_spread = 0.0


async def place_twice(*, withdraw_engines=False):
    """Place a request at a second engine while the first one is silent."""
    fleet = small_fleet()
    fleet.work["r"] = (1.0,) * 4
    engines = fleet.scheduler.engines
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.stages.run)
        first = await fleet.scheduler.place(REQUEST)
        calls = fleet.stages.calls
        excluded = (first.instance,)
        if withdraw_engines:
            excluded = tuple(fleet.directory.endpoints.of_service("engine"))
        again = attrs.evolve(REQUEST, is_retry=True, excluded=excluded)
        second = await fleet.scheduler.place(again)
        placed = {name: list(one.placed) for name, one in engines.engines.items()}
        tasks.cancel_scope.cancel()
    return first, second, fleet.stages.calls - calls, placed, fleet


class TestSecondPlacement(unittest.TestCase):
    # Guards against results that are released while the first engine may fetch them.
    def test_second_engine_gets_the_same_results(self):
        first, second, calls, placed, _ = run_virtual(place_twice)
        self.assertNotEqual(second.instance, first.instance)
        self.assertEqual((second.handles, calls), (first.handles, 0))
        self.assertEqual((placed[first.instance], placed[second.instance]), ([], ["r"]))

    # Guards against a live run that ends because a second placement is refused.
    def test_refused_second_placement_keeps_the_results_of_the_first(self):
        first, second, _, placed, fleet = run_virtual(
            place_twice, withdraw_engines=True
        )
        self.assertIsInstance(second, Refusal)
        self.assertEqual(placed[first.instance], ["r"])
        self.assertEqual(list(fleet.scheduler.chains), ["r"])


class TestChains(unittest.TestCase):
    def test_placement_has_each_result_of_the_final_stages_once(self):
        request = attrs.evolve(
            REQUEST, steps=SCORE_AND_CHAIN_STEPS, pieces=(2, 1, 8, 16)
        )
        _, answers = run_virtual(place, [request])
        handles = answers["r"].handles
        self.assertEqual(len(handles), 2 + 16)
        self.assertEqual(len(set(handles)), len(handles))

    def test_single_stage_branch_starts_with_the_last_stage_of_the_others(self):
        request = attrs.evolve(
            REQUEST, steps=SCORE_AND_CHAIN_STEPS, pieces=(2, 1, 8, 16)
        )
        chain = Chain.of(request=request, now=0.0)
        self.assertEqual(chain.ready_stages(), [1])
        chain.started |= {1, 2, 3}
        self.assertEqual(chain.ready_stages(), [0])

    def test_pieces_of_many_requests_share_calls(self):
        requests = [attrs.evolve(REQUEST, attempt_id=f"r{n}") for n in range(12)]
        fleet, answers = run_virtual(place, requests)
        self.assertTrue(all(isinstance(a, Placement) for a in answers.values()))
        self.assertGreater(fleet.figures.pieces / fleet.figures.calls, 8)

    def test_chains_that_compete_for_memory_do_not_deadlock(self):
        steps = (StageStep(service="score", result_bytes=3_000_000),)
        requests = [
            attrs.evolve(REQUEST, attempt_id=f"r{n}", steps=steps, pieces=(5,))
            for n in range(8)
        ]
        _, answers = run_virtual(place, requests, prepare=use_nominal_sizes)
        # Each of four endpoints has memory for five results, and nothing is released:
        # four chains must get all of the memory, rather than eight chains half each.
        done = [a for a in answers.values() if isinstance(a, Placement)]
        self.assertGreaterEqual(len(done), 4)

    def test_chain_with_a_lost_input_is_restarted(self):
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

    def test_request_is_refused_when_all_calls_fail(self):
        def break_all(fleet):
            async def broken(endpoint, pieces, timeout):
                await anyio.sleep(0.01)
                return CallOutcome(reason="connection refused")

            fleet.stages.run_pieces = broken

        _, answers = run_virtual(place, [REQUEST], prepare=break_all)
        self.assertIsInstance(answers["r"], Refusal)

    # Guards against refusals while one endpoint of several is down (review case 7).
    def test_calls_that_were_not_sent_take_no_retries(self):
        for sent in (False, True):
            with self.subTest(sent=sent):
                _, answers = run_virtual(place_beside_endpoint_that_is_down, sent)
                refused = [a for a in answers.values() if isinstance(a, Refusal)]
                self.assertEqual(bool(refused), sent)

    # Guards against requests that wait for a service of which nothing is reached.
    def test_request_is_refused_at_once_if_no_endpoint_is_reached(self):
        def break_all(fleet):
            async def unreachable(endpoint, pieces, timeout):
                await anyio.sleep(0.01)
                return CallOutcome(sent=False, reason="connection refused")

            fleet.stages.run_pieces = unreachable

        async def place_one():
            started = anyio.current_time()
            _, answers = await place([REQUEST], prepare=break_all)
            return answers["r"], anyio.current_time() - started

        answer, seconds = run_virtual(place_one)
        self.assertIsInstance(answer, Refusal)
        self.assertLess(seconds, REQUEST.target)

    # Guards against an internal error in a stopping daemon whose callers leave.
    def test_request_may_end_after_the_stages_have_stopped(self):
        async def end_late():
            fleet, answers = await place([REQUEST])
            fleet.scheduler.cancel_all(["r"])
            return fleet, answers

        fleet, answers = run_virtual(end_late)
        self.assertIsInstance(answers["r"], Placement)
        self.assertEqual(fleet.scheduler.chains, {})

    def test_internal_error_in_a_call_fails_no_request(self):
        def prepare(fleet):
            original = fleet.stages.run_pieces
            calls = []

            async def run_pieces(endpoint, pieces, timeout):
                calls.append(endpoint)
                if len(calls) == 2:
                    raise ValueError("simulated internal error")
                return await original(endpoint, pieces, timeout)

            async def free_results(endpoint, handles):
                raise ValueError("simulated internal error")

            fleet.stages.run_pieces = run_pieces
            fleet.stages.free_results = free_results

        requests = [attrs.evolve(REQUEST, attempt_id=f"r{n}") for n in range(4)]
        with self.assertLogs("absl", "ERROR"):
            _, answers = run_virtual(lambda: place(requests, prepare=prepare))
        for answer in answers.values():
            self.assertIsInstance(answer, Placement)

    # Guards against a live call given up although no other one can be made.
    def test_late_call_counts_if_there_is_no_retry_or_no_other_endpoint(self):
        def slow_down(fleet):
            run_pieces = fleet.stages.run_pieces

            async def run_in_time(endpoint, pieces, timeout):
                with anyio.move_on_after(timeout):
                    return await run_pieces(endpoint, pieces, timeout)
                return CallOutcome(reason="silent")

            fleet.stages.run_pieces = run_in_time
            for worker in fleet.workers.values():
                worker.slowness = LATE_SLOWNESS

        def slow_down_without_retries(fleet):
            slow_down(fleet)
            budget = FleetRetryBudget(ratio=0.0, window=10.0, slack=0.0)
            fleet.stages.retry_budget = lambda service: budget

        def slow_down_the_only_endpoints(fleet):
            slow_down(fleet)
            for name, endpoints in fleet.directory.endpoints.by_service.items():
                if name != "engine":
                    while len(endpoints) > 1:
                        endpoints.popitem()

        request = attrs.evolve(REQUEST, target=20.0, deadline=30.0)
        for prepare in (slow_down_without_retries, slow_down_the_only_endpoints):
            with self.subTest(prepare=prepare.__name__):
                fleet, answers = run_virtual(
                    lambda p=prepare: place([request], prepare=p)
                )
                self.assertIsInstance(answers["r"], Placement)
                self.assertEqual(fleet.stages.calls, fleet.figures.calls)

    # Guards against a chain that waits for a silent endpoint while another one is free.
    def test_pieces_of_a_late_call_run_at_another_endpoint(self):
        def silence_one(fleet):
            next(iter(fleet.workers.values())).silent = True

        request = attrs.evolve(REQUEST, target=20.0, deadline=30.0)
        requests = [attrs.evolve(request, attempt_id=f"r{n}") for n in range(4)]
        _, answers = run_virtual(lambda: place(requests, prepare=silence_one))
        for answer in answers.values():
            self.assertIsInstance(answer, Placement)

    def test_refused_chain_is_no_longer_active(self):
        fleet, answers = run_virtual(place, [attrs.evolve(REQUEST, deadline=0.4)])
        self.assertIsInstance(answers["r"], Refusal)
        self.assertEqual(fleet.stages.active_chains, {})

    def test_work_leaves_its_zone_when_the_endpoint_there_is_slow(self):
        fleet = small_fleet()

        async def run_chain():
            workers = fleet.stages.service_workers("score")
            slow = workers[0]
            for _ in range(8):
                slow.record_success(2.0, 0.2, anyio.current_time())
            chain = Chain.of(
                request=attrs.evolve(REQUEST, steps=(SCORE_STEP,), pieces=(3,)), now=0.0
            )
            chain.preferred_zone = slow.zone
            fleet.work["r"] = (1.0,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.stages.run)
                fleet.stages.start(chain)
                with anyio.move_on_after(1.0):
                    await chain.ended.wait()
                tasks.cancel_scope.cancel()
            return chain.ended.is_set()

        self.assertTrue(run_virtual(run_chain))

    def test_pieces_without_memory_do_not_change_the_slowness(self):
        fleet = small_fleet()

        async def run_chain():
            worker = fleet.stages.service_workers("score")[0]
            fleet.workers[worker.endpoint.instance].results["other"] = 1e9
            chain = Chain.of(
                request=attrs.evolve(REQUEST, steps=(SCORE_STEP,), pieces=(1,)), now=0.0
            )
            chain.preferred_zone = worker.zone
            fleet.work["r"] = (1.0,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.stages.run)
                fleet.stages.start(chain)
                await chain.ended.wait()
                tasks.cancel_scope.cancel()
            return worker.slowness

        self.assertEqual(run_virtual(run_chain), 1.0)

    def test_slow_endpoint_is_unused_while_the_others_suffice(self):
        fleet = small_fleet()

        async def run_chain():
            workers = fleet.stages.service_workers("score")
            for _ in range(5):
                workers[0].record_success(1.5, 0.2, anyio.current_time())
            chain = Chain.of(
                request=attrs.evolve(REQUEST, steps=(SCORE_STEP,), pieces=(3,)), now=0.0
            )
            fleet.work["r"] = (1.0,)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.stages.run)
                await anyio.sleep(0)
                fleet.stages.start(chain)
                await chain.ended.wait()
                tasks.cancel_scope.cancel()
            return workers[0]

        slow = run_virtual(run_chain)
        self.assertEqual(slow.results, {})


if __name__ == "__main__":
    unittest.main()
