import os
import unittest

import anyio

from currantdyke.decisionlog import DecisionLog
from currantdyke.gateway.registration import LEASE_SECONDS, Registration
from currantdyke.platform.records import DaemonEntry, decode_record
from currantdyke.platform.store import LeaseEndedError, StoreUnavailableError
from currantdyke.testing.virtual import run_virtual


class FakeStore:
    """Grants leases; fails as told."""

    def __init__(self):
        self.leases = set()
        self.written = []
        self.down = False
        self.granted = 0
        self.refused = 0

    async def grant_lease(self, ttl):
        self._answer()
        self.granted += 1
        self.leases.add(self.granted)
        return self.granted, ttl

    async def renew_lease(self, lease):
        self._answer()
        if lease not in self.leases:
            raise LeaseEndedError

    async def end_lease(self, lease):
        self._answer()
        self.leases.discard(lease)

    async def write(self, key, value, lease):
        self._answer()
        self.written.append(decode_record(key, value).ok)

    def _answer(self):
        if self.down:
            self.refused += 1
            raise StoreUnavailableError("down")


async def play(act):
    store = FakeStore()
    registration = Registration(
        entry=DaemonEntry(
            name="d", ip="10.0.0.1", availability_zone="z", incarnation="i"
        ),
        store=store,
        log=DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY)),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(registration.run)
        await anyio.sleep(1)
        await act(store, registration)
        await anyio.sleep(2 * LEASE_SECONDS)
        tasks.cancel_scope.cancel()
    return store


class TestRegistration(unittest.TestCase):
    def test_daemon_that_leaves_says_so_and_does_not_register_again(self):
        async def leave(store, registration):
            await registration.withdraw()

        store = run_virtual(play, leave)
        self.assertEqual([entry.leaving for entry in store.written], [False, True])
        self.assertEqual(store.leases, set())

    def test_daemon_whose_lease_ended_registers_again(self):
        async def lapse(store, registration):
            store.leases.clear()

        store = run_virtual(play, lapse)
        self.assertEqual([entry.leaving for entry in store.written], [False, False])

    def test_daemon_registers_when_the_store_is_back(self):
        async def outage(store, registration):
            store.down = True
            await anyio.sleep(15)
            store.leases.clear()
            store.down = False

        store = run_virtual(play, outage)
        self.assertEqual(len(store.leases), 1)
        # All daemons of a fleet try; each more than once in two seconds would be
        # hundreds of calls a second at the size to design for.
        self.assertLess(store.refused, 15 / 1.5)

    def test_outage_is_told_once_and_its_end_once(self):
        lines = []

        async def outage(store, registration):
            registration.log.write = lambda event, **fields: lines.append(event)
            store.down = True
            await anyio.sleep(15)
            store.down = False

        run_virtual(play, outage)
        told = [event for event in lines if event != "registered"]
        self.assertEqual(told, ["registration_failed", "registration_regained"])


if __name__ == "__main__":
    unittest.main()
