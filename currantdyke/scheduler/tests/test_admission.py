import unittest

import attrs

from currantdyke.scheduler.admission import AdmissionControl
from currantdyke.scheduler.chain import Chain
from currantdyke.scheduler.messages import PlacementRequest
from currantdyke.scheduler.tests.builders import CHAIN_STEPS, SCORE_STEP, small_fleet
from currantdyke.testing.virtual import run_virtual

REPLY = PlacementRequest(
    attempt_id="r",
    service="engine",
    steps=CHAIN_STEPS,
    pieces=(1, 8, 16),
    target=1.5,
    deadline=6.0,
    rank=2,
    sheddable=True,
)


async def check_admission(request: PlacementRequest, waiting: int):
    """Check a request behind admitted chains none of whose stages have run."""
    fleet = small_fleet()
    for number in range(waiting):
        other = attrs.evolve(REPLY, attempt_id=f"w{number}", rank=0)
        fleet.stages.active_chains[other.attempt_id] = Chain.of(request=other, now=0.0)
    return AdmissionControl(stages=fleet.stages).check(request, 0.0)


class TestAdmission(unittest.TestCase):
    def test_request_with_empty_queues_is_admitted(self):
        self.assertIsNone(run_virtual(check_admission, REPLY, 0))

    def test_less_urgent_request_is_refused_behind_a_shorter_queue(self):
        urgent = attrs.evolve(REPLY, rank=0, sheddable=False, target=1.7)
        refused = [
            [
                run_virtual(check_admission, one, waiting) is not None
                for waiting in (0, 30, 60)
            ]
            for one in (REPLY, urgent)
        ]
        self.assertEqual(refused, [[False, True, True], [False, False, False]])

    def test_urgent_request_is_refused_when_expected_after_its_deadline(self):
        urgent = attrs.evolve(REPLY, rank=0, sheddable=False)
        self.assertIsNotNone(run_virtual(check_admission, urgent, 400))

    def test_retry_delay_is_at_most_a_third_of_the_deadline(self):
        refusal = run_virtual(check_admission, REPLY, 60)
        self.assertGreater(refusal.retry_after, 0.25)
        self.assertLessEqual(refusal.retry_after, REPLY.deadline / 3)

    def test_retry_delays_of_refused_requests_increase(self):
        async def refuse_many():
            fleet = small_fleet()
            for number in range(60):
                other = attrs.evolve(REPLY, attempt_id=f"w{number}", rank=0)
                fleet.stages.active_chains[other.attempt_id] = Chain.of(
                    request=other, now=0.0
                )
            admission = AdmissionControl(stages=fleet.stages)
            return [
                admission.check(attrs.evolve(REPLY, attempt_id=f"r{n}"), 0.0)
                for n in range(10)
            ]

        times = [refusal.retry_after for refusal in run_virtual(refuse_many)]
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], times[0])

    def test_request_that_was_placed_before_is_admitted(self):
        again = attrs.evolve(REPLY, is_retry=True)
        self.assertIsNone(run_virtual(check_admission, again, 400))

    def test_request_is_refused_when_queued_results_exceed_the_memory(self):
        dossier = attrs.evolve(REPLY, steps=(SCORE_STEP,), pieces=(3,), target=1.3)

        async def crowded():
            fleet = small_fleet()
            for number in range(40):
                other = attrs.evolve(dossier, attempt_id=f"w{number}")
                fleet.stages.active_chains[other.attempt_id] = Chain.of(
                    request=other, now=0.0
                )
            return AdmissionControl(stages=fleet.stages).check(dossier, 0.0)

        self.assertIsNotNone(run_virtual(crowded))


if __name__ == "__main__":
    unittest.main()
