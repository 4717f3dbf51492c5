import unittest

import anyio

from currantdyke.forward.race import CANCELLED, GIVEN_UP, SILENT, Race
from currantdyke.testing.virtual import run_virtual

SILENCE_SECONDS = 1.0


class RunScript:
    """Runs that claim the request at a time, and what became of each.

    Attributes
    ----------
    served : list of str
        Runs that claimed the request, in order.
    outcomes : dict of str to str
        Outcomes of the runs that were cancelled.
    """

    def __init__(self):
        self.race = Race()
        self.served = []
        self.outcomes = {}

    def start(self, name, seconds, *, fails=False):
        async def function(run):
            run.instance = name
            self.race.record_sent(run, SILENCE_SECONDS)
            try:
                await anyio.sleep(seconds)
                if not fails and self.race.claim(run):
                    self.served.append(name)
            except anyio.get_cancelled_exc_class():
                self.outcomes[name] = run.cancelled_outcome()
                raise

        self.race.start(function)

    async def wait_for_silence(self):
        while not self.race.is_silent():
            await self.race.wait()

    async def wait_for_end(self):
        while self.race.live:
            await self.race.wait()


def play(control):
    """Run a scenario in virtual time; return its script."""

    async def scenario():
        script = RunScript()
        await script.race.run(lambda: control(script))
        return script

    return run_virtual(scenario)


async def raise_error(run):
    raise ValueError("simulated")


class TestRace(unittest.TestCase):
    # Guards against a live run given up for one that does not serve the request.
    def test_silent_run_goes_on_beside_one_that_fails(self):
        async def control(script):
            script.start("first", 3.0)
            await script.wait_for_silence()
            script.start("second", 0.5, fails=True)
            await script.wait_for_end()

        script = play(control)
        self.assertEqual((script.served, script.outcomes), (["first"], {}))

    def test_run_that_serves_the_request_first_ends_the_others(self):
        cases = ((0.5, "second", "first"), (9.0, "first", "second"))
        for seconds, served, given_up in cases:

            async def control(script, second=seconds):
                script.start("first", 3.0)
                await script.wait_for_silence()
                script.start("second", second)
                await script.wait_for_end()

            script = play(control)
            self.assertEqual(script.served, [served])
            self.assertEqual(script.outcomes, {given_up: GIVEN_UP})

    # Guards against a response that is relayed by two runs.
    def test_only_one_of_two_runs_in_the_same_step_serves_the_request(self):
        async def control(script):
            script.start("first", 0.5)
            script.start("second", 0.5)
            await script.wait_for_end()

        self.assertEqual(len(play(control).served), 1)

    def test_log_tells_silent_runs_from_others_at_the_end(self):
        for seconds, outcome in ((0.1, CANCELLED), (2.0, SILENT)):

            async def control(script, seconds=seconds):
                script.start("first", 9.0)
                await anyio.sleep(seconds)

            self.assertEqual(play(control).outcomes, {"first": outcome})

    # Guards against errors that are wrapped in groups, which the gateway does not know.
    def test_error_of_the_last_run_is_raised_unchanged(self):
        async def control(script):
            script.start("first", 0.5, fails=True)
            await script.wait_for_end()
            script.race.start(raise_error)
            await script.wait_for_end()

        with self.assertRaises(ValueError):
            play(control)

    # Guards against a sound run that is ended by an error of another one.
    def test_run_goes_on_beside_an_error_of_another(self):
        async def control(script):
            script.start("first", 9.0)
            script.race.start(raise_error)
            await script.wait_for_end()

        script = play(control)
        self.assertEqual((script.served, script.outcomes), (["first"], {}))

    # Guards against an error that is lost, since the run beside it was given up for it.
    def test_error_of_the_run_that_serves_the_request_is_raised(self):
        async def control(script):
            async def claim_and_fail(run):
                script.race.claim(run)
                await raise_error(run)

            script.start("first", 9.0)
            script.race.start(claim_and_fail)
            await script.wait_for_end()

        with self.assertRaises(ValueError):
            play(control)

    # Guards against a run started at once, again and again, while a caller is slow.
    def test_run_that_relays_to_a_slow_caller_is_not_silent(self):
        async def control(script):
            script.start("first", 9.0)
            await anyio.sleep(0)
            script.race.paused = True
            with anyio.move_on_after(5.0):
                await script.wait_for_silence()
                self.fail("silent")

        play(control)


if __name__ == "__main__":
    unittest.main()
