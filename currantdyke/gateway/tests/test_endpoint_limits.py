import unittest
from unittest import mock

import anyio

from currantdyke.directory import rank_daemons
from currantdyke.emulator import EngineEmulator, PlainEmulator
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.gateway.tests.builders import (
    KEY,
    plain_configuration,
    signed_head,
    start_plain,
    stream_configuration,
)
from currantdyke.gateway.tests.limit_builders import (
    CONTACT_SECONDS,
    busiest_window,
    first_after,
    send_load,
    start_gateways,
)
from currantdyke.soak.limits import WINDOW_SECONDS, allowed_requests
from currantdyke.testing.gateways import run_deployment, run_on_sockets, wait_until

RATE = 16.0
LOAD_SECONDS = 7.5
# A request that can't be served is refused without waiting for anything.
AT_ONCE_SECONDS = 0.4


def assert_all_limited(case, limited, answers):
    """Check that endpoints get up to their limit of 1, and callers a refusal."""
    for endpoint in limited:
        start = endpoint.arrived_at[0] + CONTACT_SECONDS
        busiest = busiest_window(endpoint.arrived_at, start)
        case.assertLessEqual(busiest, allowed_requests(1.0))
        used = first_after(endpoint.arrived_at, start)
        case.assertGreater(used, WINDOW_SECONDS / 2)
    refused = [answer for answer in answers if answer.status != 200]
    case.assertEqual({answer.status for answer in refused}, {503})
    case.assertTrue(all(answer.has_retry_after for answer in refused))
    case.assertLess(max(answer.seconds for answer in refused), AT_ONCE_SECONDS)


class TestPlainEndpoints(unittest.TestCase):
    # Issue 28: each daemon chose endpoints by itself and read no limit.
    @run_on_sockets
    async def test_limit_of_one_endpoint_binds_all_daemons(self):
        async with run_deployment(plain_configuration()) as deployment:
            limited, sound = [
                await deployment.endpoint(PlainEmulator, f"plain-{n}", "plain")
                for n in range(2)
            ]
            limited.server_limit = "2"
            await start_gateways(deployment, 3)
            answers = await send_load(
                deployment, "/plain/", rate=RATE, seconds=LOAD_SECONDS
            )
        start = limited.arrived_at[0] + CONTACT_SECONDS
        self.assertLessEqual(
            busiest_window(limited.arrived_at, start), allowed_requests(2.0)
        )
        self.assertGreater(first_after(limited.arrived_at, start), WINDOW_SECONDS)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertGreater(len(sound.arrived_at), len(answers) / 2)

    @run_on_sockets
    async def test_requests_beyond_all_limits_are_refused_at_once(self):
        async with run_deployment(plain_configuration()) as deployment:
            limited = [
                await deployment.endpoint(
                    PlainEmulator, f"plain-{n}", "plain", server_limit="1"
                )
                for n in range(2)
            ]
            await start_gateways(deployment, 6)
            answers = await send_load(
                deployment, "/plain/", rate=RATE, seconds=LOAD_SECONDS
            )
        assert_all_limited(self, limited, answers)

    # Guards against two answers in one: the first run goes on while the owner is asked.
    @run_on_sockets
    async def test_request_that_is_served_meanwhile_is_not_sent_again(self):
        body = b"x" * 1_500_000

        async def answer_late(request, reply):
            await anyio.sleep(0.7)
            length = b"content-length: %d" % (2 * len(body))
            await reply.send_raw(signed_head(request, length) + body)
            await anyio.sleep(0.4)
            await reply.send_raw(body)
            return True

        async def admit_late(limits, endpoint, *, sheddable):
            await anyio.sleep(0.3)
            return 0.0

        async with run_deployment(plain_configuration()) as deployment:
            [silent] = await start_plain(deployment, answer_late)
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.send("POST", "/plain/", headers=KEY)
            await wait_until(lambda: silent.arrivals)
            with mock.patch.object(EndpointLimits, "admit", admit_late):
                other = await deployment.endpoint(PlainEmulator, "plain-9", "plain")
                await wait_until(
                    lambda: "plain-9" in gateway.directory.endpoints.of_service("plain")
                )
                answer = await caller.answer()
        self.assertEqual((answer.complete, len(answer.body)), (True, 2 * len(body)))
        self.assertEqual(other.arrivals, [])


class TestEngines(unittest.TestCase):
    # Issue 28: the engine with the cached prompt parts got everything.
    @run_on_sockets
    async def test_limit_of_one_engine_sends_streams_to_the_other(self):
        async with run_deployment(stream_configuration()) as deployment:
            engines = [
                await deployment.endpoint(EngineEmulator, f"engine-{n}", "engine")
                for n in range(2)
            ]
            await start_gateways(deployment, 3)
            await send_load(deployment, "/stream/", rate=RATE, seconds=0.5)
            limited, sound = sorted(engines, key=lambda e: -len(e.arrived_at))
            limited.server_limit = "2"
            named_at = anyio.current_time()
            answers = await send_load(
                deployment, "/stream/", rate=RATE, seconds=LOAD_SECONDS
            )
        start = named_at + CONTACT_SECONDS
        self.assertLessEqual(
            busiest_window(limited.arrived_at, start), allowed_requests(2.0)
        )
        self.assertGreater(first_after(limited.arrived_at, start), WINDOW_SECONDS)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertGreater(len(sound.arrived_at), len(answers) / 2)

    # Issue 28: the report came half a second after a daemon was told to stop.
    @run_on_sockets
    async def test_limit_binds_the_owners_that_follow_each_other(self):
        async with run_deployment(stream_configuration()) as deployment:
            limited, _ = [
                await deployment.endpoint(
                    EngineEmulator, f"engine-{n}", "engine", server_limit=limit
                )
                for n, limit in enumerate(("2", ""))
            ]
            await start_gateways(deployment, 4)
            by_name = {g.settings.name: g for g in deployment.gateways}
            cores = {name: g.settings.cores for name, g in by_name.items()}
            owners = rank_daemons("engine", cores)
            serving = [
                number
                for number, gateway in enumerate(deployment.gateways)
                if gateway.settings.name not in owners[:2]
            ]
            async with anyio.create_task_group() as tasks:

                async def stop_owners():
                    for owner, seconds in zip(owners[:2], (3.0, 1.0), strict=True):
                        await anyio.sleep(seconds)
                        by_name[owner].stop_requested.set()

                tasks.start_soon(stop_owners)
                answers = await send_load(
                    deployment,
                    "/stream/",
                    rate=RATE,
                    seconds=LOAD_SECONDS,
                    gateways=serving,
                )
        start = limited.arrived_at[0] + CONTACT_SECONDS
        self.assertLessEqual(
            busiest_window(limited.arrived_at, start), allowed_requests(2.0)
        )
        self.assertEqual({answer.status for answer in answers}, {200})

    @run_on_sockets
    async def test_streams_beyond_all_limits_are_refused_at_once(self):
        async with run_deployment(stream_configuration()) as deployment:
            limited = [
                await deployment.endpoint(
                    EngineEmulator, f"engine-{n}", "engine", server_limit="1"
                )
                for n in range(2)
            ]
            await start_gateways(deployment, 6)
            answers = await send_load(
                deployment, "/stream/", rate=RATE, seconds=LOAD_SECONDS
            )
        assert_all_limited(self, limited, answers)


if __name__ == "__main__":
    unittest.main()
