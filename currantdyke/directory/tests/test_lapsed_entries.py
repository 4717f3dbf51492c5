"""Which removed entries may have lapsed while the store was unavailable."""

import unittest

import anyio

from currantdyke.directory import ChangeSet
from currantdyke.directory.endpoints import GRACE_PERIOD_SECONDS
from currantdyke.directory.tests.builders import (
    HeartbeatStore,
    build_directory,
    build_entry,
    build_follower,
    in_virtual_time,
)
from currantdyke.platform.store import Change
from currantdyke.testing.virtual import run_virtual
from currantdyke.timers import TimerService

# Bound of the users on the time after which a removed endpoint gets no new work.
DRAIN_SECONDS = 2.0
SAMPLE_SECONDS = 0.05
REMOVED_AT = 6.0
# An outage in which all entries lapse.
LOST_AT, REGAINED_AT = 10.0, 14.5
ENTRY = Change(key="servers/i", value=build_entry(), revision=1)
REMOVAL = Change(key="servers/i", value=None, revision=2)


def away_for_moments(now):
    """Return whether a store is away that is lost for 0.4 s in each 1.5 s."""
    return now > 3.0 and now % 1.5 < 0.4


def away_once(now):
    """Return whether a store is away for longer than entries take to lapse."""
    return LOST_AT <= now < REGAINED_AT


async def observe(store, seconds, script=None, **options):
    """Follow a store with two endpoints; return when each was usable.

    Parameters
    ----------
    script : callable, optional
        Run beside the follower.

    Returns
    -------
    dict of str to list of float
        The times at which each endpoint was usable, by instance.
    """
    follower = build_follower(store, **options)
    timers = TimerService()
    timers.every(0.25, follower.expire_entries, name="expire")
    usable = {"i": [], "j": []}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.serve, "i", "j")
        tasks.start_soon(timers.run)
        tasks.start_soon(follower.run)
        if script is not None:
            tasks.start_soon(script, store)
        while anyio.current_time() < seconds:
            for instance, times in usable.items():
                if follower.directory.endpoints.usable(instance) is not None:
                    times.append(anyio.current_time())
            await anyio.sleep(SAMPLE_SECONDS)
        tasks.cancel_scope.cancel()
    return usable


async def remove_one(store):
    """Remove the entry of an endpoint that is leaving."""
    await anyio.sleep(REMOVED_AT)
    store.silent.add("i")
    store.remove("i")


async def remove_in_outage(store):
    """Let an endpoint end while the store is away."""
    await anyio.sleep(LOST_AT + 1.0)
    store.silent.add("i")


class TestFollower(unittest.TestCase):
    # Guards against work for endpoints that were removed from a store that answers
    # (review case 14).
    def test_removal_takes_effect_in_time_beside_short_disruptions(self):
        disruptions = {
            "none": {},
            "cut at once": {"cut_after": 0.05},
            "cut": {"cut_after": 0.2},
            "all cut": {"cut_after": 0.2, "cuts_answers": True},
            "away for moments": {"is_away": away_for_moments},
            "both": {"is_away": away_for_moments, "cut_after": 0.2},
        }
        for name, disruption in disruptions.items():
            with self.subTest(name):
                store = HeartbeatStore(**disruption)
                usable = run_virtual(observe, store, 12.0, remove_one)
                self.assertGreater(usable["i"][-1], REMOVED_AT - SAMPLE_SECONDS)
                self.assertLess(usable["i"][-1], REMOVED_AT + DRAIN_SECONDS)

    # The other side: endpoints that could not write while the store was away.
    def test_lapsed_entries_stay_in_use_until_they_are_back(self):
        for cut_after in (0.2, 10.0):
            with self.subTest(cut_after=cut_after):
                store = HeartbeatStore(is_away=away_once, cut_after=cut_after)
                usable = run_virtual(observe, store, 20.0, remove_in_outage)
                from_lost = [at for at in usable["j"] if at >= LOST_AT]
                samples = (20.0 - LOST_AT) / SAMPLE_SECONDS
                self.assertGreaterEqual(len(from_lost), samples - 1)
                # The entry that is still missing then is gone.
                latest = REGAINED_AT + GRACE_PERIOD_SECONDS + 1.0
                self.assertLess(usable["i"][-1], latest)

    # Guards against removals held back at each return of a daemon's own connection.
    def test_removal_takes_effect_at_once_after_an_outage_that_peers_did_not_see(self):
        store = HeartbeatStore()

        async def ask_peer(position):
            changes = tuple(store.history[position.revision :])
            return ChangeSet(changes=changes, revision=len(store.history))

        async def script(store):
            store.is_away = lambda now: 1.0 <= now < REMOVED_AT - 1.0
            await remove_one(store)

        usable = run_virtual(lambda: observe(store, 10.0, script, ask_peer=ask_peer))
        self.assertLess(usable["i"][-1], REMOVED_AT + GRACE_PERIOD_SECONDS / 2)

    # Guards against cuts that pass for outages, and against a log of two lines each.
    def test_cut_watch_is_no_outage(self):
        async def scenario():
            store = HeartbeatStore(cut_after=0.05)
            lines = []
            follower = build_follower(store)
            follower.log.write = lambda event, **fields: lines.append(event)
            with anyio.move_on_after(10.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(store.serve, "i")
                    tasks.start_soon(follower.run)
            return follower.watches_cut, lines.count("store_watch_cut"), lines

        cuts, logged, lines = run_virtual(scenario)
        self.assertGreater(cuts, 2)
        self.assertEqual(logged, 1)
        self.assertNotIn("store_lost", lines)

    def test_store_that_ends_after_a_cut_is_lost(self):
        async def scenario():
            store = HeartbeatStore(cut_after=0.05, is_away=lambda now: now > 1.0)
            follower = build_follower(store)
            with anyio.move_on_after(2.5):
                await follower.run()
            return follower.lost_since

        self.assertIsNotNone(run_virtual(scenario))


class TestDirectory(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.directory = build_directory(lambda: self.now)

    def is_usable(self):
        return self.directory.endpoints.usable("i") is not None

    # Guards against removals that wait for the grace periods of one daemon after
    # another.
    @in_virtual_time
    def test_grace_period_of_a_peer_holds_for_the_changes_that_it_sent(self):
        known = ChangeSet(changes=(ENTRY,), revision=1, grace_period=2.0)
        self.directory.apply(known, source="peer")
        removed = ChangeSet(changes=(REMOVAL,), revision=2)
        self.directory.apply(removed, source="store")
        self.assertFalse(self.is_usable())

    @in_virtual_time
    def test_removal_that_a_peer_sent_in_its_grace_period_is_passed_on_with_it(self):
        known = ChangeSet(changes=(ENTRY,), revision=1)
        self.directory.apply(known, source="store")
        removed = ChangeSet(changes=(REMOVAL,), revision=2, grace_period=1.5)
        self.directory.apply(removed, source="peer")
        self.now += 0.5
        passed_on = self.directory.changes_since(ENTRY.position)
        self.assertAlmostEqual(passed_on.grace_period, 1.0)
        self.assertTrue(self.is_usable())
        self.now += 1.1
        self.assertEqual(self.directory.endpoints.drop_lapsed(), ["i"])

    @in_virtual_time
    def test_later_grace_period_does_not_extend_that_of_a_lapsed_entry(self):
        table = self.directory.endpoints
        known = ChangeSet(changes=(ENTRY,), revision=1)
        self.directory.apply(known, source="store")
        table.start_grace_period()
        self.directory.apply(ChangeSet(changes=(REMOVAL,), revision=2), source="store")
        self.now += GRACE_PERIOD_SECONDS - 0.5
        table.start_grace_period()
        self.now += 0.6
        self.assertEqual(table.drop_lapsed(), ["i"])


if __name__ == "__main__":
    unittest.main()
