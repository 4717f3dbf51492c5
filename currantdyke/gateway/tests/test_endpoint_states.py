import unittest

import anyio

from currantdyke.emulator import EngineEmulator, PlainEmulator, StageEmulator
from currantdyke.gateway.tests.builders import plain_configuration, stream_configuration
from currantdyke.gateway.tests.limit_builders import send_load, start_gateways
from currantdyke.testing.gateways import (
    configuration,
    run_deployment,
    run_on_sockets,
    stream_route,
)

# The users' bounds: this long after a gateway has relayed an answer that says that its
# endpoint leaves, the endpoint gets nothing more from it;
LEAVING_SECONDS = 2.0
# and of a gateway that it has asked for a pause, at most so many requests from half a
# second later until the end of the pause.
NOTICE_SECONDS = 0.5
MAX_IN_PAUSE = 2
PAUSE_SECONDS = 4
GATEWAYS = 3
RATE = 16.0
LOAD_SECONDS = 5.0
# A request that can't be served is refused without waiting for anything.
AT_ONCE_SECONDS = 0.4
STAGED_ROUTE = stream_route(
    prefix="/staged/",
    timeout_ms=9_000,
    stages=[{"service": "rank", "after": [], "size_bytes": 1_000}],
)


async def serve_load(kind, service, target, *, change):
    """Send requests for two endpoints, of which one changes its state before.

    Returns
    -------
    tuple
        The changed endpoint, the other one, the answers, and the time of the change.
    """
    document = plain_configuration() if service == "plain" else stream_configuration()
    async with run_deployment(document) as deployment:
        changed, other = [
            await deployment.endpoint(kind, f"{service}-{n}", service) for n in range(2)
        ]
        await start_gateways(deployment, GATEWAYS)
        await send_load(deployment, target, rate=RATE, seconds=0.5)
        change(changed)
        changed_at = anyio.current_time()
        answers = await send_load(deployment, target, rate=RATE, seconds=LOAD_SECONDS)
    return changed, other, answers, changed_at


def leave(endpoint):
    endpoint.says_leaving = True


def ask_for_pause(endpoint):
    endpoint.retry_after = str(PAUSE_SECONDS)


class TestLeaving(unittest.TestCase):
    def check(self, leaving, answers, left_at):
        late = [at for at in leaving.arrived_at if at > left_at + LEAVING_SECONDS]
        self.assertEqual(late, [])
        self.assertEqual({answer.status for answer in answers}, {200})

    # Issue 32: what an endpoint says in its answers was not read.
    @run_on_sockets
    async def test_plain_endpoint_that_says_it_leaves_gets_no_more(self):
        leaving, _, answers, left_at = await serve_load(
            PlainEmulator, "plain", "/plain/", change=leave
        )
        self.check(leaving, answers, left_at)

    # Issue 32: the owner, which places streams, has no answer of its own.
    @run_on_sockets
    async def test_engine_that_says_it_leaves_gets_no_more(self):
        leaving, _, answers, left_at = await serve_load(
            EngineEmulator, "engine", "/stream/", change=leave
        )
        self.check(leaving, answers, left_at)

    # Issue 32: the same of an endpoint that runs stages.
    @run_on_sockets
    async def test_stage_endpoint_that_says_it_leaves_gets_no_more(self):
        document = configuration(1, [STAGED_ROUTE])
        async with run_deployment(document) as deployment:
            await deployment.endpoint(EngineEmulator, "engine-0", "engine")
            leaving, _ = [
                await deployment.endpoint(StageEmulator, f"rank-{n}", "rank")
                for n in range(2)
            ]
            await start_gateways(deployment, GATEWAYS)
            await send_load(deployment, "/staged/", rate=RATE, seconds=0.5)
            leaving.says_leaving = True
            left_at = anyio.current_time()
            answers = await send_load(
                deployment, "/staged/", rate=RATE, seconds=LOAD_SECONDS
            )
        self.assertGreater(len(leaving.arrivals), 0)
        self.check(leaving, answers, left_at)

    # The word ends with the lifetime of the endpoint that said it.
    @run_on_sockets
    async def test_endpoint_that_starts_again_gets_requests(self):
        async with run_deployment(plain_configuration()) as deployment:
            leaving, _ = [
                await deployment.endpoint(PlainEmulator, f"plain-{n}", "plain")
                for n in range(2)
            ]
            await start_gateways(deployment, GATEWAYS)
            leaving.says_leaving = True
            await send_load(deployment, "/plain/", rate=RATE, seconds=2.0)
            leaving.says_leaving = False
            before = len(leaving.arrivals)
            deployment.store.announce(leaving.instance, leaving.entry(born=2))
            await send_load(deployment, "/plain/", rate=RATE, seconds=2.0)
        self.assertGreater(len(leaving.arrivals), before)


class TestPause(unittest.TestCase):
    def check(self, paused, asked_at):
        times = [
            at
            for at in paused.arrived_at
            if asked_at + NOTICE_SECONDS * 2 <= at < asked_at + PAUSE_SECONDS
        ]
        self.assertLessEqual(len(times), MAX_IN_PAUSE * GATEWAYS)

    # Issue 32: the time for which an endpoint asks was not read.
    @run_on_sockets
    async def test_plain_endpoint_that_asks_for_a_pause_gets_it(self):
        paused, _, answers, asked_at = await serve_load(
            PlainEmulator, "plain", "/plain/", change=ask_for_pause
        )
        self.check(paused, asked_at)
        self.assertEqual({answer.status for answer in answers}, {200})

    # Issue 32: the owner placed streams at an engine that had asked the sender to wait.
    @run_on_sockets
    async def test_engine_that_asks_for_a_pause_gets_it(self):
        paused, _, answers, asked_at = await serve_load(
            EngineEmulator, "engine", "/stream/", change=ask_for_pause
        )
        self.check(paused, asked_at)
        self.assertEqual({answer.status for answer in answers}, {200})

    # Issue 32: calls were sent again after less than a tenth of a second.
    @run_on_sockets
    async def test_stage_endpoint_that_asks_for_a_pause_gets_it(self):
        document = configuration(1, [STAGED_ROUTE])
        async with run_deployment(document) as deployment:
            await deployment.endpoint(EngineEmulator, "engine-0", "engine")
            paused, _ = [
                await deployment.endpoint(StageEmulator, f"rank-{n}", "rank")
                for n in range(2)
            ]
            await start_gateways(deployment, GATEWAYS)
            await send_load(deployment, "/staged/", rate=RATE, seconds=0.5)
            paused.retry_after = str(PAUSE_SECONDS)
            asked_at = anyio.current_time()
            answers = await send_load(
                deployment, "/staged/", rate=RATE, seconds=LOAD_SECONDS
            )
        self.assertGreater(len(paused.arrivals), 0)
        self.check(paused, asked_at)
        self.assertEqual({answer.status for answer in answers}, {200})

    # The callers come back when the endpoint wants them, and not at the same moment.
    @run_on_sockets
    async def test_requests_that_no_endpoint_wants_are_refused_at_once(self):
        for service, target in (("plain", "/plain/"), ("engine", "/stream/")):
            with self.subTest(service=service):
                await self.check_refusals(service, target)

    async def check_refusals(self, service, target):
        kind = PlainEmulator if service == "plain" else EngineEmulator
        document = (
            plain_configuration() if service == "plain" else stream_configuration()
        )
        async with run_deployment(document) as deployment:
            paused = await deployment.endpoint(kind, f"{service}-0", service)
            paused.retry_after = str(PAUSE_SECONDS)
            await start_gateways(deployment, GATEWAYS)
            asked_at = anyio.current_time()
            answers = await send_load(deployment, target, rate=RATE, seconds=2.0)
        self.check(paused, asked_at)
        self.assertEqual({answer.status for answer in answers}, {503})
        last = answers[-5:]
        self.assertLess(max(answer.seconds for answer in last), AT_ONCE_SECONDS)
        waits = [float(answer.headers["retry-after"]) for answer in last]
        self.assertGreater(min(waits), PAUSE_SECONDS - 3.0)
        self.assertGreater(len(set(waits)), 1)


if __name__ == "__main__":
    unittest.main()
