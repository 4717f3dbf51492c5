import unittest

import anyio

from currantdyke.testing.change_fleet import run_change_fleet
from currantdyke.testing.virtual import run_virtual

# The users' upper bound on the time until a configuration is in force.
IN_FORCE_SECONDS = 2.0
# What a daemon may use for coordination, and changes in a day at the design size.
BYTES_PER_SECOND = 10_000
CHANGES_PER_SECOND = 16_000 / 86_400
# 5 and 350 Mbit/s.
SLOW_LINK, FAST_LINK = 625_000.0, 43_750_000.0
# What is left of a slow link beside the traffic of its daemon.
BUSY_LINK = 60_000.0
SETTLE_SECONDS = 5.0
# A fleet with relays; 110 daemons give the same figures, and take two minutes.
RELAYED = 26
WATCHED_SECONDS = 10.0


async def start_fleet(fleet, daemons, *, fast, slow_link):
    """Start daemons with a large configuration, and wait until they are idle."""
    for number in range(daemons):
        fleet.add_daemon(
            number,
            bytes_per_second=FAST_LINK if number < fast else slow_link,
            fast=number < fast,
        )
    fleet.configure(1)
    fleet.start()
    await fleet.wait_for(1)
    await anyio.sleep(SETTLE_SECONDS)


async def measure(daemons, *, fast, slow_link=SLOW_LINK, refused=0.0):
    """Return figures on a small change to a large configuration, and on idle daemons.

    Parameters
    ----------
    refused : float
        Share of the daemons that the store refuses, the first of the fast ones among
        them.

    Returns
    -------
    tuple of float
        Seconds until the change is in force everywhere; bytes that the change costs the
        busiest daemon behind a slow link, beside those of an idle one; bytes and
        messages a second of an idle daemon.
    """
    async with run_change_fleet() as fleet:
        await start_fleet(fleet, daemons, fast=fast, slow_link=slow_link)
        known = list(fleet.daemons.values())
        for daemon in known[: int(refused * fast)]:
            daemon.store.refuses = True
        for daemon in known[fast : fast + int(refused * (daemons - fast))]:
            daemon.store.refuses = True
        await anyio.sleep(SETTLE_SECONDS)
        before, messages = fleet.bytes(), fleet.messages
        await anyio.sleep(WATCHED_SECONDS)
        idle = [b - a for a, b in zip(before, fleet.bytes(), strict=True)]
        messages = fleet.messages - messages
        before = fleet.bytes()
        fleet.configure(2)
        seconds = await fleet.wait_for(2)
        await anyio.sleep(WATCHED_SECONDS - seconds)
        busy = [b - a for a, b in zip(before, fleet.bytes(), strict=True)]
        cost = [b - a for a, b in zip(idle, busy, strict=True)]
        return (
            seconds,
            max(cost[fast:], default=0),
            max(idle[fast:], default=0) / WATCHED_SECONDS,
            messages / WATCHED_SECONDS / daemons,
        )


async def follow_beside_traffic(daemons, *, fast, connections, changes, seed=1):
    """Return the seconds until each change is in force behind links that are full.

    Parameters
    ----------
    connections : int
        Other connections on each slow link, which use it as much as they can.
    """
    async with run_change_fleet(seed=seed) as fleet:
        await start_fleet(fleet, daemons, fast=fast, slow_link=BUSY_LINK)
        for daemon in list(fleet.daemons.values())[fast:]:
            fleet.occupy(daemon, connections)
        seconds = []
        for version in range(2, 2 + changes):
            fleet.configure(version)
            seconds.append(await fleet.wait_for(version))
            # Some of the changes come after peers are no longer preferred.
            await anyio.sleep(SETTLE_SECONDS * version)
        return seconds


class TestSmallChange(unittest.TestCase):
    # Issue 32: a change of one route was sent as the whole document, 35 KB compressed.
    def test_small_change_costs_little_in_a_fleet_with_relays(self):
        seconds, cost, idle, messages = run_virtual(measure, RELAYED, fast=8)
        self.assertLessEqual(seconds, IN_FORCE_SECONDS)
        self.assertLess(cost, 2_000)
        self.assertLess(idle + CHANGES_PER_SECOND * cost, BYTES_PER_SECOND)
        self.assertLess(messages, 4.0)

    # Issue 32: relays that the store refuses passed on what they had, and each follower
    # read the whole document from the store.
    def test_change_reaches_slow_links_though_the_store_refuses_a_third(self):
        seconds, cost, _, _ = run_virtual(
            measure, RELAYED, fast=8, slow_link=BUSY_LINK, refused=0.34
        )
        self.assertLessEqual(seconds, IN_FORCE_SECONDS)
        self.assertLess(cost, 60_000)

    # Issue 32: each daemon reads the store itself, whose answer takes 7.5 s here.
    def test_change_reaches_slow_links_in_a_small_fleet(self):
        seconds, _, _, _ = run_virtual(measure, 12, fast=6, slow_link=BUSY_LINK)
        self.assertLessEqual(seconds, IN_FORCE_SECONDS)

    def test_change_reaches_two_daemons(self):
        seconds, _, _, _ = run_virtual(measure, 2, fast=1, slow_link=BUSY_LINK)
        self.assertLessEqual(seconds, IN_FORCE_SECONDS)

    # Issue 32: the answer of the store kept the peers' answers from arriving in time,
    # so that these were taken for failed.
    def test_change_reaches_full_links_beside_the_answer_of_the_store(self):
        for daemons, fast in ((2, 1), (12, 6)):
            with self.subTest(daemons=daemons):
                seconds = run_virtual(
                    follow_beside_traffic, daemons, fast=fast, connections=2, changes=6
                )
                self.assertLessEqual(max(seconds), IN_FORCE_SECONDS, seconds)

    # Nobody else may know what a daemon on a slow link reads.
    def test_daemons_on_slow_links_alone_read_the_store(self):
        seconds, _, _, _ = run_virtual(measure, 12, fast=0, slow_link=SLOW_LINK)
        self.assertLessEqual(seconds, IN_FORCE_SECONDS)


if __name__ == "__main__":
    unittest.main()
