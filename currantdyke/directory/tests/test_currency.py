import unittest

import anyio
import attrs

from currantdyke.core import Position
from currantdyke.directory import ChangeSet
from currantdyke.directory.endpoints import GRACE_PERIOD_SECONDS
from currantdyke.directory.follow import (
    LAPSE_HEARTBEATS,
    MAX_ANSWER_AGE_SECONDS,
    MIN_READ_INTERVAL_SECONDS,
    PEER_POLL_SECONDS,
    SLOW_ANSWER_SECONDS,
)
from currantdyke.directory.tests.builders import (
    FakeStore,
    build_configuration,
    build_directory,
    build_follower,
)
from currantdyke.platform.store import (
    Change,
    HistoryGoneError,
    StoreUnavailableError,
)
from currantdyke.testing.virtual import run_virtual
from currantdyke.timers import TimerService

FOLLOWED_SECONDS = 3.0
ENDPOINT_DOCUMENT = (
    b'{"service": "plain", "address": "10.0.0.1:80", "state": "ready", "zone": "z"}'
)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


async def follow(follower, seconds=FOLLOWED_SECONDS):
    with anyio.move_on_after(seconds):
        await follower.run()


class TestAge(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.directory = build_directory(self.clock)

    def apply(self, changes):
        async def scenario():
            self.directory.apply(changes, source="store")

        run_virtual(scenario)

    def test_empty_directory_decides_nothing(self):
        self.apply(ChangeSet(changes=(), revision=7))
        self.assertFalse(self.directory.decides)

    # Guards against final refusals from a state older than the users' bound.
    def test_state_older_than_the_bound_does_not_decide(self):
        self.apply(build_configuration(3, age=0.5))
        self.assertTrue(self.directory.decides)
        self.clock.now += self.directory.configuration_delay - 0.5
        self.assertFalse(self.directory.decides)

    def test_older_answer_does_not_make_the_state_older(self):
        self.apply(build_configuration(3))
        self.apply(build_configuration(4, age=2.0))
        self.assertEqual(self.directory.age, 0.0)

    # Guards against a restarted peer whose empty state passes for a current one.
    def test_sender_that_knows_less_does_not_make_the_state_current(self):
        self.apply(build_configuration(3, age=10.0))
        self.apply(ChangeSet(changes=(), revision=2))
        self.assertEqual(self.directory.age, 10.0)

    # Guards against final refusals by a daemon that could not read the new version.
    def test_unreadable_configuration_does_not_decide_until_one_is_readable(self):
        self.apply(build_configuration(3))
        self.apply(build_configuration(4, document=b"{"))
        self.assertFalse(self.directory.decides)
        old_version = build_configuration(2).changes[0]
        written_again = attrs.evolve(old_version, revision=5)
        self.apply(ChangeSet(changes=(written_again,), revision=5))
        self.assertFalse(self.directory.decides)
        self.apply(build_configuration(6))
        self.assertTrue(self.directory.decides)


class TestGracePeriod(unittest.TestCase):
    # Guards against endpoints that are gone and stay in use while peers ask each other.
    def test_peers_that_ask_each_other_end_the_grace_period_in_time(self):
        clock = Clock()
        first, second = build_directory(clock), build_directory(clock)
        gone = Change(key="servers/i", value=None, revision=2)

        async def scenario():
            for directory in (first, second):
                entry = Change(key="servers/i", value=ENDPOINT_DOCUMENT, revision=1)
                known = ChangeSet(changes=(entry,), revision=1)
                directory.apply(known, source="store")
            first.endpoints.start_grace_period()
            ended = ChangeSet(changes=(gone,), revision=2)
            first.apply(ended, source="store")
            for _ in range(12):
                for asking, asked in ((second, first), (first, second)):
                    changes = asked.changes_since(asking.replica.position)
                    asking.apply(changes, source="peer")
                clock.now += 0.25
                for directory in (first, second):
                    directory.endpoints.drop_lapsed()
            return [d.endpoints.usable("i") for d in (first, second)]

        self.assertEqual(run_virtual(scenario), [None, None])


class TestFollower(unittest.TestCase):
    # Guards against a state that seems new because its transfer took long.
    def test_age_counts_from_the_request_for_the_state(self):
        async def list_slowly():
            await anyio.sleep(1.0)
            return list(build_configuration(1).changes), Position(0, 1)

        async def never(*args):
            await anyio.sleep_forever()

        async def scenario():
            store = FakeStore(list_all=list_slowly, watch=never)
            follower = build_follower(store)
            await follow(follower, seconds=1.2)
            return follower.directory.age

        self.assertAlmostEqual(run_virtual(scenario), 1.2)

    # Guards against endpoints that stay in use while a long answer arrives.
    def test_lapsed_endpoint_is_dropped_in_time_while_the_store_is_read(self):
        entry = Change(key="servers/i", value=ENDPOINT_DOCUMENT, revision=1)
        answers = iter(
            [
                StoreUnavailableError("busy"),
                ([Change(key="servers/i", value=None, revision=2)], Position(0, 2)),
            ]
        )

        async def list_all():
            return [entry], Position(0, 1)

        async def watch(after, wait):
            answer = next(answers, None)
            if answer is None:
                await anyio.sleep_forever()
            if isinstance(answer, Exception):
                raise answer
            return answer

        async def scenario():
            # The store is away for as long as it takes an entry to lapse.
            heartbeat = MIN_READ_INTERVAL_SECONDS / LAPSE_HEARTBEATS
            store = FakeStore(list_all=list_all, watch=watch)
            follower = build_follower(store, heartbeat=heartbeat)
            timers = TimerService()
            timers.every(0.25, follower.expire_entries, name="expire")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timers.run)
                tasks.start_soon(follower.run)
                await anyio.sleep(MIN_READ_INTERVAL_SECONDS * 2 + 0.1)
                usable = [follower.directory.endpoints.usable("i") is not None]
                await anyio.sleep(GRACE_PERIOD_SECONDS + 0.5)
                usable.append(follower.directory.endpoints.usable("i") is not None)
                tasks.cancel_scope.cancel()
            return usable

        self.assertEqual(run_virtual(scenario), [True, False])

    # Guards against an answer that is thrown away and asked for again elsewhere.
    def test_old_answer_of_a_relay_is_used_while_the_store_is_lost(self):
        async def refuse(*args):
            raise StoreUnavailableError("status 429")

        async def answer(revision):
            return build_configuration(4, age=2 * MAX_ANSWER_AGE_SECONDS)

        async def scenario():
            follower = build_follower(
                FakeStore(list_all=refuse, watch=refuse), ask_relay=answer
            )
            follower.watching = True
            await follow(follower)
            directory = follower.directory
            return directory.routes.catalog.version, directory.decides

        self.assertEqual(run_virtual(scenario), (4, False))

    # Guards against a store that keeps a daemon from asking its peers in time.
    def test_peers_are_asked_while_the_store_refuses_or_responds_slowly(self):
        async def refuse():
            raise StoreUnavailableError("status 429")

        async def respond_slowly():
            await anyio.sleep_forever()

        async def scenario(list_all):
            requests = []

            async def answer(revision):
                requests.append(anyio.current_time())
                return build_configuration(1)

            store = FakeStore(list_all=list_all)
            follower = build_follower(store, ask_peer=answer)
            await follow(follower)
            return len(requests), follower.directory.decides

        for list_all in (refuse, respond_slowly):
            with self.subTest(list_all.__name__):
                count, decides = run_virtual(scenario, list_all)
                self.assertGreaterEqual(count, FOLLOWED_SECONDS / PEER_POLL_SECONDS - 1)
                self.assertTrue(decides)

    # Guards against a peer whose answer arrives without end, so that the store is not
    # read.
    def test_pause_of_a_read_ends_though_a_peer_keeps_answering(self):
        async def never(*args):
            await anyio.sleep_forever()

        async def scenario():
            store = FakeStore(list_all=never)
            store.answer_seconds = 2 * SLOW_ANSWER_SECONDS
            await follow(build_follower(store, ask_peer=never), seconds=10.0)
            return store.pauses

        pauses = run_virtual(scenario)
        self.assertGreater(len(pauses), 0)
        self.assertLess(pauses[0][1] - pauses[0][0], 2.5)

    # Guards against calls without pause to a store that also refuses the listing.
    def test_listing_without_history_is_not_repeated_at_once(self):
        calls = []

        async def gone(*args):
            calls.append(args)
            await anyio.sleep(0.001)
            raise HistoryGoneError

        async def scenario():
            follower = build_follower(FakeStore(list_all=gone, watch=gone))
            follower.watching = True
            await follow(follower)

        run_virtual(scenario)
        self.assertLessEqual(
            len(calls), 2 + FOLLOWED_SECONDS / MIN_READ_INTERVAL_SECONDS
        )

    # Guards against a store without any history that passes for one that answers.
    def test_peers_are_asked_while_the_store_has_no_history_to_list(self):
        requests = []

        async def gone(*args):
            raise HistoryGoneError

        async def answer(revision):
            requests.append(revision)

        async def scenario():
            store = FakeStore(list_all=gone, watch=gone)
            follower = build_follower(store, ask_peer=answer)
            follower.watching = True
            follower.directory.routes = object()
            follower.directory.listed = True
            await follow(follower)

        run_virtual(scenario)
        self.assertGreater(len(requests), 2)


if __name__ == "__main__":
    unittest.main()
