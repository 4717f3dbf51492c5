"""A store that returns from an older copy, judged by requests and the store's items."""

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
# Changes that the copy lacks, so that revisions go back by more than are given out.
LOST_CHANGES = 32
AWAY_SECONDS = 0.4
# The bound of the users on a configuration, from its acknowledgement.
IN_FORCE_SECONDS = 2.0
# Entries are back about this long after the return, or are gone.
GRACE_SECONDS = 2.0


def early_version(number=1):
    """Return a version with one route and two keys."""
    tenants = [{"name": "cider", "api_keys": ["k1", "k2"], "priority": 1}]
    return configuration(number, [plain_route()], tenants=tenants)


def late_version(number):
    """Return a version that moves the route, adds one and takes a key away."""
    routes = [
        plain_route(service="other"),
        plain_route(name="r-added", prefix="/added/"),
    ]
    return configuration(number, routes)


async def start(deployment, gateways=2):
    """Start an endpoint of each service and some gateways; return all of them."""
    plain = await deployment.endpoint(PlainEmulator, "plain-1", "plain")
    other = await deployment.endpoint(PlainEmulator, "other-1", "other")
    started = [await deployment.gateway() for _ in range(gateways)]
    names = {gateway.settings.name for gateway in started}
    await wait_until(
        lambda: all(set(g.directory.daemons) == names for g in started), seconds=4
    )
    return plain, other, started


async def return_from(store, state, *entries):
    """Let the store be away, return from a copy, and get the entries again."""
    store.fault = "reset"
    await anyio.sleep(AWAY_SECONDS)
    store.restore(state)
    for instance, entry in entries:
        store.announce(instance, entry)
    store.fault = ""


def write_noise(store, changes=LOST_CHANGES):
    """Write changes that the copy will lack."""
    for number in range(changes):
        store.put("servers/noise", {"sequence": number})
    store.withdraw("noise")


async def answers(deployment, path, headers):
    """Return the status of a request at each gateway."""
    found = []
    for number in range(len(deployment.gateways)):
        answer = await deployment.caller(number).request("GET", path, headers=headers)
        found.append(answer.status)
    return found


class TestConfiguration(unittest.TestCase):
    # Case 2 of the review: a version was in force nowhere since its revision was lower
    # than one that the store had given out before it returned from a copy.
    @run_on_sockets
    async def test_next_version_is_in_force_in_time(self):
        async with run_deployment(early_version()) as deployment:
            store = deployment.store
            plain, other, _ = await start(deployment)
            state = store.copy()
            write_noise(store)
            store.configure(early_version(2))
            await anyio.sleep(1.0)
            await return_from(
                store, state, ("plain-1", plain.entry()), ("other-1", other.entry())
            )
            store.configure(early_version(2))
            await anyio.sleep(1.0)
            store.configure(late_version(3))
            await anyio.sleep(IN_FORCE_SECONDS)
            before = len(plain.runs)
            moved = await answers(deployment, "/plain/1", KEY)
            ran_at_old_service = len(plain.runs) - before
            added = await answers(deployment, "/added/1", KEY)
            dropped = await answers(deployment, "/plain/1", DROPPED_KEY)
        self.assertEqual((moved, added, dropped), ([200] * 2, [200] * 2, [401] * 2))
        self.assertEqual(ran_at_old_service, 0)

    # Guards against keys and routes of the copy that come back into force, and against
    # final refusals while the store has another version than the one in force.
    @run_on_sockets
    async def test_version_of_the_copy_is_not_in_force_again(self):
        async with run_deployment(early_version()) as deployment:
            store = deployment.store
            plain, other, _ = await start(deployment)
            state = store.copy()
            write_noise(store)
            store.configure(late_version(2))
            await wait_until(
                lambda: all(
                    g.directory.routes.catalog.version == 2 for g in deployment.gateways
                )
            )
            await return_from(
                store, state, ("plain-1", plain.entry()), ("other-1", other.entry())
            )
            await anyio.sleep(1.5)
            dropped = await answers(deployment, "/plain/1", DROPPED_KEY)
            added = await answers(deployment, "/added/1", KEY)
            store.configure(late_version(2))
            await anyio.sleep(1.5)
            again = await answers(deployment, "/plain/1", DROPPED_KEY)
        self.assertEqual((dropped, added), ([503] * 2, [200] * 2))
        self.assertEqual(again, [401] * 2)


class TestEndpoints(unittest.TestCase):
    # Guards against work for an endpoint whose entry in the copy is older than its
    # leaving.
    @run_on_sockets
    async def test_endpoint_that_left_or_leaves_is_not_used_again(self):
        async with run_deployment(early_version()) as deployment:
            store = deployment.store
            plain, other, gateways = await start(deployment)
            leaving = await deployment.endpoint(PlainEmulator, "plain-2", "plain")
            left = await deployment.endpoint(PlainEmulator, "plain-3", "plain")
            await wait_until(
                lambda: all(len(g.directory.endpoints.known) == 4 for g in gateways)
            )
            state = store.copy()
            write_noise(store)
            store.announce("plain-2", leaving.entry(state="draining"))
            store.withdraw("plain-3")
            await wait_until(
                lambda: all(
                    list(g.directory.endpoints.of_service("plain")) == ["plain-1"]
                    for g in gateways
                )
            )
            runs = (len(leaving.runs), len(left.runs))
            await return_from(
                store, state, ("plain-1", plain.entry()), ("other-1", other.entry())
            )
            for _ in range(20):
                self.assertEqual(await answers(deployment, "/plain/1", KEY), [200, 200])
                await anyio.sleep(0.05)
            after = (len(leaving.runs), len(left.runs))
        self.assertEqual(after, runs)

    # Guards against an endpoint that stays unused though it writes its entry again.
    @run_on_sockets
    async def test_endpoint_that_writes_again_is_used_again(self):
        async with run_deployment(early_version()) as deployment:
            store = deployment.store
            plain, other, gateways = await start(deployment)
            state = store.copy()
            write_noise(store)
            store.withdraw("plain-1")
            await wait_until(
                lambda: (
                    not any(g.directory.endpoints.of_service("plain") for g in gateways)
                )
            )
            await return_from(store, state, ("other-1", other.entry()))
            await anyio.sleep(1.0)
            store.announce("plain-1", plain.entry())
            await anyio.sleep(1.5)
            self.assertEqual(await answers(deployment, "/plain/1", KEY), [200, 200])

    # Guards against endpoints that are given up because the copy lacks them, and
    # against those that are never given up.
    @run_on_sockets
    async def test_endpoint_that_the_copy_lacks_is_kept_for_the_grace_period(self):
        async with run_deployment(early_version()) as deployment:
            store = deployment.store
            _, other, gateways = await start(deployment)
            store.withdraw("plain-1")
            state = store.copy()
            again = await deployment.endpoint(PlainEmulator, "plain-2", "plain")
            gone = await deployment.endpoint(PlainEmulator, "plain-3", "plain")
            write_noise(store)
            await wait_until(
                lambda: all(
                    set(g.directory.endpoints.of_service("plain"))
                    == {"plain-2", "plain-3"}
                    for g in gateways
                )
            )
            await return_from(store, state, ("other-1", other.entry()))
            await anyio.sleep(1.0)
            self.assertEqual(await answers(deployment, "/plain/1", KEY), [200, 200])
            store.announce("plain-2", again.entry())
            await anyio.sleep(GRACE_SECONDS)
            for gateway in gateways:
                self.assertEqual(
                    list(gateway.directory.endpoints.of_service("plain")), ["plain-2"]
                )
            self.assertEqual(gone.instance, "plain-3")


class TestRegistration(unittest.TestCase):
    # Guards against daemons that act on a lease of the lost seconds.
    @run_on_sockets
    async def test_daemons_register_again_at_once(self):
        async with run_deployment(early_version()) as deployment:
            store = deployment.store
            state = store.copy()
            plain, other, gateways = await start(deployment)
            write_noise(store)
            await return_from(
                store, state, ("plain-1", plain.entry()), ("other-1", other.entry())
            )
            keys = {f"daemons/{gateway.settings.name}" for gateway in gateways}

            def registered():
                found = {
                    key
                    for key, item in store.items.items()
                    if item["lease"] in store.leases
                }
                return keys <= found

            await wait_until(registered, seconds=2.0)
            for gateway in gateways:
                lease = gateway.registration.lease
                self.assertEqual(lease.era, store.era)


class TestUnusableEra(unittest.TestCase):
    # Guards against daemons that stop following a store that names no usable era.
    @run_on_sockets
    async def test_last_known_era_goes_on_with_one_line(self):
        for found in ("", "many", "-1", None):
            with self.subTest(found):
                async with run_deployment(early_version()) as deployment:
                    _, _, gateways = await start(deployment, gateways=1)
                    deployment.store.name_era = lambda era, name=found: name
                    deployment.store.configure(late_version(2))
                    await wait_until(
                        lambda g=gateways[0]: g.directory.routes.catalog.version == 2,
                        seconds=IN_FORCE_SECONDS,
                    )
                    await anyio.sleep(1.2)
                    lines = [
                        line
                        for line in deployment.lines[gateways[0].settings.name]
                        if line["event"] == "store_era_unusable"
                        and line["client"] == "directory"
                    ]
                    self.assertEqual([line["found"] for line in lines], [found])


if __name__ == "__main__":
    unittest.main()
