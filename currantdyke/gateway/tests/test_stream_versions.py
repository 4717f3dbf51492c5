import unittest

import anyio

from currantdyke.gateway.tests.builders import stream_configuration
from currantdyke.gateway.tests.limit_builders import start_gateways
from currantdyke.gateway.tests.version_builders import (
    begin,
    break_off_new,
    count_joined,
    resume,
    start_versions,
)
from currantdyke.streamversions.client import BACKUP_BATCH_SECONDS, REPLICAS
from currantdyke.testing.gateways import run_deployment, run_on_sockets, wait_until

STREAMS = 16
VERSIONS = ("v1", "v1", "v1.2", "v1.2")
# A stream that can't go on is refused without waiting for anything.
AT_ONCE_SECONDS = 0.5


async def withdraw(deployment, engines):
    """Remove engines, and wait until all gateways know that."""
    for engine in engines:
        deployment.store.withdraw(engine.instance)
    await wait_until(
        lambda: (
            not any(
                engine.instance in gateway.directory.endpoints.known
                for gateway in deployment.gateways
                for engine in engines
            )
        )
    )


async def lose_busiest(deployment, engines):
    """Remove the engine that has begun most streams."""
    await withdraw(deployment, [max(engines, key=lambda engine: len(engine.runs))])


async def wait_for_engines(deployment, count, *, gateways=None):
    """Wait until some gateways, by default all, know this many engines."""
    waited_for = deployment.gateways
    if gateways is not None:
        waited_for = [deployment.gateways[number] for number in gateways]
    await wait_until(
        lambda: all(
            len(gateway.directory.endpoints.of_service("engine")) == count
            for gateway in waited_for
        )
    )


class TestTakenUpStreams(unittest.TestCase):
    def assert_all_go_on(self, streams):
        self.assertEqual(count_joined(streams), 0)
        self.assertTrue(all(stream.complete for stream in streams))

    # Issue 28: a daemon did not know which version had begun a stream elsewhere.
    @run_on_sockets
    async def test_stream_goes_on_at_its_version_at_any_daemon(self):
        async with run_deployment(stream_configuration()) as deployment:
            engines = await start_versions(deployment, *VERSIONS)
            await start_gateways(deployment, 3)
            streams = await begin(deployment, STREAMS, gateways=[0])
            await lose_busiest(deployment, engines)
            await resume(deployment, streams, gateways=[1, 2])
        self.assert_all_go_on(streams)

    @run_on_sockets
    async def test_stream_that_is_resumed_again_goes_on_at_its_first_version(self):
        async with run_deployment(stream_configuration()) as deployment:
            engines = await start_versions(deployment, *VERSIONS, "v1", "v1.2")
            await start_gateways(deployment, 4)
            streams = await begin(deployment, STREAMS, gateways=[0], events=1)
            for gateway in (1, 2):
                await lose_busiest(deployment, engines)
                await resume(deployment, streams, gateways=[gateway], events=1)
            await resume(deployment, streams, gateways=[3])
        self.assert_all_go_on(streams)

    # Issue 28: of a version that had gone, all streams went on at the other one.
    @run_on_sockets
    async def test_stream_of_a_version_that_has_gone_is_refused_at_once(self):
        async with run_deployment(stream_configuration()) as deployment:
            first = await start_versions(deployment, "v1", "v1")
            await start_gateways(deployment, 3)
            streams = await begin(deployment, STREAMS, gateways=[0])
            await start_versions(deployment, "v1.2", "v1.2")
            await wait_for_engines(deployment, 4)
            await withdraw(deployment, first)
            started = anyio.current_time()
            await resume(deployment, streams, gateways=[0, 1, 2])
            seconds = anyio.current_time() - started
        self.assertEqual(count_joined(streams), 0)
        answers = [stream.answers[-1] for stream in streams]
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertTrue(all(answer.has_retry_after for answer in answers))
        self.assertLess(seconds, AT_ONCE_SECONDS)

    @run_on_sockets
    async def test_stream_goes_on_after_its_daemon_was_killed(self):
        async with run_deployment(stream_configuration()) as deployment:
            engines = await start_versions(deployment, *VERSIONS)
            await start_gateways(deployment, 5)
            streams = await begin(deployment, STREAMS, gateways=[0])
            await lose_busiest(deployment, engines)
            deployment.gateways[0].tasks.cancel_scope.cancel()
            await resume(deployment, streams, gateways=[1, 2, 3, 4])
        self.assertEqual(count_joined(streams), 0)
        went_on = sum(stream.complete for stream in streams)
        self.assertGreaterEqual(went_on, STREAMS / 2)

    # Guards against refused streams of a daemon that ended before the fleet knew a
    # second version (review case 13).
    @run_on_sockets
    async def test_stream_goes_on_if_its_daemon_ended_before_a_second_version(self):
        async with run_deployment(stream_configuration()) as deployment:
            await start_versions(deployment, "v1", "v1", "v1")
            await start_gateways(deployment, 4)
            streams = await begin(deployment, STREAMS, gateways=[0])
            await anyio.sleep(2 * BACKUP_BATCH_SECONDS)
            deployment.gateways[0].tasks.cancel_scope.cancel()
            await start_versions(deployment, "v1.2")
            await wait_for_engines(deployment, 4, gateways=[1, 2, 3])
            await resume(deployment, streams, gateways=[1, 2, 3])
        self.assert_all_go_on(streams)

    @run_on_sockets
    async def test_stream_goes_on_after_the_daemons_that_know_it_were_stopped(self):
        async with run_deployment(stream_configuration()) as deployment:
            engines = await start_versions(deployment, *VERSIONS)
            await start_gateways(deployment, 6)
            streams = await begin(deployment, STREAMS, gateways=[0, 1])
            await lose_busiest(deployment, engines)
            for number in range(4):
                deployment.gateways[number].stop_requested.set()
                await anyio.sleep(0.7)
            await resume(deployment, streams, gateways=[4, 5])
        self.assert_all_go_on(streams)

    # Both replicas of a version are gone, as at a loss of power.
    @run_on_sockets
    async def test_stream_of_an_unknown_version_is_refused(self):
        async with run_deployment(stream_configuration()) as deployment:
            await start_versions(deployment, *VERSIONS)
            await start_gateways(deployment, 3)
            streams = await begin(deployment, STREAMS, gateways=[0])
            for gateway in deployment.gateways:
                gateway.tasks.cancel_scope.cancel()
            for _ in range(2):
                await deployment.gateway()
            await resume(deployment, streams, gateways=[3, 4])
        self.assertEqual(count_joined(streams), 0)
        self.assertEqual({stream.answers[-1].status for stream in streams}, {503})

    @run_on_sockets
    async def test_attempt_of_two_versions_is_not_resumed(self):
        async with run_deployment(stream_configuration()) as deployment:
            await start_gateways(deployment, 3)
            first = await start_versions(deployment, "v1")
            await wait_for_engines(deployment, 1)
            streams = await begin(deployment, 4, gateways=[0])
            await start_versions(deployment, "v1.2")
            await wait_for_engines(deployment, 2)
            await withdraw(deployment, first)
            again = await begin(deployment, 4, gateways=[1])
            await resume(deployment, again, gateways=[2])
        self.assertEqual([s.attempt_id for s in streams], [s.attempt_id for s in again])
        self.assertEqual({stream.answers[-1].status for stream in again}, {503})


class TestRecordInTheStore(unittest.TestCase):
    # Only engines of one version are left, but another one may have begun the stream.
    @run_on_sockets
    async def test_daemons_that_all_start_anew_refuse_it(self):
        async with run_deployment(stream_configuration()) as deployment:
            engines = await start_versions(deployment, *VERSIONS)
            await start_gateways(deployment, 3)
            streams = await begin(deployment, STREAMS, gateways=[0])
            await wait_until(lambda: "stream-versions/engine" in deployment.store.items)
            for gateway in deployment.gateways:
                gateway.tasks.cancel_scope.cancel()
            for engine in engines[:2]:
                deployment.store.withdraw(engine.instance)
            for _ in range(2):
                await deployment.gateway()
            await resume(deployment, streams, gateways=[3, 4])
        self.assertEqual(count_joined(streams), 0)
        self.assertEqual({stream.answers[-1].status for stream in streams}, {503})


class TestOneAnswer(unittest.TestCase):
    # Issue 28: an answer that the gateway resumed held events of two versions.
    @run_on_sockets
    async def test_answer_is_resumed_at_the_version_that_began_it(self):
        async with run_deployment(stream_configuration()) as deployment:
            await start_versions(deployment, *VERSIONS, plan_answer=break_off_new)
            await start_gateways(deployment, 3)
            streams = await begin(deployment, STREAMS, gateways=[0, 1, 2], events=5)
        self.assertEqual(count_joined(streams), 0)
        self.assertTrue(all(stream.complete for stream in streams))

    @run_on_sockets
    async def test_answer_without_another_engine_of_its_version_ends_incomplete(self):
        async with run_deployment(stream_configuration()) as deployment:
            [engine] = await start_versions(deployment, "v1")
            await start_gateways(deployment, 1)
            await start_versions(deployment, "v1.2", work_seconds=0.5)
            await wait_for_engines(deployment, 2)
            engine.plan_answer = break_off_new
            streams = await begin(deployment, 8, gateways=[0], events=1)
            deployment.store.withdraw(engine.instance)
            await wait_for_engines(deployment, 1)
            await resume(deployment, streams, gateways=[0])
        self.assertEqual(count_joined(streams), 0)


class TestOneVersion(unittest.TestCase):
    @run_on_sockets
    async def test_streams_go_on_without_records(self):
        async with run_deployment(stream_configuration()) as deployment:
            await start_versions(deployment, "v1", "v1")
            await start_gateways(deployment, 6)
            streams = await begin(deployment, STREAMS, gateways=[0])
            await anyio.sleep(2 * BACKUP_BATCH_SECONDS)
            links = [len(gateway.peers.links) for gateway in deployment.gateways]
            for gateway in deployment.gateways:
                gateway.versions.streams.streams.clear()
            await resume(deployment, streams, gateways=[1, 2, 3, 4, 5])
        self.assertTrue(all(stream.complete for stream in streams))
        # To the owner that places streams, and to the backups of the one that began.
        self.assertLessEqual(links[0], 1 + REPLICAS)
        self.assertLessEqual(max(links[1:]), 1)


if __name__ == "__main__":
    unittest.main()
