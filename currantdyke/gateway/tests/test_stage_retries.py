import unittest

import anyio

from currantdyke.gateway.tests.builders import plain_configuration
from currantdyke.testing.gateways import run_deployment, run_on_sockets

WINDOW_SECONDS = 10.0


class TestOwnersInTurn(unittest.TestCase):
    # Each owner in turn spent the retries of a whole window at once.
    @run_on_sockets
    async def test_owners_that_follow_each_other_share_the_retries_of_a_window(self):
        async with run_deployment(plain_configuration()) as deployment:
            owners = [await deployment.gateway() for _ in range(5)]
            slack = owners[0].settings.retry_slack
            now = anyio.current_time()
            spent = 0
            for number, owner in enumerate(owners):
                budget = owner.stages.retry_budget("rank")
                at = now + number * WINDOW_SECONDS / len(owners)
                budget.refilled_at = max(budget.refilled_at, at)
                while budget.spend(now=at + 2.0, daemons=1):
                    spent += 1
        self.assertLessEqual(spent, slack)
        self.assertGreater(spent, 0)


if __name__ == "__main__":
    unittest.main()
