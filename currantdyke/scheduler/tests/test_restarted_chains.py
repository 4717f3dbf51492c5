"""Chains whose stages run again, since an endpoint has lost a result."""

import unittest
from unittest import mock

import attrs

from currantdyke.catalog import Endpoint
from currantdyke.platform.stagecalls import PieceFailure, PieceResult
from currantdyke.scheduler.chain import Chain
from currantdyke.scheduler.livecall import LiveCall
from currantdyke.scheduler.messages import Placement
from currantdyke.scheduler.stagecall import CallOutcome
from currantdyke.scheduler.tests.builders import RecordedCalls
from currantdyke.scheduler.tests.test_stages import REQUEST, place
from currantdyke.scheduler.workers import Worker
from currantdyke.testing.virtual import run_virtual

# The second stage takes two calls, of 14 pieces and of 6.
SPLIT_REQUEST = attrs.evolve(REQUEST, pieces=(2, 20, 16))
# All four endpoints have a call of the second stage, and pieces wait.
LONG_REQUEST = attrs.evolve(REQUEST, pieces=(2, 80, 16))
# The seed determines which of two tasks that are ready goes first.
RUNS = 20
STAGE_ENDPOINT = Endpoint(
    instance="i-1", service="roll", address="10.0.0.1:8000", availability_zone="zone-a"
)
# How the second of two calls in progress ends after the first has found inputs gone.
ENDINGS = {
    "failed": CallOutcome(reason="status 500"),
    "silent": CallOutcome(reason="silent"),
    "rejected": CallOutcome(reason="status 503", not_run=True),
    "misdirected": CallOutcome(reason="status 421", not_run=True, misdirected=True),
    "evacuated": CallOutcome(reason="its zone is evacuated", evacuated=True),
    "no room": PieceResult(failure=PieceFailure.NO_ROOM),
    "error": PieceResult(failure=PieceFailure.ERROR),
    "gone": PieceResult(failure=PieceFailure.INPUT_GONE),
    "done": None,
}


def run_with_second_call(ending, *, seconds=0.1):
    """Place a request of which one call finds inputs gone while another goes on."""
    recorded = RecordedCalls(ending=ending, seconds=seconds)
    fleet, answers = run_virtual(
        lambda: place([SPLIT_REQUEST], prepare=recorded.attach, settle_seconds=1.0)
    )
    return fleet, answers["r"], recorded


class TestCallsOfAnEarlierRun(unittest.TestCase):
    # Guards against pieces that are called with the text "None" for each input.
    def test_pieces_get_each_input_of_their_request_once(self):
        for name, ending in ENDINGS.items():
            with self.subTest(ending=name):
                _, _, recorded = run_with_second_call(ending)
                self.assertEqual(recorded.foreign_inputs, [])

    # Guards against a refusal because two calls have found the same result gone.
    def test_request_is_served(self):
        for name, ending in ENDINGS.items():
            with self.subTest(ending=name):
                _, answer, recorded = run_with_second_call(ending)
                self.assertIsInstance(answer, Placement)
                made = sorted(recorded.made[handle] for handle in answer.handles)
                self.assertEqual(made, [("r", 2, index) for index in range(16)])

    # Guards against pieces that are queued by the end of a call and by the new run.
    def test_no_piece_is_queued_twice(self):
        for name, ending in ENDINGS.items():
            with self.subTest(ending=name):
                _, _, recorded = run_with_second_call(ending)
                called = recorded.pieces_called_after_loss(1)
                self.assertEqual(len(called), len(set(called)))

    # Guards against results of a request that nobody releases.
    def test_late_results_are_used_or_released(self):
        for seconds in (0.1, 0.5):
            with self.subTest(seconds=seconds):
                fleet, answer, _ = run_with_second_call(None, seconds=seconds)
                self.assertIsInstance(answer, Placement)
                held = [
                    handle
                    for worker in fleet.workers.values()
                    for handle in worker.results
                ]
                self.assertEqual(sorted(held), sorted(answer.handles))


async def awaited_after(change):
    """Return the indices of the awaited pieces of two calls, around a change.

    Parameters
    ----------
    change : callable
        Called with the chain of the pieces, between the starts of the calls.
    """
    chain = Chain.of(request=SPLIT_REQUEST, now=0.0)

    def start_call():
        return LiveCall(
            worker=Worker(endpoint=STAGE_ENDPOINT),
            pieces=chain.pieces[0],
            entries=[],
            expected_seconds=0.2,
            late_at=1.0,
            ends_at=1.0,
        )

    before = start_call()
    change(chain)
    calls = before, start_call()
    return [[piece.index for piece in call.awaited_pieces()] for call in calls]


class TestAwaitedPieces(unittest.TestCase):
    # Guards against a request that is refused, or run anew, for a call whose piece has
    # the result of an earlier run.
    def test_piece_with_a_result_is_not_awaited(self):
        def take_result(chain):
            chain.pieces[0][0].set_result("10.0.0.1:8000/1")

        self.assertEqual(run_virtual(awaited_after, take_result), [[1], [1]])

    def test_pieces_of_an_earlier_run_are_not_awaited(self):
        found = run_virtual(awaited_after, lambda chain: chain.restart())
        self.assertEqual(found, [[], [0, 1]])


async def place_long_request(recorded):
    """Place a request whose second stage takes more calls than there are endpoints."""
    return await place([LONG_REQUEST], prepare=recorded.attach)


class TestCallsThatStartAtARestart(unittest.TestCase):
    # Guards against a call whose pieces were chosen just before their inputs were lost.
    def test_pieces_are_called_with_the_inputs_that_they_were_chosen_with(self):
        for seed in range(RUNS):
            recorded = RecordedCalls(
                ending=ENDINGS["evacuated"], seconds=0.1, together=True
            )
            with mock.patch("currantdyke.testing.virtual.SCHEDULE_SEED", seed):
                fleet, answers = run_virtual(place_long_request, recorded)
            self.assertEqual(recorded.foreign_inputs, [])
            self.assertEqual(fleet.stages.log.internal_errors, 0)
            self.assertIsInstance(answers["r"], Placement)


if __name__ == "__main__":
    unittest.main()
