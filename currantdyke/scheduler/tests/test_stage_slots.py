import unittest

import anyio

from currantdyke.catalog import StageStep
from currantdyke.scheduler.messages import Placement, PlacementRequest
from currantdyke.scheduler.tests.builders import fragile_stage_fleet
from currantdyke.testing.virtual import run_virtual


async def place_at_once(count):
    """Place requests in one step; return the most calls at once, and the answers."""
    fleet = fragile_stage_fleet()
    (endpoint,) = fleet.directory.endpoints.of_service("score").values()
    fleet.stages.endpoint_slots.fragile.record(endpoint)
    run_pieces = fleet.stages.run_pieces
    live, most, answers = [], [0], []

    async def count_calls(endpoint, pieces, timeout):
        live.append(pieces)
        most[0] = max(most[0], len(live))
        outcome = await run_pieces(endpoint, pieces, timeout)
        live.remove(pieces)
        return outcome

    async def place(number):
        request = PlacementRequest(
            attempt_id=f"r{number}",
            service="engine",
            steps=(StageStep(service="score", result_bytes=1_000),),
            pieces=(1,),
            stage_key="k",
            target=2.0,
            deadline=8.0,
        )
        fleet.work[request.attempt_id] = (1.0,)
        answers.append(await fleet.scheduler.place(request))

    fleet.stages.run_pieces = count_calls
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.stages.run)
        await anyio.sleep(0)
        async with anyio.create_task_group() as placing:
            for number in range(count):
                placing.start_soon(place, number)
        tasks.cancel_scope.cancel()
    return most[0], answers


class TestStageSlots(unittest.TestCase):
    # Issue 47: the slot was taken in the task of the call, after the next dispatch.
    def test_calls_of_one_step_stay_within_the_slots_of_a_fragile_endpoint(self):
        most, answers = run_virtual(place_at_once, 3)
        self.assertEqual(most, 1)
        self.assertTrue(all(isinstance(answer, Placement) for answer in answers))


if __name__ == "__main__":
    unittest.main()
