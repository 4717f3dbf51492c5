import unittest

import anyio

from currantdyke.soak.limits import WINDOW_SECONDS, allowed_requests
from currantdyke.testing.limit_fleet import LimitFleet
from currantdyke.testing.virtual import run_virtual

# Of the users' deployments, `contact_ms`.
CONTACT_SECONDS = 3.0
SIZES = (2, 12, 110)
# Budget of the design for all coordination of a daemon.
MAX_BYTES_PER_SECOND = 10_000


def run_fleet(fleet, **options):
    run_virtual(lambda: fleet.run(**options))


class TestFleet(unittest.TestCase):
    def assert_within(self, fleet, number, limit, start=CONTACT_SECONDS):
        busiest = fleet.busiest(number, WINDOW_SECONDS, start=start)
        self.assertLessEqual(busiest, allowed_requests(limit))

    # Issue 28: each daemon counted for itself, or not at all.
    def test_limit_binds_the_whole_fleet_and_is_used(self):
        for daemons in SIZES:
            for limit in (0.0, 0.25, 1.0, 20.0):
                with self.subTest(daemons=daemons, limit=limit):
                    fleet = LimitFleet(daemons=daemons, endpoints=3, limits={0: limit})
                    run_fleet(fleet, rate=max(30.0, 6 * limit), seconds=25.0)
                    self.assert_within(fleet, 0, limit)
                    used = fleet.rate_of(0, CONTACT_SECONDS, 25.0)
                    self.assertGreater(used, 0.6 * limit)
                    self.assertEqual(fleet.retry_after, [])

    def test_requests_beyond_all_limits_are_told_when_to_come_back(self):
        for daemons in SIZES:
            with self.subTest(daemons=daemons):
                fleet = LimitFleet(daemons=daemons, endpoints=2, limits={0: 1, 1: 2})
                run_fleet(fleet, rate=40.0, seconds=30.0)
                for number, limit in fleet.named.items():
                    self.assert_within(fleet, number, limit)
                    used = fleet.rate_of(number, CONTACT_SECONDS, 30.0)
                    self.assertGreater(used, 0.6 * limit)
                self.assertGreater(len(fleet.retry_after), 500)
                self.assertGreater(min(fleet.retry_after), 0.0)

    def test_owners_that_stop_one_after_another_exceed_no_limit(self):
        async def stop(fleet):
            for name in sorted(fleet.daemons)[:8]:
                await anyio.sleep(0.7)
                fleet.daemons[name].leaving = True

        for seed in range(3):
            fleet = LimitFleet(daemons=12, endpoints=2, limits={0: 5}, seed=seed)
            run_fleet(fleet, rate=60.0, seconds=16.0, during=stop)
            self.assert_within(fleet, 0, 5.0, start=0.0)
            self.assertGreater(fleet.rate_of(0, 8.0, 16.0), 2.5)

    def test_owners_that_are_killed_one_after_another_exceed_no_limit(self):
        async def kill(fleet):
            for name in sorted(fleet.daemons)[:4]:
                await anyio.sleep(2.0)
                del fleet.daemons[name]
                await anyio.sleep(1.0)
                fleet.start_daemon(name)

        for seed in range(3):
            fleet = LimitFleet(daemons=12, endpoints=2, limits={0: 5}, seed=seed)
            entries = sorted(fleet.daemons)[4:]
            run_fleet(fleet, rate=60.0, seconds=20.0, during=kill, entries=entries)
            self.assert_within(fleet, 0, 5.0, start=0.0)
            self.assertGreater(fleet.rate_of(0, 14.0, 20.0), 2.5)

    # An owner that only some daemons reach: the others have half of the limit at most.
    def test_daemons_that_are_cut_off_the_owner_have_half_of_the_limit(self):
        async def cut(fleet):
            await anyio.sleep(4.0)
            names = sorted(fleet.daemons)
            fleet.daemons[names[0]].unreachable = set(names[6:])

        for seed in range(3):
            fleet = LimitFleet(daemons=12, endpoints=2, limits={0: 8}, seed=seed)
            run_fleet(fleet, rate=80.0, seconds=40.0, during=cut)
            self.assert_within(fleet, 0, 8.0)

    # The owner and the daemon that has taken its place would both grant the limit.
    def test_owner_that_is_back_after_a_freeze_exceeds_no_limit(self):
        async def freeze(fleet):
            first = fleet.daemons[min(fleet.daemons)]
            for _ in range(3):
                await anyio.sleep(5.0)
                first.unreachable = set(fleet.daemons)
                await anyio.sleep(4.0)
                first.unreachable = set()

        for seed in range(3):
            fleet = LimitFleet(daemons=12, endpoints=2, limits={0: 8}, seed=seed)
            entries = sorted(fleet.daemons)[1:]
            run_fleet(fleet, rate=80.0, seconds=40.0, during=freeze, entries=entries)
            self.assert_within(fleet, 0, 8.0)
            self.assertGreater(fleet.rate_of(0, CONTACT_SECONDS, 40.0), 4.0)

    # Each daemon sees only itself: one is first for all, the others are alone.
    def test_daemons_that_are_all_cut_off_exceed_no_limit(self):
        async def cut(fleet):
            await anyio.sleep(4.0)
            for daemon in fleet.daemons.values():
                daemon.unreachable = set(fleet.daemons)

        for daemons in (*SIZES, 20):
            for seed in range(6):
                with self.subTest(daemons=daemons, seed=seed):
                    fleet = LimitFleet(
                        daemons=daemons, endpoints=2, limits={0: 2}, seed=seed
                    )
                    run_fleet(fleet, rate=100.0, seconds=60.0, during=cut)
                    self.assert_within(fleet, 0, 2.0)

    def test_endpoint_that_names_its_limit_no_more_gets_its_share_again(self):
        async def end(fleet):
            await anyio.sleep(10.0)
            del fleet.named[0]

        for daemons in SIZES:
            fleet = LimitFleet(daemons=daemons, endpoints=2, limits={0: 1})
            run_fleet(fleet, rate=60.0, seconds=20.0, during=end)
            self.assertGreater(fleet.rate_of(0, 14.5, 20.0), 20.0)

    def test_changed_limit_holds_from_the_next_answer(self):
        async def change(fleet):
            await anyio.sleep(10.0)
            fleet.named[0] = 1

        fleet = LimitFleet(daemons=12, endpoints=2, limits={0: 8})
        run_fleet(fleet, rate=60.0, seconds=20.0, during=change)
        self.assert_within(fleet, 0, 1.0, start=11.0)
        self.assertGreater(fleet.rate_of(0, 11.0, 20.0), 0.5)

    def test_messages_stay_within_the_budget_and_need_a_limit(self):
        for daemons in SIZES:
            with self.subTest(daemons=daemons):
                seconds = 30.0
                limits = dict.fromkeys(range(4), 2.0)
                fleet = LimitFleet(daemons=daemons, endpoints=50, limits=limits)
                run_fleet(fleet, rate=200.0, seconds=seconds)
                busiest = max(d.bytes for d in fleet.daemons.values()) / seconds
                self.assertLess(busiest, MAX_BYTES_PER_SECOND)
                quiet = LimitFleet(daemons=daemons, endpoints=50, limits={})
                run_fleet(quiet, rate=200.0, seconds=seconds)
                sent = sum(daemon.messages for daemon in quiet.daemons.values())
                self.assertEqual(sent, 0)


if __name__ == "__main__":
    unittest.main()
