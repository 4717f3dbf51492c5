import unittest
from unittest import mock

from currantdyke.directory import follow, ranking
from currantdyke.gateway.tests.configuration_builders import (
    follow_large_versions,
    wait_for_daemons,
)
from currantdyke.testing.gateways import run_on_sockets

# The users' upper bounds on the times until a version is in force, and until an
# endpoint that leaves gets no more requests. They hold whatever the size of a change.
IN_FORCE_SECONDS = 2.0
LEAVING_SECONDS = 2.0


async def refuse_slow(deployment, slow):
    """Make the store refuse the gateways on slow links."""
    await wait_for_daemons(deployment)
    deployment.store.affected_hosts = {gateway.settings.ip for gateway in slow}
    deployment.store.fault = "busy"


async def know_all(deployment, slow):
    """Let the gateways know each other, and so the relays."""
    await wait_for_daemons(deployment)


class TestLargeChanges(unittest.TestCase):
    def check(self, followed):
        with self.subTest("version"):
            self.assertLessEqual(followed.latest_in_force, IN_FORCE_SECONDS)
        with self.subTest("endpoint that leaves"):
            self.assertLessEqual(followed.last_request, LEAVING_SECONDS)

    # Issue 32: each small change was transferred as the whole document, and what
    # followed it waited.
    @run_on_sockets
    async def test_slow_readers_of_the_store_follow_small_changes_in_time(self):
        self.check(await follow_large_versions(bytes_per_second=60_000))

    # Issue 32: the same between daemons.
    @run_on_sockets
    async def test_slow_gateways_that_the_store_refuses_follow_in_time(self):
        followed = await follow_large_versions(
            bytes_per_second=40_000, prepare=refuse_slow
        )
        self.check(followed)

    # Issue 32: the same in a fleet with relays.
    @run_on_sockets
    async def test_slow_followers_of_relays_follow_in_time(self):
        with (
            mock.patch.object(follow, "MAX_READERS", 1),
            mock.patch.object(ranking, "MAX_READERS", 1),
            mock.patch.object(ranking, "RELAY_COUNT", 2),
        ):
            followed = await follow_large_versions(
                bytes_per_second=40_000, prepare=know_all
            )
        self.check(followed)


if __name__ == "__main__":
    unittest.main()
