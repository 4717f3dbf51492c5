import unittest

from currantdyke.emulator import PlainEmulator
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    wait_until,
)

KEY = {"authorization": "Token k1"}
LIMITS = {
    "max_header_bytes": 8_192,
    "max_body_bytes": 1_000,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 15_000,
}
RAISED_LIMITS = LIMITS | {"max_header_bytes": 32_768, "max_body_bytes": 100_000}
LONG_BODY = b"x" * 2_000
# Without its end, so that the gateway must decide while the head is incomplete.
LONG_HEAD = b"GET /plain/ HTTP/1.1\r\nhost: one.example\r\nx: " + b"y" * 12_000


async def raise_limits(deployment, gateway):
    """Write a configuration with higher limits, and wait until it is in force."""
    document = configuration(2, [plain_route()], limits=RAISED_LIMITS)
    deployment.store.put("op/config", document)
    await wait_until(lambda: gateway.directory.routes.catalog.version == 2)


class TestOpenConnections(unittest.TestCase):
    # Guards against a final refusal by limits that held before an open connection's
    # last request.
    @run_on_sockets
    async def test_body_within_raised_limits_is_accepted_on_an_open_connection(self):
        document = configuration(1, [plain_route()], limits=LIMITS)
        async with run_deployment(document) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.request("GET", "/plain/", headers=KEY)
            await raise_limits(deployment, gateway)
            answer = await caller.request(
                "POST", "/plain/", body=LONG_BODY, headers=KEY
            )
        self.assertEqual(answer.status, 200)

    # Guards against a final refusal by limits of the time when a connection was opened.
    @run_on_sockets
    async def test_head_within_raised_limits_is_not_refused_finally(self):
        document = configuration(1, [plain_route()], limits=LIMITS)
        async with run_deployment(document) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.request("GET", "/plain/", headers=KEY)
            await raise_limits(deployment, gateway)
            connection = await caller.connect()
            await connection.stream.send(LONG_HEAD)
            answer = await caller.answer()
        self.assertEqual(answer.status, 503)
        self.assertTrue(answer.has_retry_after)


if __name__ == "__main__":
    unittest.main()
