"""When a daemon may refuse for good by the configuration that it has in force."""

import unittest
import unittest.mock

import anyio
import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdyke.catalog import RouteTable
from currantdyke.core import Position
from currantdyke.directory import ChangeSet, Replica
from currantdyke.directory import directory as directory_module
from currantdyke.directory.directory import SEEK_ANSWERS, SEEK_SECONDS
from currantdyke.directory.follow import PEER_POLL_SECONDS
from currantdyke.directory.tests.builders import (
    FakeStore,
    ask,
    build_changes,
    build_configuration,
    build_directory,
    build_follower,
    in_virtual_time,
    tell,
)
from currantdyke.platform.store import Change, HistoryGoneError
from currantdyke.testing.virtual import run_virtual

KEY = "op/config"
UNUSABLE = b"{"
# For this long, a daemon that starts asks peers until one has answered.
ASKING_SECONDS = 2.0
# Time until a peer's answer, and interval at which a daemon is looked at.
ANSWER_SECONDS, SAMPLE_SECONDS = 0.4, 0.02
LARGE = b" " * 200_000
# Those that come more often are those by which a document is passed over.
ACTIONS = (
    *((("write", None), ("read", 0), ("tell", (0, 1))) * 3),
    *((("write", 1), ("tell", (1, 2)), ("tell nothing", (0, 1))) * 2),
    *(("write", step) for step in (-1, 0, 2)),
    *(("return", lost) for lost in (1, 3)),
    *((name, number) for name in ("read", "list", "start") for number in range(3)),
    ("tell", (2, 0)),
    ("tell nothing", (1, 2)),
)
STEPS = st.lists(st.sampled_from(ACTIONS), min_size=3, max_size=30)


def build_known(version, **changes):
    """Return a daemon that has a version."""
    directory = build_directory()
    directory.apply(build_configuration(version, **changes), source="store")
    return directory


def version_of(directory):
    return directory.routes.catalog.version


def offer_large(document, revision):
    """Return the offer of a document that is fetched in parts."""
    sender = Replica()
    sender.apply(build_configuration(8, document=document, revision=revision))
    return sender.offer_large(sender.changes_since(Position()), ())


class TestDocuments(unittest.TestCase):
    # Guards against a final refusal while the newest document is fetched, or if the one
    # that was fetched can't be used.
    @in_virtual_time
    def test_offered_document_counts_before_it_has_arrived(self):
        directory = build_known(7)
        changes = offer_large(LARGE, 8)
        offer = attrs.evolve(changes.offers[0], data=b"")
        directory.apply(attrs.evolve(changes, offers=(offer,)), source="peer")
        self.assertFalse(directory.decides)
        directory.apply_value(offer, LARGE)
        directory.apply(build_changes(0, 9), source="store")
        self.assertEqual(directory.replica.position, Position(0, 9))
        self.assertFalse(directory.decides)

    # Guards against an error of our own by which a version is passed over.
    @in_virtual_time
    def test_document_whose_use_fails_does_not_decide(self):
        for place, name in ((RouteTable, "of"), (directory_module, "decode_record")):
            with self.subTest(name):
                directory = build_known(7)
                with unittest.mock.patch.object(place, name, side_effect=TypeError):
                    directory.apply(build_configuration(8), source="store")
                directory.apply(build_changes(0, 9), source="store")
                starting = build_directory()
                tell(directory, starting)
                self.assertEqual((version_of(directory), version_of(starting)), (7, 7))
                self.assertEqual((directory.decides, starting.decides), (False, False))
                directory.apply(build_configuration(10), source="store")
                self.assertTrue(directory.decides)

    # Guards against a document that is dropped with its item.
    @in_virtual_time
    def test_last_document_is_kept_and_passed_on_though_its_item_is_gone(self):
        for gone in (build_changes(0, 9, **{KEY: None}), snapshot(0, 9)):
            directory, starting = build_known(7), build_directory()
            directory.apply(gone, source="store")
            tell(directory, starting)
            self.assertEqual((version_of(directory), version_of(starting)), (7, 7))

    # Guards against daemons that start and get only a document that can't be used.
    @in_virtual_time
    def test_document_that_was_rejected_before_is_not_passed_on(self):
        directory, starting = build_known(7), build_directory()
        first, second = (
            build_configuration(number, document=UNUSABLE) for number in (8, 9)
        )
        directory.apply(first, source="store")
        both = ChangeSet(changes=first.changes + second.changes, revision=9)
        directory.apply(both, source="store")
        tell(directory, starting)
        self.assertIsNotNone(starting.routes)
        self.assertEqual((version_of(directory), version_of(starting)), (7, 7))

    # Guards against a large document that is in force and not passed on.
    @in_virtual_time
    def test_document_is_passed_on_though_its_removal_came_with_it(self):
        directory, starting = build_known(7), build_directory()
        written = build_configuration(8, routes=100).changes
        removed = build_changes(0, 9, **{KEY: None}).changes
        directory.apply(ChangeSet(changes=written + removed, revision=9), source="any")
        tell(directory, starting)
        self.assertEqual((version_of(directory), version_of(starting)), (8, 8))


class TestVersions(unittest.TestCase):
    # Guards against final refusals by a version before one that a list does not show.
    @in_virtual_time
    def test_list_without_the_item_ends_final_refusals(self):
        directory, peer = build_known(7), build_known(8)
        directory.apply(snapshot(0, 9), source="store")
        self.assertFalse(directory.decides)
        peer.apply(build_changes(0, 9, **{KEY: None}), source="store")
        tell(peer, directory)
        self.assertEqual(version_of(directory), 8)

    # Guards against final refusals by a version that the operators may have withdrawn.
    @in_virtual_time
    def test_lower_version_ends_final_refusals_until_the_higher_is_written_again(self):
        directory = build_known(7)
        for version, revision, decides in ((6, 8, False), (7, 9, True), (7, 10, True)):
            directory.apply(
                build_configuration(version, revision=revision), source="store"
            )
            self.assertEqual((version_of(directory), directory.decides), (7, decides))
        self.assertEqual(directory.configured_at, Position(0, 10))

    # Guards against peers that start with an older version than this daemon has.
    @in_virtual_time
    def test_lower_version_is_not_passed_on(self):
        directory, starting = build_known(7), build_directory()
        directory.apply(build_configuration(6, revision=8), source="store")
        tell(directory, starting)
        self.assertEqual((version_of(starting), starting.decides), (7, False))

    # Guards against the older of two documents of one version.
    @in_virtual_time
    def test_last_of_two_documents_of_a_version_counts(self):
        directory = build_known(7)
        changed = build_configuration(7, revision=9, routes=2)
        directory.apply(changed, source="store")
        self.assertEqual(len(directory.routes.catalog.routes), 2)
        self.assertTrue(directory.decides)
        directory.apply(build_configuration(7, revision=8), source="peer")
        self.assertEqual(len(directory.routes.catalog.routes), 2)

    # Guards against the order of the documents within one answer.
    @in_virtual_time
    def test_highest_of_several_documents_counts(self):
        directory = build_known(7)
        higher = build_configuration(9, revision=8).changes
        lower = build_configuration(8, revision=9).changes
        directory.apply(ChangeSet(changes=higher + lower, revision=9), source="store")
        self.assertEqual((version_of(directory), directory.decides), (9, False))

    # Guards against a daemon that starts while the store has the version of a copy.
    @in_virtual_time
    def test_daemon_that_starts_does_not_decide_by_a_lower_version_than_peers_have(
        self,
    ):
        starting, peer = build_directory(), build_known(7, era=1)
        copy = build_configuration(6, era=2, revision=3, is_snapshot=True)
        for directory in (starting, peer):
            directory.apply(copy, source="store")
        tell(peer, starting)
        self.assertFalse(starting.decides)
        starting.apply(build_configuration(7, era=2, revision=4), source="store")
        self.assertEqual((version_of(starting), starting.decides), (7, True))


class TestEras(unittest.TestCase):
    # Guards against final refusals while the state of the new era is not known.
    @in_virtual_time
    def test_era_that_is_not_listed_ends_final_refusals(self):
        directory = build_known(7, era=1)
        directory.apply(build_changes(2, 5), source="peer")
        self.assertFalse(directory.decides)
        directory.apply(
            build_configuration(7, era=2, revision=5, is_snapshot=True), source="store"
        )
        self.assertTrue(directory.decides)

    @in_virtual_time
    def test_copy_without_the_version_ends_final_refusals_until_it_is_written(self):
        for copy in (build_configuration(6, era=2, is_snapshot=True), snapshot(2, 6)):
            directory = build_known(7, era=1)
            directory.apply(copy, source="store")
            self.assertEqual((version_of(directory), directory.decides), (7, False))
            directory.apply(build_configuration(7, era=2, revision=8), source="store")
            self.assertTrue(directory.decides)


class TestPeers(unittest.TestCase):
    # Guards against a daemon that is complete before it has read the store.
    @in_virtual_time
    def test_daemon_that_is_complete_by_a_peer_knows_what_the_peer_rejected(self):
        peer, starting = build_known(7), build_directory()
        peer.apply(build_configuration(8, document=UNUSABLE), source="store")
        tell(peer, starting)
        self.assertEqual((version_of(starting), starting.decides), (7, False))

    # Guards against an answer that arrives late and hides what is known by then.
    @in_virtual_time
    def test_late_answer_does_not_hide_a_newer_document(self):
        directory, peer = build_known(7), build_known(7)
        peer.apply(build_changes(0, 9), source="store")
        late = peer.changes_since(directory.replica.position)
        directory.apply(
            build_configuration(10, document=UNUSABLE, age=1.0), source="store"
        )
        directory.apply(late, source="peer")
        self.assertFalse(directory.decides)

    # Guards against final refusals by what a peer of an earlier build passes over.
    @in_virtual_time
    def test_position_of_a_peer_that_tells_nothing_ends_final_refusals(self):
        directory, other = build_known(7), build_known(7)
        directory.apply(untold(9), source="peer")
        self.assertFalse(directory.decides)
        tell(directory, other)
        directory.apply(build_changes(0, 10), source="store")
        self.assertEqual((directory.decides, other.decides), (False, False))

    # Guards against a state that lasts longer than its reason.
    @in_virtual_time
    def test_list_or_peer_or_next_version_allows_final_refusals_again(self):
        peer = build_known(7)
        peer.apply(build_changes(0, 10), source="store")
        listed = build_configuration(7, is_snapshot=True)
        for changes in (
            attrs.evolve(listed, revision=10),
            peer.changes_since(Position(0, 9)),
            build_configuration(11),
        ):
            directory = build_known(7)
            directory.apply(untold(9), source="peer")
            directory.apply(changes, source="any")
            self.assertTrue(directory.decides)

    # Guards against requests that run by an older version than peers have in force.
    @in_virtual_time
    def test_version_before_an_unusable_one_is_learned_from_peers(self):
        directory, peer = build_known(7), build_known(8)
        unusable = build_configuration(9, document=UNUSABLE)
        peer.apply(unusable, source="store")
        directory.apply(attrs.evolve(unusable, is_snapshot=True), source="store")
        tell(peer, directory)
        self.assertEqual(version_of(directory), 8)

    # Guards against a position before the version, where the history of the store is
    # gone, and against an age that grows, if a peer offers the version and ends.
    @in_virtual_time
    def test_offer_of_a_version_that_was_passed_over_holds_nothing_up(self):
        directory = build_known(7)
        unusable = build_configuration(9, document=UNUSABLE, is_snapshot=True)
        directory.apply(unusable, source="store")
        offers = offer_large(LARGE, 8)
        offer = attrs.evolve(offers.offers[0], data=b"")
        directory.apply(attrs.evolve(offers, offers=(offer,)), source="peer")
        self.assertEqual(directory.replica.position, Position(0, 9))
        self.assertIsNotNone(directory.seeks_after)
        directory.apply(build_changes(0, 10), source="store")
        self.assertEqual((directory.age, directory.replica.revision), (0.0, 10))

    # Guards against the same at daemons whose relay learns of the version later.
    def test_version_that_a_relay_has_learned_late_is_passed_on(self):
        async def scenario():
            directory, relay, peer = build_known(7), build_known(7), build_known(8)
            unusable = build_configuration(9, document=UNUSABLE)
            peer.apply(unusable, source="store")
            relay.apply(attrs.evolve(unusable, is_snapshot=True), source="store")
            tell(relay, directory)
            tell(peer, relay)
            await anyio.sleep(SEEK_SECONDS + 1.0)
            self.assertIsNone(directory.seeks_after)
            tell(relay, directory)
            self.assertEqual(directory.replica.position, relay.replica.position)
            tell(relay, directory)
            return version_of(directory)

        self.assertEqual(run_virtual(scenario), 8)


class TestFollower(unittest.TestCase):
    # Guards against a daemon that starts with the store's copy and asks nobody.
    def test_one_peer_is_asked_after_the_start(self):
        async def scenario(answers):
            asked = []

            async def list_all():
                return list(build_configuration(6, era=2).changes), Position(2, 6)

            async def watch(after, wait):
                await anyio.sleep(wait)
                return [], after

            async def ask(position):
                asked.append(position)
                if not answers:
                    return None
                peer = build_known(7, era=1)
                peer.apply(
                    build_configuration(6, era=2, is_snapshot=True), source="store"
                )
                return peer.changes_since(position)

            store = FakeStore(list_all=list_all, watch=watch)
            follower = build_follower(store, ask_peer=ask)
            with anyio.move_on_after(3 * ASKING_SECONDS):
                await follower.run()
            return len(asked), follower.directory.decides

        self.assertEqual(run_virtual(scenario, True), (1, False))
        asked, decides = run_virtual(scenario, False)
        self.assertTrue(decides)
        self.assertLessEqual(asked, ASKING_SECONDS / PEER_POLL_SECONDS + 1)

    # From a run of the soak: a daemon that had missed version 7, as it started or had
    # been paused, refused by the copy of the store before a peer told of that version.
    def test_no_refusal_is_final_before_a_peer_has_told_which_versions_exist(self):
        async def scenario(returns_at):
            def era():
                return 2 if anyio.current_time() >= started + returns_at else 1

            async def list_all():
                return list(build_configuration(6, era=era()).changes), Position(
                    era(), 6
                )

            async def watch(after, wait):
                await anyio.sleep(wait)
                if after.era < era():
                    raise HistoryGoneError("the store has returned")
                return [], after

            async def ask(position):
                await anyio.sleep(ANSWER_SECONDS)
                if era() == 1:
                    return build_known(6, era=1).changes_since(position)
                peer = build_known(7, era=1)
                copy = build_configuration(6, era=2, is_snapshot=True)
                peer.apply(copy, source="store")
                return peer.changes_since(position)

            started = anyio.current_time()
            store = FakeStore(list_all=list_all, watch=watch)
            follower = build_follower(store, ask_peer=ask)
            directory = follower.directory
            decided = {1: False, 2: False}
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                for _ in range(int((returns_at + ASKING_SECONDS) / SAMPLE_SECONDS)):
                    await anyio.sleep(SAMPLE_SECONDS)
                    decided[max(1, directory.era)] |= directory.decides
                tasks.cancel_scope.cancel()
            return directory.era, decided[1], decided[2]

        self.assertEqual(run_virtual(scenario, 0.0), (2, False, False))
        self.assertEqual(run_virtual(scenario, 5.0), (2, True, False))

    # Guards against final refusals by the copy of the store, after the answer of one
    # that has started too and was not told itself.
    def test_answer_of_a_daemon_that_was_told_nothing_itself_is_not_enough(self):
        async def scenario():
            async def list_all():
                return list(copy.changes), copy.position

            async def watch(after, wait):
                await anyio.sleep(wait)
                return [], after

            async def ask_earlier(position):
                await anyio.sleep(ANSWER_SECONDS)
                return earlier.changes_since(position)

            async def ask_first(position):
                return first.directory.changes_since(position)

            earlier = build_known(7, era=1)
            copy = build_configuration(6, era=2, revision=3, is_snapshot=True)
            earlier.apply(copy, source="store")
            store = FakeStore(list_all=list_all, watch=watch)
            first = build_follower(store, ask_peer=ask_earlier)
            second = build_follower(store, ask_peer=ask_first)
            decided = False
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(first.run)
                tasks.start_soon(second.run)
                for _ in range(int(3 * ASKING_SECONDS / SAMPLE_SECONDS)):
                    await anyio.sleep(SAMPLE_SECONDS)
                    decided |= first.directory.decides or second.directory.decides
                tasks.cancel_scope.cancel()
            return decided

        self.assertFalse(run_virtual(scenario))

    # Guards against a daemon that reads the store, and passes over a version whose
    # history is gone; and against peers that are asked for it again and again.
    def test_peers_are_asked_for_a_version_that_was_passed_over(self):
        async def scenario(version, silent_seconds):
            written = [(6, None)]
            asked = []

            def list_now():
                (number, document) = written[-1]
                changes = build_configuration(number, document=document).changes
                return list(changes), Position(0, number)

            async def list_all():
                return list_now()

            async def watch(after, wait):
                await anyio.sleep(wait)
                if written[-1][0] > after.revision:
                    raise HistoryGoneError("the history is dropped")
                return [], after

            async def ask_peer(position):
                peer = build_known(version if len(written) > 1 else 6)
                peer.apply(build_changes(0, written[-1][0]), source="store")
                if anyio.current_time() < written_at + silent_seconds:
                    return None
                asked.append(position)
                return ask(peer, directory, position)

            store = FakeStore(list_all=list_all, watch=watch)
            follower = build_follower(store, ask_peer=ask_peer)
            directory = follower.directory
            written_at = -silent_seconds
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                await anyio.sleep(ASKING_SECONDS)
                asked.clear()
                written_at = anyio.current_time()
                written.append((9, UNUSABLE))
                await anyio.sleep(30.0)
                tasks.cancel_scope.cancel()
            return version_of(directory), len(asked), directory.decides

        for version, silent_seconds in ((6, 0.0), (8, 0.0), (8, 4.0)):
            with self.subTest(version=version, silent_seconds=silent_seconds):
                found, asked, decides = run_virtual(scenario, version, silent_seconds)
                self.assertEqual((found, decides), (version, False))
                # The answer by which the version is learned of begins the search anew.
                self.assertLessEqual(asked, SEEK_ANSWERS + 1)

    # Guards against 503 for all that callers may not do, until the next version, after
    # a start beside a daemon of an earlier build.
    def test_start_beside_an_earlier_build_allows_final_refusals(self):
        async def scenario():
            async def list_all():
                return list(build_configuration(7).changes), Position(0, 7)

            async def watch(after, wait):
                await anyio.sleep(wait)
                return [], Position(0, after.revision + 1)

            async def ask(position):
                return untold(position.revision + 1)

            store = FakeStore(list_all=list_all, watch=watch)
            follower = build_follower(store, ask_peer=ask)
            with anyio.move_on_after(3 * ASKING_SECONDS):
                await follower.run()
            return follower.directory.decides

        self.assertTrue(run_virtual(scenario))


class TestAnyOrder(unittest.TestCase):
    # Guards against any order of writes, reads and answers of peers after which a
    # daemon decides by another document than the last one up to its position.
    @settings(max_examples=400, deadline=None)
    @given(STEPS)
    def test_daemon_that_decides_has_the_last_document_up_to_its_position(self, steps):
        run_virtual(self.play, steps)

    async def play(self, steps):
        store = Store()
        daemons = [build_directory() for _ in range(3)]
        for daemon in daemons:
            daemon.apply(store.list_all(), source="store")
        highest = [1, 1, 1]
        for name, argument in steps:
            if name == "write":
                store.write(argument)
            elif name == "return":
                store.return_from_copy(argument)
            elif name == "tell":
                tell(daemons[argument[0]], daemons[argument[1]])
            elif name == "tell nothing":
                sender, receiver = (daemons[number] for number in argument)
                changes = sender.changes_since(receiver.replica.position)
                receiver.apply(attrs.evolve(changes, newest=None), source="peer")
            elif name == "start":
                daemons[argument], highest[argument] = build_directory(), -1
            elif name == "read" and daemons[argument].era == store.era:
                changes = store.changes_after(daemons[argument].replica.revision)
                daemons[argument].apply(changes, source="store")
            else:
                daemons[argument].apply(store.list_all(), source="store")
            for number, daemon in enumerate(daemons):
                version = -1 if daemon.routes is None else version_of(daemon)
                self.assertGreaterEqual(version, highest[number])
                highest[number] = version
                if daemon.decides:
                    last = store.last_up_to(daemon.replica.position)
                    self.assertEqual(daemon.configured_at, last.position)
                    self.assertEqual(
                        daemon.replica.items[KEY].value, last.value, daemon.newest
                    )


class Store:
    """The configurations that were written to a store, in each of its eras.

    Attributes
    ----------
    eras : list of list of Change
        By era from 1; the first of each is the one of the copy.
    """

    def __init__(self):
        self.version, self.eras = 1, [[]]
        self.write(0)

    @property
    def era(self):
        return len(self.eras)

    def write(self, step):
        """Write the version after a step from the last; None: an unusable document."""
        if step is not None:
            self.version = max(1, self.version + step)
        document = UNUSABLE if step is None else None
        history = self.eras[-1]
        revision = history[-1].revision + 2 if history else 10
        history += build_configuration(
            self.version, document=document, era=self.era, revision=revision
        ).changes

    def return_from_copy(self, lost):
        """Lose the last writes, all but one at most."""
        copied = self.eras[-1][: max(1, len(self.eras[-1]) - lost)][-1]
        self.eras.append([attrs.evolve(copied, era=self.era + 1)])

    def list_all(self):
        last = self.eras[-1][-1]
        return ChangeSet(
            changes=(last,), revision=last.revision, era=self.era, is_snapshot=True
        )

    def changes_after(self, revision):
        history = self.eras[-1]
        return ChangeSet(
            changes=tuple(item for item in history if item.revision > revision),
            revision=history[-1].revision + 1,
            era=self.era,
        )

    def last_up_to(self, position) -> Change:
        history = self.eras[position.era - 1]
        return [item for item in history if item.revision <= position.revision][-1]


def snapshot(era, revision):
    return build_changes(era, revision, is_snapshot=True)


def untold(revision):
    """Return an answer of an earlier build, which tells no configurations."""
    return attrs.evolve(build_changes(0, revision), newest=None)


if __name__ == "__main__":
    unittest.main()
