"""Odd and unusable configurations, written to the store; judged by requests."""

import unittest

import anyio

from currantdyke.emulator import PlainEmulator
from currantdyke.gateway.tests.builders import KEY
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    wait_until,
)

DROPPED_KEY = {"authorization": "Token k2"}
IN_FORCE_SECONDS = 2.0
ROUTES = [plain_route(), plain_route(name="r-other", prefix="/other/")]
UNUSABLE_ROUTE = {"name": "r-broken", "host": 7, "prefix": "/broken/"}


def versions():
    """Return two versions, the second without a key, and two that can't be used."""
    first = configuration(
        1, ROUTES, tenants=[{"name": "cider", "api_keys": ["k1", "k2"]}]
    )
    second = configuration(2, ROUTES)
    any_key = {key: value for key, value in second.items() if key != "tenants"}
    no_version = any_key | {"version": None}
    no_routes = any_key | {"version": 4, "route_list": None}
    return first, second, no_version, no_routes


async def statuses(deployment, number, *requests):
    """Return the statuses of requests at a gateway, each a path and headers."""
    return [
        (await deployment.caller(number).request("GET", path, headers=key)).status
        for path, key in requests
    ]


class TestUnusableConfigurations(unittest.TestCase):
    # From the users' runs: "an invalid one was taken"; one without workspaces let any
    # key in, also one that had been taken away.
    @run_on_sockets
    async def test_last_usable_version_stays_in_force(self):
        first, second, no_version, no_routes = versions()
        async with run_deployment(first) as deployment:
            await deployment.endpoint(PlainEmulator, "plain-1", "plain")
            await deployment.gateway()
            deployment.store.configure(second)
            await anyio.sleep(1.0)
            for document in (no_version, no_routes):
                deployment.store.configure(document)
                await anyio.sleep(1.0)
                found = await statuses(
                    deployment, 0, ("/plain/1", KEY), ("/plain/1", DROPPED_KEY)
                )
                self.assertEqual(found[0], 200)
                self.assertIn(found[1], (401, 503))
            lines = deployment.lines[deployment.gateways[0].settings.name]
            deployment.store.configure(second | {"version": 5})
            await anyio.sleep(IN_FORCE_SECONDS)
            found = await statuses(
                deployment, 0, ("/plain/1", KEY), ("/plain/1", DROPPED_KEY)
            )
        self.assertEqual(found, [200, 401])
        rejected = [e for e in lines if e["event"] == "configuration_rejected"]
        self.assertEqual([line["in_force"] for line in rejected], [2, 2])

    # From the same runs: a gateway that started meanwhile put it in force, or served
    # nothing.
    @run_on_sockets
    async def test_gateway_that_starts_gets_the_last_usable_version_from_a_peer(self):
        first, second, no_version, _ = versions()
        async with run_deployment(first) as deployment:
            await deployment.endpoint(PlainEmulator, "plain-1", "plain")
            running = await deployment.gateway()
            deployment.store.configure(second)
            await anyio.sleep(1.0)
            deployment.store.configure(no_version)
            await anyio.sleep(1.0)
            await deployment.gateway(seeds=(running.settings.ip,))
            requests = (("/plain/1", KEY), ("/other/1", KEY), ("/plain/1", DROPPED_KEY))
            found = await statuses(deployment, 1, *requests)
            self.assertEqual(found[:2], [200, 200])
            self.assertIn(found[2], (401, 503))
            deployment.store.configure(second | {"version": 5})
            await wait_until(
                lambda: all(
                    g.directory.routes.catalog.version == 5 for g in deployment.gateways
                ),
                seconds=IN_FORCE_SECONDS,
            )
            found = await statuses(deployment, 1, *requests)
        self.assertEqual(found, [200, 200, 401])


class TestOddConfigurations(unittest.TestCase):
    # From the users' runs: gateways refused for good what only a document allowed of
    # which they could not use one entry, and lost all of its other changes.
    @run_on_sockets
    async def test_rest_of_an_odd_document_is_in_force_and_the_next_version_follows(
        self,
    ):
        first, second, _, _ = versions()
        added = plain_route(name="r-added", prefix="/added/")
        odd = second | {"version": 3, "route_list": [*ROUTES, UNUSABLE_ROUTE, added]}
        no_key = second | {"version": 4, "tenants": []}
        moved = configuration(5, [plain_route(service="gone"), ROUTES[1]])
        requests = (
            ("/plain/1", KEY),
            ("/plain/1", DROPPED_KEY),
            ("/added/1", KEY),
            ("/other/1", KEY),
        )
        expected = {
            3: (odd, [200, 401, 200, 200]),
            4: (no_key, [401, 401, 404, 401]),
            5: (moved, [503, 401, 404, 200]),
            6: (second | {"version": 6}, [200, 401, 404, 200]),
        }
        async with run_deployment(first) as deployment:
            await deployment.endpoint(PlainEmulator, "plain-1", "plain")
            await deployment.gateway()
            lines = deployment.lines[deployment.gateways[0].settings.name]
            for version, (document, statuses_expected) in expected.items():
                deployment.store.configure(document)
                await anyio.sleep(IN_FORCE_SECONDS)
                with self.subTest(version=version):
                    found = await statuses(deployment, 0, *requests)
                    if version == 3:
                        # The route that was left out may be this one.
                        found_unknown = await statuses(deployment, 0, ("/x/1", KEY))
                        self.assertEqual(found_unknown, [503])
                    self.assertEqual(found, statuses_expected)
        reported = [e for e in lines if e["event"] == "configuration_incomplete"]
        self.assertEqual([line["version"] for line in reported], [3])

    # From the same runs: with such a document as the first one, no gateway got ready.
    @run_on_sockets
    async def test_gateway_gets_ready_with_an_odd_document(self):
        odd = configuration(3, [UNUSABLE_ROUTE, *ROUTES])
        async with run_deployment(odd) as deployment:
            await deployment.endpoint(PlainEmulator, "plain-1", "plain")
            await deployment.gateway()
            found = await statuses(
                deployment, 0, ("/plain/1", KEY), ("/plain/1", DROPPED_KEY)
            )
        self.assertEqual(found, [200, 401])


if __name__ == "__main__":
    unittest.main()
