"""Ends of connections beside a change of the configuration or of the settings.

docs/design/closings.md lists the ways from a request to the end of its connection.
"""

import asyncio
import pathlib
import unittest

import anyio
import attrs
from expression import Ok

from currantdyke.decisionlog import DecisionLog
from currantdyke.emulator import PlainEmulator
from currantdyke.gateway.reload import SettingsFile
from currantdyke.gateway.tests.connection_builders import (
    KEY,
    UnexpectedError,
    build_request_bytes,
    connect_at_once,
    read_answer,
    send_request,
)
from currantdyke.testing.gateways import (
    configuration,
    gateway_settings,
    plain_route,
    record_lines,
    run_deployment,
    run_on_sockets,
    wait_until,
)

REQUEST = build_request_bytes()
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 15_000,
}
# Two timers that are due within this time start in the same step of the event loop,
# whose waits are rounded up to milliseconds.
STEP_SECONDS = 1e-6


async def idle_scope(gateway):
    """Return the scope in which the only connection waits for a request."""

    def scopes():
        return [entry.idle_scope for entry in gateway.caller_server.connections]

    await wait_until(lambda: any(scopes()))
    return scopes()[0]


async def change_limits(deployment, gateway, **changes):
    """Write a configuration with other limits, and wait until it is in force."""
    version = gateway.directory.routes.catalog.version + 1
    document = configuration(version, [plain_route()], limits=LIMITS | changes)
    deployment.store.put("op/config", document)
    await wait_until(lambda: gateway.directory.routes.catalog.version == version)


async def send_in_two_parts(deployment, gateway, data, *, at, **changes):
    """Send a request in two parts, with a change of the limits between them."""
    with connect_at_once(gateway.settings.caller_address) as connection:
        send_request(connection, data[:at])
        await wait_until(
            lambda: any(
                entry.idle_scope is None for entry in gateway.caller_server.connections
            )
        )
        await change_limits(deployment, gateway, **changes)
        await anyio.sleep(0.3)
        send_request(connection, data[at:])
        return await read_answer(connection)


class TestLimits(unittest.TestCase):
    # Guards against a request that is cut because a limit is lowered while it is read.
    @run_on_sockets
    async def test_request_that_is_being_read_is_answered_under_lowered_limits(self):
        body_request = build_request_bytes(method=b"POST", body=b"x" * 1_000)
        document = configuration(1, [plain_route()], limits=LIMITS)
        async with run_deployment(document) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            for at, changes in (
                (40, {"header_timeout_ms": 100}),
                (40, {"idle_timeout_ms": 100}),
                (40, {"max_body_bytes": 100}),
                (len(body_request) - 500, {"header_timeout_ms": 100}),
                (len(body_request) - 500, {"max_body_bytes": 100}),
                (len(body_request) - 500, {"idle_timeout_ms": 100}),
            ):
                with self.subTest(at=at, changes=changes):
                    status, whole, _ = await send_in_two_parts(
                        deployment, gateway, body_request, at=at, **changes
                    )
                    self.assertIn(status, (200, 408, 413))
                    self.assertTrue(whole)
                    await change_limits(deployment, gateway)

    # Guards against a kept connection that closes early because the idle time-out is
    # lowered.
    @run_on_sockets
    async def test_connection_kept_open_outlasts_a_lowered_idle_time_out(self):
        document = configuration(1, [plain_route()], limits=LIMITS)
        async with run_deployment(document) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            caller = deployment.caller()
            await caller.request("GET", "/plain/", headers=KEY)
            await change_limits(deployment, gateway, idle_timeout_ms=100)
            await anyio.sleep(0.3)
            answer = await caller.request("GET", "/plain/", headers=KEY)
        self.assertEqual(answer.status, 200)

    # Guards against requests that are read but closed unanswered at a short idle
    # time-out: the bytes arrive in the step of the event loop that ends the wait.
    @run_on_sockets
    async def test_request_in_the_step_of_the_idle_time_out_is_answered(self):
        limits = LIMITS | {"idle_timeout_ms": 200}
        document = configuration(1, [plain_route()], limits=limits)
        loop = asyncio.get_running_loop()
        async with run_deployment(document) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            for _ in range(5):
                with connect_at_once(gateway.settings.caller_address) as connection:
                    scope = await idle_scope(gateway)
                    loop.call_at(
                        scope.deadline - STEP_SECONDS, send_request, connection, REQUEST
                    )
                    status, whole, _ = await read_answer(connection)
                    self.assertEqual((status, whole), (200, True))
                await wait_until(lambda: not gateway.caller_server.connections)


class TestCallbacks(unittest.TestCase):
    # Guards against a part that fails on a new configuration and ends the process.
    @run_on_sockets
    async def test_failing_callback_does_not_keep_a_configuration_back(self):
        def fail(catalog):
            raise UnexpectedError

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            gateway.directory.on_configuration.insert(0, fail)
            await change_limits(deployment, gateway, max_body_bytes=500)
            await change_limits(deployment, gateway, max_body_bytes=600)
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
            lines = deployment.lines[gateway.settings.name]
        self.assertEqual(answer.status, 200)
        self.assertIn("internal_error", {line["event"] for line in lines})

    # Guards against changes that are lost behind one on which a part fails.
    @run_on_sockets
    async def test_failing_watcher_does_not_keep_later_changes_back(self):
        def fail(instance, endpoint):
            if instance == "i-0":
                raise UnexpectedError

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            gateway = await deployment.gateway()
            gateway.directory.endpoints.watchers.insert(0, fail)
            for number in range(2):
                await deployment.endpoint(PlainEmulator, f"i-{number}", "plain")
            usable = gateway.directory.endpoints.usable
            await wait_until(lambda: usable("i-1") is not None)
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
        self.assertEqual(answer.status, 200)


class TestSettings(unittest.TestCase):
    # Guards against a reload that fails and ends the process.
    @run_on_sockets
    async def test_failing_reload_keeps_the_settings(self):
        def fail(*_):
            raise UnexpectedError

        async with run_deployment(configuration(1, [])) as deployment:
            settings = gateway_settings(deployment.store, ())
        changed = attrs.evolve(settings, grace=2.0)
        for read, apply in (
            (fail, lambda _: None),
            (lambda _: Ok(changed), fail),
        ):
            log = DecisionLog(daemon="gateway-1", descriptor=-1)
            lines = record_lines(log)
            settings_file = SettingsFile(
                path=pathlib.Path("/nowhere/settings.toml"),
                read=read,
                current=settings,
                log=log,
                apply=apply,
            )
            settings_file.reload()
            self.assertEqual([line["event"] for line in lines], ["internal_error"])


if __name__ == "__main__":
    unittest.main()
