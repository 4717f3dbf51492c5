import unittest

import anyio

from currantdyke.emulator import EngineEmulator, PlainEmulator
from currantdyke.gateway.tests.builders import plain_configuration, stream_configuration
from currantdyke.gateway.tests.limit_builders import send_load, start_gateways
from currantdyke.testing.gateways import run_deployment, run_on_sockets
from currantdyke.testing.throttle import Cut

GATEWAYS = 6
ENDPOINTS = 4
RATE = 24.0
# The users' bounds: from this time after gateways were cut off from all endpoints,
# first attempts are served there at least two thirds as often as at the others,
CONTACT_SECONDS = 3.0
MIN_SHARE = 2 / 3
# unless no more than so many of them, and of all, fail there.
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50
COUNTED_SECONDS = 3.0


async def serve_cut_off(kind, service, target, *, cut, count):
    """Cut some gateways off, and send requests to all of them.

    Returns
    -------
    tuple of (int, int)
        Requests that were served, and all, from `CONTACT_SECONDS` after the cut on: at
        the gateways that are cut off, at the others, and at all after it has ended.
    """
    document = plain_configuration() if service == "plain" else stream_configuration()
    async with run_deployment(document) as deployment:
        deployment.may_cut = True
        for number in range(ENDPOINTS):
            await deployment.endpoint(kind, f"{service}-{number}", service)
        await start_gateways(deployment, GATEWAYS)
        cut_off, others = list(range(count)), list(range(count, GATEWAYS))
        await send_load(deployment, target, rate=RATE, seconds=1.0)
        gateways = [deployment.gateways[number] for number in cut_off]
        deployment.cut_off(gateways, cut)
        await send_load(deployment, target, rate=RATE, seconds=CONTACT_SECONDS)
        counts = {}
        async with anyio.create_task_group() as tasks:

            async def count_served(numbers):
                share = len(numbers) / GATEWAYS
                answers = await send_load(
                    deployment,
                    target,
                    rate=RATE * share,
                    seconds=COUNTED_SECONDS,
                    gateways=numbers,
                )
                served = sum(answer.status == 200 for answer in answers)
                counts[numbers[0]] = served, int(RATE * share * COUNTED_SECONDS)

            tasks.start_soon(count_served, cut_off)
            tasks.start_soon(count_served, others)
        deployment.cut_off(gateways, None)
        await anyio.sleep(1.0)
        after = await send_load(deployment, target, rate=RATE, seconds=1.0)
        served_after = sum(answer.status == 200 for answer in after)
    return counts[cut_off[0]], counts[others[0]], (served_after, int(RATE))


class TestCutOff(unittest.TestCase):
    async def check(self, kind, service, target, *, cut, count):
        cut_off, others, after = await serve_cut_off(
            kind, service, target, cut=cut, count=count
        )
        with self.subTest(at="cut off"):
            failed = cut_off[1] - cut_off[0]
            allowed = MAX_FAILED + MAX_FAILED_SHARE * (cut_off[1] + others[1])
            share_of_others = others[0] / others[1]
            enough = cut_off[0] >= MIN_SHARE * share_of_others * cut_off[1]
            self.assertTrue(enough or failed <= allowed, f"{cut_off} {others}")
        with self.subTest(at="others"):
            self.assertEqual(others[0], others[1])
        with self.subTest(at="after"):
            self.assertEqual(after[0], after[1])

    # Issue 32: a daemon that reaches no endpoint had no other way to serve.
    @run_on_sockets
    async def test_half_of_the_gateways_serve_though_connections_hang(self):
        await self.check(PlainEmulator, "plain", "/plain/", cut=Cut.HANG, count=3)

    # Issue 32: the same where one of six is left.
    @run_on_sockets
    async def test_most_of_the_gateways_serve_though_connections_hang(self):
        await self.check(PlainEmulator, "plain", "/plain/", cut=Cut.HANG, count=5)

    # Issue 32: reports of crashes made the last gateway refuse requests.
    @run_on_sockets
    async def test_most_of_the_gateways_serve_though_connections_are_reset(self):
        await self.check(PlainEmulator, "plain", "/plain/", cut=Cut.RESET, count=5)

    @run_on_sockets
    async def test_gateways_serve_though_new_connections_are_refused(self):
        await self.check(PlainEmulator, "plain", "/plain/", cut=Cut.REFUSE, count=5)

    # Issue 32: the same of streams.
    @run_on_sockets
    async def test_streams_are_served_though_connections_hang(self):
        await self.check(EngineEmulator, "engine", "/stream/", cut=Cut.HANG, count=3)

    @run_on_sockets
    async def test_streams_are_served_though_connections_are_reset(self):
        await self.check(EngineEmulator, "engine", "/stream/", cut=Cut.RESET, count=5)


if __name__ == "__main__":
    unittest.main()
