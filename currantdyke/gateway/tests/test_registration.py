import unittest

import anyio
import attrs

from currantdyke.gateway.registration import (
    LEASE_SECONDS,
    REGISTRATION_CHECK_SECONDS,
    REGISTRATION_RETRY_SECONDS,
    RENEWALS_PER_LEASE,
)
from currantdyke.gateway.tests.builders import plain_configuration
from currantdyke.gateway.tests.registration_builders import (
    ENTRY_KEY,
    FOLLOW_SECONDS,
    FakeStore,
    build_registration,
)
from currantdyke.platform.records import decode_record, encode_daemon_entry
from currantdyke.testing.gateways import run_deployment, run_on_sockets, wait_until
from currantdyke.testing.virtual import run_virtual

OTHERS = 100
# The entry is there again by then: it is noticed, and written once more.
RESTORED_SECONDS = FOLLOW_SECONDS + REGISTRATION_CHECK_SECONDS + 0.5


async def run_scenario(scenario, *, prepare=lambda store: None):
    store = FakeStore()
    prepare(store)
    registration = build_registration(store)
    async with anyio.create_task_group() as tasks:
        await tasks.start(store.run)
        tasks.start_soon(run_registration, registration)
        await anyio.sleep(1)
        await scenario(store, registration)
        await anyio.sleep(2 * LEASE_SECONDS)
        tasks.cancel_scope.cancel()
    return store


async def run_registration(registration):
    """Run a registration as a daemon does."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.run)
        while True:
            await anyio.sleep(REGISTRATION_CHECK_SECONDS)
            await registration.check()


def build_others(store):
    """Return the registrations of a fleet's other daemons."""
    return [
        build_registration(store, incarnation=f"i{number}", name=f"d{number}")
        for number in range(OTHERS)
    ]


def known_entry(store):
    """Return the daemon's entry if it is in the store under a lease that lives."""
    item = store.items.get(ENTRY_KEY)
    if item is None or store.lease_of[ENTRY_KEY] not in store.leases:
        return None
    return decode_record(ENTRY_KEY, item.value).ok


class TestRegistration(unittest.TestCase):
    def test_withdrawn_daemon_announces_it_and_does_not_register_again(self):
        async def leave(store, registration):
            await registration.withdraw()

        store = run_virtual(run_scenario, leave)
        self.assertEqual([entry.leaving for entry in store.written], [False, True])
        self.assertEqual(store.leases, set())

    def test_daemon_whose_lease_ended_registers_again(self):
        async def lapse(store, registration):
            store.leases.clear()

        store = run_virtual(run_scenario, lapse)
        self.assertEqual([entry.leaving for entry in store.written], [False, False])

    def test_daemon_registers_again_after_a_store_outage(self):
        async def outage(store, registration):
            store.unavailable = True
            await anyio.sleep(15)
            store.leases.clear()
            store.unavailable = False

        store = run_virtual(run_scenario, outage)
        self.assertEqual(len(store.leases), 1)
        # All daemons of a fleet retry during an outage. More than one call each in two
        # seconds would add up to hundreds of calls a second at the design size.
        self.assertLess(store.failed_calls, 15 / 1.5)

    # Guards against daemons that all write at once when the store returns from a copy.
    def test_daemon_registers_in_a_new_era_within_the_given_time(self):
        async def return_from_copy(store, registration):
            registration.spread_seconds = lambda: 4.0
            store.leases.clear()
            registration.on_era(2)
            await anyio.sleep(4.1)
            self.assertEqual([lease.era for lease in store.leases], [2])

        store = run_virtual(run_scenario, return_from_copy)
        self.assertEqual([entry.era for entry in store.written], [0, 2])

    # Guards against a lease of the lost seconds that is kept until the next renewal.
    def test_era_that_begins_during_a_renewal_ends_the_lease(self):
        async def return_during_renewal(store, registration):
            renew = store.renew_lease

            async def renew_in_new_era(lease):
                await renew(lease)
                store.renew_lease = renew
                store.leases.clear()
                store.era = 2
                registration.on_era(2)

            store.renew_lease = renew_in_new_era
            await anyio.sleep(LEASE_SECONDS / RENEWALS_PER_LEASE)
            self.assertEqual([lease.era for lease in store.leases], [2])

        store = run_virtual(run_scenario, return_during_renewal)
        self.assertEqual([entry.era for entry in store.written], [0, 2])

    def test_outage_is_logged_once_and_its_end_once(self):
        events = []

        async def outage(store, registration):
            registration.log.write = lambda event, **fields: events.append(event)
            store.unavailable = True
            await anyio.sleep(15)
            store.unavailable = False

        run_virtual(run_scenario, outage)
        reported = [event for event in events if event != "registered"]
        self.assertEqual(reported, ["registration_failed", "registration_regained"])


def lose_writes(store):
    """Let the answer to the next write be lost, and the write be done later."""
    store.lost_writes, store.late_seconds = 1, 4.0


class TestLostCalls(unittest.TestCase):
    # Case 5 of the review: a write without an answer was done after the next one, under
    # a lease that nobody renewed. The daemon renewed the other, and never noticed.
    def test_write_that_is_done_late_leaves_the_entry_under_a_living_lease(self):
        async def wait(store, registration):
            await anyio.sleep(LEASE_SECONDS)

        store = run_virtual(lambda: run_scenario(wait, prepare=lose_writes))
        self.assertIsNotNone(known_entry(store))
        self.assertEqual(store.removed_at, [])

    # Guards against a repeated registration that costs more than the first one.
    def test_lost_write_is_repeated_without_another_lease(self):
        async def wait(store, registration):
            await anyio.sleep(2 * REGISTRATION_RETRY_SECONDS)

        store = run_virtual(lambda: run_scenario(wait, prepare=lose_writes))
        self.assertEqual((store.calls["grant"], store.calls["write"]), (1, 2))

    # Guards against an entry of a daemon that has stopped.
    def test_write_that_is_done_after_the_withdrawal_leaves_no_entry(self):
        async def leave(store, registration):
            await registration.withdraw()
            await anyio.sleep(store.late_seconds)
            self.assertIsNone(known_entry(store))

        store = run_virtual(lambda: run_scenario(leave, prepare=lose_writes))
        self.assertIsNone(known_entry(store))

    # Guards against the next process of a daemon, which others would take for leaving.
    def test_withdrawal_that_is_done_late_does_not_replace_the_next_process(self):
        async def replace(store, registration):
            lose_writes(store)
            await registration.withdraw()
            following = build_registration(store, incarnation="next")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_registration, following)
                await anyio.sleep(2 * LEASE_SECONDS)
                self.assertEqual(known_entry(store).incarnation, "next")
                tasks.cancel_scope.cancel()

        store = run_virtual(run_scenario, replace)
        self.assertEqual(
            [(entry.incarnation, entry.leaving) for entry in store.written],
            [("i", False), ("next", False)],
        )


class TestVerification(unittest.TestCase):
    # Guards against a daemon that takes the answer to its write for the present state.
    def test_entry_that_is_gone_is_written_again(self):
        async def remove(store, registration):
            store.remove(ENTRY_KEY)
            await anyio.sleep(RESTORED_SECONDS)
            self.assertIsNotNone(known_entry(store))

        store = run_virtual(run_scenario, remove)
        self.assertEqual((store.calls["grant"], store.calls["write"]), (1, 2))

    # Guards against a daemon that another takes for one that stops, or is gone.
    def test_entry_of_an_earlier_process_is_replaced(self):
        async def overwrite(store, registration):
            earlier = attrs.evolve(
                registration.entry, incarnation="earlier", leaving=True
            )
            key, value = encode_daemon_entry(earlier)
            lease, _ = await store.grant_lease(LEASE_SECONDS)
            await store.write(key, value, lease)
            await anyio.sleep(RESTORED_SECONDS)
            self.assertEqual(known_entry(store).incarnation, "i")

        store = run_virtual(run_scenario, overwrite)
        self.assertEqual(known_entry(store).incarnation, "i")

    # The same with the process: the others must know the owner of their limits.
    @run_on_sockets
    async def test_daemon_whose_entry_is_gone_is_known_again(self):
        async with run_deployment(plain_configuration()) as deployment:
            gateways = [await deployment.gateway() for _ in range(2)]
            key = f"daemons/{gateways[0].settings.name}"
            await wait_until(lambda: key in deployment.store.items)
            await anyio.sleep(FOLLOW_SECONDS)
            deployment.store.remove(key)
            await wait_until(lambda: key in deployment.store.items, seconds=4.0)
            item = deployment.store.items[key]
            self.assertIn(item["lease"], deployment.store.leases)

    # Guards against a daemon that writes again since what it follows is behind.
    def test_state_from_before_the_write_shows_nothing(self):
        async def fall_behind(store, registration):
            store.follow = lambda: None

        def start_behind(store):
            store.revision = 7
            store.follow()
            store.follow = lambda: None

        store = run_virtual(lambda: run_scenario(fall_behind, prepare=start_behind))
        self.assertEqual(store.calls["write"], 1)

    # Guards against verification that costs calls to the store.
    def test_idle_daemon_only_renews_its_lease(self):
        async def wait(store, registration):
            store.calls.clear()
            await anyio.sleep(LEASE_SECONDS)
            renewals = store.calls.pop("renew")
            self.assertLessEqual(renewals, RENEWALS_PER_LEASE)
            self.assertEqual(store.calls, {})

        run_virtual(run_scenario, wait)

    # The same at the start of a fleet, when all daemons see entries appear.
    def test_daemons_that_start_at_once_write_once_each(self):
        async def start_others(store, registration):
            store.calls.clear()
            async with anyio.create_task_group() as tasks:
                for one in build_others(store):
                    tasks.start_soon(run_registration, one)
                await anyio.sleep(3.0)
                self.assertEqual(store.calls, {"grant": OTHERS, "write": OTHERS})
                tasks.cancel_scope.cancel()

        run_virtual(run_scenario, start_others)

    # Guards against a fleet that exceeds the store's writes once all entries are gone.
    def test_daemons_that_lose_their_entries_at_once_spread_their_writes(self):
        async def lose_all(store, registration):
            others = build_others(store)
            for one in (registration, *others):
                one.spread_seconds = lambda: 10.0
            async with anyio.create_task_group() as tasks:
                for one in others:
                    tasks.start_soon(run_registration, one)
                await anyio.sleep(2.0)
                for key in list(store.items):
                    store.remove(key)
                store.calls.clear()
                await anyio.sleep(FOLLOW_SECONDS + 2.0)
                self.assertLess(store.calls["write"], OTHERS / 2)
                await anyio.sleep(10.0)
                self.assertEqual(len(store.items), OTHERS + 1)
                tasks.cancel_scope.cancel()

        run_virtual(run_scenario, lose_all)


if __name__ == "__main__":
    unittest.main()
