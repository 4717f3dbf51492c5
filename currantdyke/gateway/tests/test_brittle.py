import unittest

from currantdyke.emulator import PlainEmulator, Restarts
from currantdyke.gateway.tests.builders import plain_configuration
from currantdyke.gateway.tests.limit_builders import send_load, start_gateways
from currantdyke.testing.gateways import run_deployment, run_on_sockets

GATEWAYS = 6
ENDPOINTS = 3
# Forty requests a second for fifteen that the endpoints can do.
RATE = 40.0
WORK_SECONDS = 0.2
LOAD_SECONDS = 6.0
# The users' bound on the crashes of brittle endpoints in one time in which they say so.
MAX_FALLS = 2 + 0.1 * ENDPOINTS


class TestBrittleEndpoints(unittest.TestCase):
    # Issue 32: that endpoints crash when they turn many requests away was not read.
    @run_on_sockets
    async def test_brittle_endpoints_are_not_overloaded(self):
        async with run_deployment(plain_configuration()) as deployment:
            endpoints = [
                await deployment.endpoint(
                    PlainEmulator,
                    f"plain-{number}",
                    "plain",
                    slots=1,
                    places=2,
                    brittle=3,
                    work_seconds=WORK_SECONDS,
                    restarts=Restarts(down_seconds=1.0),
                )
                for number in range(ENDPOINTS)
            ]
            await start_gateways(deployment, GATEWAYS)
            await send_load(deployment, "/plain/", rate=RATE, seconds=LOAD_SECONDS)
        falls = sum(len(endpoint.falls) for endpoint in endpoints)
        self.assertLessEqual(falls, MAX_FALLS)


if __name__ == "__main__":
    unittest.main()
