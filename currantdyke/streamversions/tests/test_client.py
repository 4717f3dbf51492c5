import unittest

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.directory import ChangeSet, Directory
from currantdyke.directory.newest import NewestConfiguration
from currantdyke.links.codec import Frame, encode_frame
from currantdyke.links.link import LinkLostError, LossReason
from currantdyke.streamversions.client import (
    BACKUP_BATCH_SECONDS,
    REPLICAS,
    FleetStreamVersions,
)
from currantdyke.streamversions.messages import VersionRequest
from currantdyke.streamversions.table import RETENTION_SECONDS, digest_of
from currantdyke.testing.stage_fleet import silent_log
from currantdyke.testing.virtual import run_virtual

SERVICE = "engine"
LINK_SECONDS = 0.001
SIZES = (2, 12, 110)
# Budget of the design for all coordination of a daemon.
MAX_BYTES_PER_SECOND = 10_000
FRAME_PREFIX_BYTES = 4
# The records of streams have then reached the backups of a daemon.
BACKED_UP_SECONDS = BACKUP_BATCH_SECONDS + 0.05


def build_engine(instance, version, service=SERVICE):
    return Endpoint(
        instance=instance,
        service=service,
        address="10.0.0.1:1",
        availability_zone="a",
        version=version,
    )


@attrs.define(kw_only=True, eq=False)
class VersionFleet:
    """Daemons in memory that keep the versions of streams."""

    daemons: dict[str, FleetStreamVersions] = attrs.field(factory=dict)
    down: set[str] = attrs.field(factory=set)
    messages: int = 0
    bytes: int = 0

    @property
    def running(self):
        """The daemons that are not down."""
        return [self.daemons[name] for name in self.daemons if name not in self.down]

    def announce(self, version):
        """Let all running daemons learn of an engine of a version."""
        for daemon in self.running:
            daemon.on_endpoint_change(version, build_engine(version, version))

    def start(self, tasks, count, *versions):
        """Start daemons that know one engine of each version."""
        for number in range(len(self.daemons), len(self.daemons) + count):
            name = f"10.0.{number}.1"
            daemon = FleetStreamVersions(
                own_ip=name,
                directory=Directory(log=silent_log()),
                log=silent_log(),
                request=self._request,
                send=self._send,
                others=lambda own=name: [
                    other
                    for other in self.daemons
                    if other != own and other not in self.down
                ],
                tasks=tasks,
            )
            self.daemons[name] = daemon
            for version in versions:
                daemon.on_endpoint_change(version, build_engine(version, version))
        return list(self.daemons.values())[-count:]

    def _count(self, content):
        self.messages += 1
        frame = Frame(number=1, content=content)
        self.bytes += FRAME_PREFIX_BYTES + len(encode_frame(frame))

    async def _request(self, ip, content):
        self._count(content)
        await anyio.sleep(LINK_SECONDS)
        if ip in self.down:
            raise LinkLostError(ip, reason=LossReason.LINK_LOST)
        answer = self.daemons[ip].answer(content)
        self._count(answer)
        return answer

    def _send(self, ip, content):
        self._count(content)
        if ip not in self.down:
            self.daemons[ip].handle(content)


def run_fleet(count, scenario, *versions):
    """Run a scenario with a fleet and its daemons in virtual time."""

    async def run():
        fleet = VersionFleet()
        async with anyio.create_task_group() as tasks:
            daemons = fleet.start(tasks, count, *versions)
            result = await scenario(fleet, daemons)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


class TestFleet(unittest.TestCase):
    def test_every_daemon_finds_the_version_of_a_stream(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v2")
            await anyio.sleep(0.01)
            return {await daemon.find("a", SERVICE) for daemon in daemons}

        for count in SIZES:
            self.assertEqual(run_fleet(count, scenario, "v1", "v2"), {"v2"})

    # Guards against streams that can't go on since the configuration is not the newest.
    def test_only_version_is_found_while_the_configuration_does_not_decide(self):
        async def scenario(fleet, daemons):
            directory = daemons[0].directory
            directory.apply(ChangeSet(changes=(), revision=1), source="store")
            newest = NewestConfiguration(version=2)
            changes = ChangeSet(changes=(), revision=2, newest=newest)
            directory.apply(changes, source="peer")
            return directory.decides, await daemons[0].find("unknown", SERVICE)

        self.assertEqual(run_fleet(1, scenario, "v1"), (False, "v1"))

    def test_version_is_found_without_the_daemon_that_began_and_one_replica(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(0.01)
            replicas = [
                name
                for name, daemon in fleet.daemons.items()
                if daemon.streams.find(digest_of("a")) and daemon is not daemons[0]
            ]
            fleet.down = {"10.0.0.1", replicas[0]}
            await anyio.sleep(1.0)
            up = [fleet.daemons[n] for n in fleet.daemons if n not in fleet.down]
            return len(replicas), {await daemon.find("a", SERVICE) for daemon in up}

        self.assertEqual(run_fleet(12, scenario, "v1", "v2"), (2, {"v1"}))

    # The daemon that began the stream knew one version only.
    def test_streams_from_before_a_second_version_are_replicated_when_it_comes(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(0.01)
            before = fleet.messages
            daemons[0].on_endpoint_change("e2", build_engine("e2", "v2"))
            await anyio.sleep(0.01)
            for daemon in daemons[1:]:
                daemon.on_endpoint_change("e2", build_engine("e2", "v2"))
            return before, await daemons[5].find("a", SERVICE)

        self.assertEqual(run_fleet(12, scenario, "v1"), (0, "v1"))

    # Guards against refused streams of a daemon that stands still when a second version
    # appears (review case 13).
    def test_stream_from_before_a_second_version_outlives_its_daemon(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(BACKED_UP_SECONDS)
            fleet.down = {"10.0.0.1"}
            for version in ("v2", "v3"):
                fleet.announce(version)
                await anyio.sleep(0.01)
            return {await daemon.find("a", SERVICE) for daemon in fleet.running}

        for count in SIZES[1:]:
            with self.subTest(daemons=count):
                self.assertEqual(run_fleet(count, scenario, "v1"), {"v1"})

    def test_daemon_that_starts_beside_a_second_version_finds_earlier_streams(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(BACKED_UP_SECONDS)
            fleet.down = {"10.0.0.1"}
            async with anyio.create_task_group() as tasks:
                started = fleet.start(tasks, 2, "v1")
                fleet.announce("v2")
                await anyio.sleep(0.01)
                return [await daemon.find("a", SERVICE) for daemon in started]

        self.assertEqual(run_fleet(4, scenario, "v1"), ["v1", "v1"])

    # The daemon that begins the stream is the last to learn of the second version.
    def test_stream_of_a_daemon_that_knows_one_version_of_two_outlives_it(self):
        async def scenario(fleet, daemons):
            for daemon in daemons[1:]:
                daemon.on_endpoint_change("v2", build_engine("v2", "v2"))
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(BACKED_UP_SECONDS)
            fleet.down = {"10.0.0.1"}
            return {await daemon.find("a", SERVICE) for daemon in fleet.running}

        self.assertEqual(run_fleet(12, scenario, "v1"), {"v1"})

    def test_backups_that_stop_one_after_another_hand_streams_over(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(BACKED_UP_SECONDS)
            for name, daemon in list(fleet.daemons.items()):
                if daemon.streams.find(digest_of("a")) and len(fleet.down) < 6:
                    fleet.down.add(name)
                    await anyio.sleep(0.3)
                    daemon.hand_over()
                    await anyio.sleep(BACKED_UP_SECONDS)
            fleet.announce("v2")
            await anyio.sleep(0.01)
            found = {await daemon.find("a", SERVICE) for daemon in fleet.running}
            return len(fleet.down) >= 3, found

        self.assertEqual(run_fleet(12, scenario, "v1"), (True, {"v1"}))

    # The daemon at which it is resumed knows one version only, and the wrong one.
    def test_daemon_that_does_not_know_a_version_asks_the_others(self):
        async def scenario(fleet, daemons):
            daemons[0].on_endpoint_change("e2", build_engine("e2", "v2"))
            daemons[0].record("a", SERVICE, "v2")
            await anyio.sleep(0.01)
            return await daemons[7].find("a", SERVICE)

        self.assertEqual(run_fleet(12, scenario, "v1"), "v2")

    def test_unknown_stream_goes_on_only_if_there_was_one_version(self):
        async def find(fleet, daemons):
            return await daemons[1].find("unknown", SERVICE)

        async def find_recorded(fleet, daemons):
            daemons[1].on_record(SERVICE, True)
            return await daemons[1].find("unknown", SERVICE)

        async def find_after_another(fleet, daemons):
            daemons[1].on_endpoint_change("v1", None)
            daemons[1].on_endpoint_change("e2", build_engine("e2", "v2"))
            early = await daemons[1].find("unknown", SERVICE)
            await anyio.sleep(RETENTION_SECONDS + 1.0)
            return early, await daemons[1].find("unknown", SERVICE)

        self.assertEqual(run_fleet(3, find, "v1"), "v1")
        self.assertIsNone(run_fleet(3, find, "v1", "v2"))
        self.assertIsNone(run_fleet(3, find_recorded, "v1"))
        self.assertEqual(run_fleet(3, find_after_another, "v1"), (None, "v2"))

    def test_daemon_that_nobody_answers_refuses(self):
        async def scenario(fleet, daemons):
            fleet.down = set(fleet.daemons)
            return await daemons[1].find("unknown", SERVICE)

        self.assertIsNone(run_fleet(3, scenario, "v1"))

    def test_attempt_that_two_versions_began_has_none(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            daemons[1].record("a", SERVICE, "v2")
            await anyio.sleep(0.01)
            return await daemons[2].find("a", SERVICE)

        self.assertIsNone(run_fleet(3, scenario, "v1", "v2"))

    def test_stopping_daemon_hands_over_what_it_knows(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(0.01)
            for name, daemon in list(fleet.daemons.items()):
                if daemon.streams.find(digest_of("a")):
                    daemon.ring_until = 0.0
                    daemon.hand_over()
                    await anyio.sleep(0.3)
                    fleet.down.add(name)
                    await anyio.sleep(0.3)
            up = [fleet.daemons[n] for n in fleet.daemons if n not in fleet.down]
            return len(fleet.down) >= 3, await up[0].find("a", SERVICE)

        self.assertEqual(run_fleet(12, scenario, "v1", "v2"), (True, "v1"))

    def test_streams_are_forgotten(self):
        async def scenario(fleet, daemons):
            for number in range(1_000):
                daemons[0].record(f"a{number}", SERVICE, "v1")
                await anyio.sleep(0.1)
            return len(daemons[0].streams.streams)

        kept = run_fleet(2, scenario, "v1", "v2")
        self.assertLess(kept, 10 * RETENTION_SECONDS + 10)


class TestCost(unittest.TestCase):
    # At the planned size, a daemon begins 67 streams a second.
    def test_bytes_stay_within_the_budget(self):
        async def scenario(fleet, daemons):
            for number in range(670):
                for index, daemon in enumerate(daemons):
                    daemon.record(f"a{index}-{number}", SERVICE, "v1")
                await anyio.sleep(1 / 67)
            return fleet.messages, fleet.bytes

        for count in SIZES:
            for versions in (("v1",), ("v1", "v2")):
                with self.subTest(daemons=count, versions=versions):
                    messages, size = run_fleet(count, scenario, *versions)
                    self.assertLess(size / count / 10, MAX_BYTES_PER_SECOND)
                    self.assertGreater(messages, 0)

    # With one version, a daemon notifies its two backups at most 20 times a second.
    def test_messages_of_one_version_do_not_grow_with_the_load_or_the_fleet(self):
        async def scenario(fleet, daemons):
            for number in range(1_000):
                for index, daemon in enumerate(daemons):
                    daemon.record(f"a{index}-{number}", SERVICE, "v1")
                await anyio.sleep(0.001)
            return fleet.messages

        for count in SIZES:
            with self.subTest(daemons=count):
                most = REPLICAS * count / BACKUP_BATCH_SECONDS
                self.assertLessEqual(run_fleet(count, scenario, "v1"), most)

    def test_daemons_without_streams_send_nothing(self):
        async def scenario(fleet, daemons):
            await anyio.sleep(10.0)
            fleet.announce("v2")
            await anyio.sleep(10.0)
            return fleet.messages, fleet.bytes

        self.assertEqual(run_fleet(12, scenario, "v1"), (0, 0))

    def test_answer_does_not_grow_with_the_fleet(self):
        async def scenario(fleet, daemons):
            daemons[0].record("a", SERVICE, "v1")
            await anyio.sleep(0.01)
            before = fleet.messages
            await daemons[1].find("a", SERVICE)
            return fleet.messages - before

        self.assertLessEqual(run_fleet(110, scenario, "v1", "v2"), 6)

    def test_request_for_a_version_is_small(self):
        request = VersionRequest(digest=2**64 - 1, service=SERVICE)
        size = len(encode_frame(Frame(number=1, content=request)))
        self.assertLess(size, 50)


if __name__ == "__main__":
    unittest.main()
