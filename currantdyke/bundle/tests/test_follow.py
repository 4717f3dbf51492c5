import random
import unittest

import anyio
import attrs
from expression import Ok

from currantdyke.bundle.change import Head, decode
from currantdyke.bundle.follow import POLL_SECONDS, choose_watchers
from currantdyke.bundle.stored import HEAD_KEY
from currantdyke.bundle.tests.builders import (
    accept,
    build_signed_bundle,
    platform,
    with_share,
)
from currantdyke.testing import fleet_in_memory, run_virtual
from currantdyke.timers import TimerService

FIRST = build_signed_bundle()


@attrs.define(kw_only=True)
class StaleStore:
    """Answers reads of the head with an old entry."""

    store: object
    entry: object

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def get(self, key, *, duty):
        if key == HEAD_KEY:
            return Ok(self.entry)
        return await self.store.get(key, duty=duty)


async def start(found, follower):
    timers = TimerService(random_source=follower.random_source)
    timers.every(POLL_SECONDS, follower.poll, name="poll", first_after=0.0)
    found.tasks.start_soon(timers.run)
    found.tasks.start_soon(follower.run)
    await anyio.sleep(0.1)


class TestFollower(unittest.TestCase):
    def test_watcher_has_a_change_at_once_with_two_calls(self):
        async def scenario():
            async with platform() as found:
                follower = found.follower()
                await accept(found.store(), FIRST)
                await start(found, follower)
                await accept(found.store(), with_share(FIRST, 2.0))
                calls, revision = found.key_value.calls, found.key_value.revision
                await anyio.sleep(0.05)
                return follower, found.key_value.calls - calls, revision

        follower, calls, _ = run_virtual(scenario)
        self.assertEqual(follower.feed.version, 2)
        self.assertLessEqual(calls, 2)

    def test_broken_watch_is_made_good_by_the_poll(self):
        async def scenario():
            async with platform() as found:
                follower = found.follower()
                await accept(found.store(), FIRST)
                await start(found, follower)
                found.key_value.faults.break_watches = True
                await accept(found.store(), with_share(FIRST, 2.0))
                await anyio.sleep(2 * POLL_SECONDS)
                return follower.feed.version

        self.assertEqual(run_virtual(scenario), 2)

    def test_stale_read_of_the_head_reverts_nothing(self):
        async def scenario():
            async with platform() as found:
                follower = found.follower()
                await accept(found.store(), FIRST)
                old = found.key_value.entries[HEAD_KEY].value
                await accept(found.store(), with_share(FIRST, 2.0))
                await follower.look()
                found.key_value.put(HEAD_KEY, old)
                await follower.look()
                held = await follower.take_head(decode(old, Head))
                return held, follower.feed.version, follower.feed.held.number

        self.assertEqual(run_virtual(scenario), (True, 2, 2))

    def test_daemon_far_behind_reads_only_the_parts_that_changed(self):
        async def scenario():
            async with platform() as found:
                follower = found.follower()
                await accept(found.store(), FIRST)
                await follower.look()
                for number in range(20):
                    await accept(found.store(), with_share(FIRST, 2.0 + number))
                calls = found.key_value.calls
                await follower.look()
                return follower.feed.version, found.key_value.calls - calls

        version, calls = run_virtual(scenario)
        self.assertEqual(version, 21)
        self.assertLessEqual(calls, 4)

    def test_damaged_part_keeps_the_version_in_force(self):
        async def scenario():
            async with platform() as found:
                follower = found.follower()
                await accept(found.store(), FIRST)
                await follower.look()
                await accept(found.store(), with_share(FIRST, 2.0))
                for key in [k for k in found.key_value.entries if "/part/" in k]:
                    found.key_value.put(key, b"[]")
                for key in [k for k in found.key_value.entries if "/record/" in k]:
                    found.key_value.put(key, b"{}")
                await follower.look()
                return follower.feed.version

        self.assertEqual(run_virtual(scenario), 1)

    def test_fresh_daemon_is_not_ready_below_the_head_while_the_store_answers(self):
        async def scenario():
            async with platform() as found:
                await accept(found.store(), FIRST)
                older = found.follower("entry-2")
                await older.look()
                await accept(found.store(), with_share(FIRST, 2.0))
                fresh = found.follower("entry-3")
                fresh.feed.offer(older.feed.update_since(0, 1_000_000))
                before = fresh.feed.version, fresh.is_ready()
                await fresh.look()
                return before, (fresh.feed.version, fresh.is_ready())

        before, after = run_virtual(scenario)
        self.assertEqual(before, (1, False))
        self.assertEqual(after, (2, True))

    def test_fresh_daemon_takes_the_peers_version_while_the_store_is_down(self):
        async def scenario():
            async with platform() as found:
                await accept(found.store(), FIRST)
                older = found.follower("entry-2")
                await older.look()
                found.key_value.faults.down = True
                fresh = found.follower("entry-3")
                await fresh.look()
                before = fresh.is_ready()
                fresh.feed.offer(older.feed.update_since(0, 1_000_000))
                return before, fresh.is_ready(), fresh.feed.version

        self.assertEqual(run_virtual(scenario), (False, True, 1))

    def test_old_read_does_not_make_a_restarted_daemon_serve_an_old_version(self):
        async def scenario():
            async with platform() as found:
                await accept(found.store(), FIRST)
                old = await found.store().get(HEAD_KEY, duty="test")
                await accept(found.store(), with_share(FIRST, 2.0))
                fresh = found.follower()
                fresh.store = StaleStore(store=found.store(), entry=old.ok)
                await fresh.look()
                return fresh.is_ready(), fresh.feed.version

        self.assertEqual(run_virtual(scenario), (True, 2))

    def test_few_daemons_of_a_region_watch_and_the_next_takes_over(self):
        members = [(f"entry-{i}", f"region-{i % 5}") for i in range(490)]
        chosen = [choose_watchers(members, f"region-{r}") for r in range(5)]
        self.assertEqual({len(names) for names in chosen}, {2})
        rest = [m for m in members if m[0] != chosen[0][0]]
        self.assertEqual(choose_watchers(rest, "region-0")[0], chosen[0][1])

    def test_some_daemon_of_a_region_looks_about_every_second(self):
        async def scenario():
            async with platform() as found:
                members = [(f"entry-{i}", "ng-west") for i in range(98)]
                followers = [
                    found.follower(
                        name,
                        live_members=lambda: members,
                        random_source=random.Random(number),
                    )
                    for number, (name, _) in enumerate(members)
                ]
                rounds = range(20)
                return [sum(f._is_drawn() for f in followers) for _ in rounds]

        looks = run_virtual(scenario)
        self.assertAlmostEqual(sum(looks) / len(looks), POLL_SECONDS, delta=1.5)
        self.assertGreater(min(looks), 0)

    def test_daemon_that_hears_from_peers_leaves_the_store_alone(self):
        async def scenario():
            async with platform() as found:
                await accept(found.store(), FIRST)
                members = [("entry-1", "ng-west"), ("entry-2", "ng-west")]
                members += [(f"other-{i}", "ng-west") for i in range(96)]
                watchers = choose_watchers(members, "ng-west")
                name = next(n for n, _ in members if n not in watchers)
                follower = found.follower(
                    name,
                    live_members=lambda: members,
                    random_source=random.Random(1),
                )
                await start(found, follower)
                calls = found.key_value.calls
                for _ in range(30):
                    await anyio.sleep(1.0)
                    follower.feed.heard()
                heard = found.key_value.calls - calls
                await anyio.sleep(30)
                return heard, found.key_value.calls - calls - heard

        heard, quiet = run_virtual(scenario)
        self.assertLessEqual(heard, 1)
        self.assertIn(quiet, range(4, 8))


class TestFleet(unittest.TestCase):
    def test_accepted_version_is_in_force_on_every_daemon_and_after_a_restart(self):
        async def scenario():
            async with fleet_in_memory(daemons=3) as fleet:
                await accept(fleet.store(), FIRST)
                await accept(fleet.store(), with_share(FIRST, 2.0))
                await anyio.sleep(POLL_SECONDS * 2)
                versions = [d.in_force.version for d in fleet.daemons.values()]
                fleet.kill_daemon("entry-1")
                fresh = await fleet.start_daemon("entry-1")
                unready = fresh.is_ready()
                await anyio.sleep(1.0)
                async with fleet.network.client() as client:
                    found = await client.get("http://entry-1:8081/configuration")
                return versions, unready, fresh.is_ready(), found.json()

        versions, unready, ready, state = run_virtual(scenario)
        self.assertEqual(versions, [2, 2, 2])
        self.assertEqual((unready, ready), (False, True))
        self.assertEqual((state["version"], state["signed_off_by"]), (2, "bola"))


if __name__ == "__main__":
    unittest.main()
