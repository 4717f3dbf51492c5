import itertools
import math
import unittest

import anyio
import attrs

from currantdyke.core import Position
from currantdyke.directory import ChangeSet, Replica
from currantdyke.directory.newest import NewestConfiguration
from currantdyke.directory.tests.builders import (
    build_configuration,
    build_directory,
    in_virtual_time,
)
from currantdyke.links import ChangesRequest, Frame, Unknown
from currantdyke.links.changes import ABANDON_SECONDS, ChangesClient, answer_changes
from currantdyke.links.codec import SCHEMA, decode_frame, encode_frame
from currantdyke.links.tests.builders import (
    PORT,
    build_changes,
    build_entry,
    build_peers,
    run_daemons,
    run_linked,
    serve_slowly,
)
from currantdyke.testing.gateways import record_lines, run_on_sockets
from currantdyke.testing.virtual import run_virtual

LARGE_ROUTES = 2_000
POLL_SECONDS = 0.4
CHANGES = build_changes(value_bytes=100_000)


async def never_respond(link, content):
    await anyio.sleep_forever()


def build_known(version, routes=LARGE_ROUTES):
    """Return a daemon that has a version in era 2."""
    directory = build_directory()
    directory.apply(build_configuration(version, era=2, routes=routes), source="store")
    return directory


def losses(lines):
    """Return the lines on changes that were not received."""
    return [line for line in lines if line["event"] == "changes_not_received"]


class TestLogOfMissingChanges(unittest.TestCase):
    # Guards against a slow transfer, a busy peer and a dead one that look the same in
    # the log.

    @run_on_sockets
    async def test_daemon_that_refuses_connections_is_logged_once(self):
        asking = build_peers(11, known=[build_entry(12)])
        lines = record_lines(asking.log)
        async with run_daemons(asking):
            for _ in range(3):
                asking.suspects.clear()
                self.assertIsNone(await asking.ask_changes(Position(0, 1)))
        (line,) = losses(lines)
        self.assertEqual(line["peer"], build_entry(12).ip)
        self.assertEqual(line["reason"], "no connection")
        self.assertEqual(line["received_bytes"], 0)

    @run_on_sockets
    async def test_busy_daemon_is_logged_as_over_the_time_limit(self):
        asking = build_peers(13, known=[build_entry(14)])
        lines = record_lines(asking.log)
        busy_daemon = build_peers(14, handle_request=never_respond)
        async with run_daemons(asking, busy_daemon):
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
        (line,) = losses(lines)
        self.assertEqual(line["reason"], "time limit")
        self.assertGreaterEqual(line["seconds"], 0.5)

    @run_on_sockets
    async def test_received_part_of_a_lost_response_is_logged(self):
        async def send_part(stream):
            await stream.receive()
            await stream.send((100_000).to_bytes(4, "big") + bytes(5_000))
            await anyio.sleep(0.1)
            await stream.aclose()

        silent = build_entry(16)
        asking = build_peers(15, known=[silent])
        lines = record_lines(asking.log)
        listener = await anyio.create_tcp_listener(
            local_host=silent.ip, local_port=PORT
        )
        async with listener, run_daemons(asking):
            asking.tasks.start_soon(listener.serve, send_part)
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
        (line,) = losses(lines)
        self.assertEqual(line["reason"], "link lost")
        self.assertEqual(line["received_bytes"], 5_004)


class TestSuspicionAfterMissingChanges(unittest.TestCase):
    @run_on_sockets
    async def test_busy_daemon_is_not_suspected(self):
        """Guards against ownership that moves away from a daemon that only is slow."""
        busy = build_entry(18)
        asking = build_peers(17, known=[busy])
        busy_daemon = build_peers(18, handle_request=never_respond)
        async with run_daemons(asking, busy_daemon):
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
        self.assertEqual(asking.others(), [busy])

    @run_on_sockets
    async def test_silent_daemon_is_suspected(self):
        """Guards against a frozen daemon that is taken for a busy one."""

        async def stay_silent(stream):
            await anyio.sleep_forever()

        frozen = build_entry(20)
        asking = build_peers(19, known=[frozen])
        listener = await anyio.create_tcp_listener(
            local_host=frozen.ip, local_port=PORT
        )
        async with listener, run_daemons(asking):
            asking.tasks.start_soon(listener.serve, stay_silent)
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
        self.assertEqual(asking.others(), [])


class TestRequestsUnderWay(unittest.TestCase):
    @run_on_sockets
    async def test_late_response_is_used_by_the_next_request(self):
        """Guards against a response that fills the link and is then thrown away."""
        requests = []

        async def respond_late(link, content):
            requests.append(content)
            await anyio.sleep(1.0)
            return CHANGES

        asking = build_peers(21, known=[build_entry(22)])
        busy = build_peers(22, handle_request=respond_late)
        async with run_daemons(asking, busy):
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
            await anyio.sleep(0.6)
            found = await asking.ask_changes(Position(0, 1))
        self.assertEqual(found.changes, CHANGES.changes)
        self.assertEqual(len(requests), 1)

    @run_on_sockets
    async def test_late_response_without_news_is_not_used(self):
        """Guards against a request that is answered with what is known already."""
        requests = []

        async def respond_late(link, content):
            requests.append(content)
            await anyio.sleep(1.0 if len(requests) == 1 else 0.0)
            return build_changes(value_bytes=10, revision=1 + len(requests))

        asking = build_peers(23, known=[build_entry(24)])
        busy = build_peers(24, handle_request=respond_late)
        async with run_daemons(asking, busy):
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
            await anyio.sleep(0.6)
            found = await asking.ask_changes(Position(0, 2))
        self.assertEqual(found.revision, 3)

    @run_on_sockets
    async def test_second_request_waits_for_the_response_that_arrives(self):
        """Guards against a second response beside the first on a slow link."""
        requests = []
        found = []
        slow = build_entry(26)
        asking = build_peers(25, known=[slow])
        serve = serve_slowly(CHANGES, seconds=2.0, pieces=20, requests=requests)

        async def ask():
            found.append(await asking.ask_changes(Position(0, 1)))

        listener = await anyio.create_tcp_listener(local_host=slow.ip, local_port=PORT)
        async with listener, run_daemons(asking):
            asking.tasks.start_soon(listener.serve, serve)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(1.0)
                link = asking.links[slow.ip]
                self.assertLess(anyio.current_time() - link.received_at, 0.5)
                tasks.start_soon(ask)
        self.assertEqual([each.changes for each in found], 2 * [CHANGES.changes])
        self.assertEqual(len(requests), 1)

    @run_on_sockets
    async def test_age_of_changes_includes_their_transfer(self):
        """Guards against a daemon that takes what it received slowly for recent."""
        slow = build_entry(37)
        asking = build_peers(36, known=[slow])
        changes = attrs.evolve(CHANGES, age=0.25)
        serve = serve_slowly(changes, seconds=1.0, pieces=10, requests=[])
        listener = await anyio.create_tcp_listener(local_host=slow.ip, local_port=PORT)
        async with listener, run_daemons(asking):
            asking.tasks.start_soon(listener.serve, serve)
            started = anyio.current_time()
            found = await asking.ask_changes(Position(0, 1))
            elapsed = anyio.current_time() - started
        self.assertGreaterEqual(found.age, 0.25 + 0.9)
        self.assertLessEqual(found.age, 0.25 + elapsed)

    @run_on_sockets
    async def test_daemon_without_progress_is_replaced_by_another(self):
        """Guards against a stuck daemon that keeps the others from being asked."""

        async def respond(link, content):
            return CHANGES

        asking = build_peers(27, known=[build_entry(28)])
        stuck = build_peers(28, handle_request=never_respond)
        ready = build_peers(29, handle_request=respond)
        async with run_daemons(asking, stuck, ready):
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
            asking.directory.daemons["entry-29"] = build_entry(29)
            for _ in range(3):
                found = await asking.ask_changes(Position(0, 1))
                self.assertEqual(found.changes, CHANGES.changes)

    @run_on_sockets
    async def test_at_most_two_responses_are_waited_for(self):
        """Guards against one more response on a slow link for each time limit."""
        requests = []

        async def never_respond(link, content):
            requests.append(content)
            await anyio.sleep_forever()

        numbers = (31, 32, 33)
        asking = build_peers(30, known=[build_entry(number) for number in numbers])
        stuck = [
            build_peers(number, handle_request=never_respond) for number in numbers
        ]
        async with run_daemons(asking, *stuck):
            for _ in range(4):
                self.assertIsNone(await asking.ask_changes(Position(0, 1)))
        self.assertEqual(len(requests), 2)

    @run_on_sockets
    async def test_daemons_that_never_respond_do_not_keep_others_from_being_asked(self):
        """Guards against requests that stay under way for good."""

        async def respond(link, content):
            return CHANGES

        stuck = [build_entry(41), build_entry(42)]
        asking = build_peers(40, known=stuck)
        healthy = build_peers(43, handle_request=respond)
        others = [build_peers(n, handle_request=never_respond) for n in (41, 42)]
        async with run_daemons(asking, healthy, *others):
            for _ in stuck:
                self.assertIsNone(await asking.ask_changes(Position(0, 1)))
            asking.directory.daemons["entry-43"] = build_entry(43)
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
            await anyio.sleep(ABANDON_SECONDS)
            ips = {build_entry(43).ip}
            found = await asking.changes.ask(Position(0, 1), ips)
        self.assertEqual(found.changes, CHANGES.changes)

    @run_on_sockets
    async def test_request_is_sent_again_after_its_link_was_lost(self):
        """Guards against waiting for a response that cannot arrive any more."""
        requests = []

        async def break_first_link(link, content):
            requests.append(content)
            if len(requests) == 1:
                await anyio.sleep(0.8)
                await link.stream.aclose()
            return CHANGES

        asking = build_peers(34, known=[build_entry(35)])
        breaking = build_peers(35, handle_request=break_first_link)
        async with run_daemons(asking, breaking):
            self.assertIsNone(await asking.ask_changes(Position(0, 1)))
            await anyio.sleep(0.5)
            found = await asking.ask_changes(Position(0, 1))
        self.assertEqual(found.changes, CHANGES.changes)
        self.assertEqual(len(requests), 2)


class TestUnknownAge(unittest.TestCase):
    # Guards against a daemon that has its values from peers, asks whether they are
    # current, and breaks all of its links by its answer to others that ask the same.
    @run_on_sockets
    async def test_daemon_that_does_not_know_its_age_is_no_source(self):
        directory = build_peers(58).directory
        directory.replica.apply(build_changes(value_bytes=5_000))
        self.assertTrue(directory.replica.answers)
        self.assertEqual(directory.age, math.inf)
        for request in (
            ChangesRequest(revision=1),
            ChangesRequest(revision=1, accepts_offers=True),
        ):
            self.assertEqual(answer_changes(directory, request), Unknown())

    def test_infinite_time_is_sent_as_the_longest(self):
        changes = ChangeSet(changes=(), revision=1, age=math.inf)
        frame = decode_frame(encode_frame(Frame(number=1, content=changes))).ok
        self.assertGreater(frame.content.age, 1_000_000.0)


class TestNewestConfiguration(unittest.TestCase):
    # Guards against a daemon that takes an older configuration for the newest one.
    def test_newest_configuration_is_sent_with_changes(self):
        for version in (0, 8, 2**64 - 1):
            newest = NewestConfiguration(position=Position(2, 9), version=version)
            changes = ChangeSet(changes=(), revision=10, era=2, newest=newest)
            frame = Frame(number=1, content=changes)
            self.assertEqual(decode_frame(encode_frame(frame)).ok, frame)

    # Guards against a version that peers have in force and that a list of the store did
    # not show.
    @in_virtual_time
    def test_configuration_that_the_asking_daemon_passed_over_is_in_the_answer(self):
        asked = build_known(8)
        unusable = build_configuration(9, document=b"{", era=2)
        asked.apply(unusable, source="store")
        for after, found in (
            (None, []),
            (Position(2, 8), []),
            (Position(2, 7), [Position(2, 8)]),
            (Position(1, 90), [Position(2, 8)]),
        ):
            for offers in (False, True):
                request = ChangesRequest(
                    revision=9, era=2, accepts_offers=offers, configuration_after=after
                )
                answer = answer_changes(asked, request)
                self.assertEqual([item.position for item in answer.changes], found)
                self.assertEqual(answer.offers, ())

    # Guards against answers with the version that are dropped, since they took longer
    # than the time after which another peer is asked.
    def test_late_answer_with_the_configuration_that_is_sought_is_used(self):
        async def run(seconds, peer_count):
            asking, asked = build_known(7, routes=1), build_known(8)
            unusable = build_configuration(9, document=b"{", era=2)
            asked.apply(unusable, source="store")
            listed = attrs.evolve(unusable, is_snapshot=True)
            asking.apply(listed, source="store")

            async def answer(link, content):
                await anyio.sleep(seconds)
                return answer_changes(asked, content)

            async def scenario(near, far):
                async def connect(ip):
                    return near

                client = ChangesClient(
                    log=asking.log,
                    directory=asking,
                    fetcher=None,
                    connect=connect,
                    on_response=lambda ip: None,
                    on_failure=lambda ip: None,
                )
                ips = set(map(str, range(peer_count)))
                for _ in range(20):
                    changes = await client.ask(asking.replica.position, ips)
                    if changes is not None:
                        asking.apply(changes, source="peer")
                    await anyio.sleep(POLL_SECONDS)
                return asking.routes.catalog.version

            return await run_linked(answer, scenario)

        for seconds, peer_count in itertools.product((0.3, 0.7, 1.5), (1, 11)):
            with self.subTest(seconds=seconds, peer_count=peer_count):
                self.assertEqual(run_virtual(run, seconds, peer_count), 8)

    # Guards against a frame that can't be sent since operators chose a large number.
    def test_version_beyond_the_field_is_sent_as_the_highest(self):
        newest = NewestConfiguration(position=Position(0, 9), version=2**70)
        changes = ChangeSet(changes=(), revision=10, newest=newest)
        content = decode_frame(
            encode_frame(Frame(number=1, content=changes))
        ).ok.content
        self.assertEqual(content.newest.version, 2**64 - 1)

    def test_daemon_of_an_earlier_build_tells_nothing(self):
        builder = SCHEMA.Frame.new_message(number=1)
        builder.init("changes").revision = 9
        content = decode_frame(builder.to_bytes_packed()).ok.content
        self.assertIsNone(content.newest)

    # Guards against positions without an era that count as older than all others.
    def test_newest_configuration_of_a_daemon_that_names_no_era_gets_one(self):
        replica = Replica()
        replica.apply(ChangeSet(changes=(), revision=5, era=3, is_snapshot=True))
        newest = NewestConfiguration(position=Position(0, 9), version=8)
        changes = ChangeSet(changes=(), revision=10, newest=newest)
        placed = replica.place_changes(changes)
        self.assertEqual(placed.newest.position, Position(3, 9))


if __name__ == "__main__":
    unittest.main()
