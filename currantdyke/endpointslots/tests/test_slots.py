import functools
import unittest

import anyio

from currantdyke.catalog import Endpoint
from currantdyke.directory import EndpointTable
from currantdyke.endpointlimits.client import ASK_TIMEOUT_SECONDS
from currantdyke.endpointlimits.owners import LimitOwners
from currantdyke.endpointslots.client import BEGINNING_SECONDS, EndpointSlots, Slot
from currantdyke.endpointslots.fragile import KEPT_SECONDS, FragileServices
from currantdyke.endpointslots.messages import (
    ServiceFragile,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from currantdyke.endpointslots.pool import SlotPools
from currantdyke.links import Frame
from currantdyke.links.codec import decode_frame, encode_frame
from currantdyke.testing.stage_fleet import silent_log
from currantdyke.testing.virtual import run_virtual

ENDPOINT = Endpoint(
    instance="i", service="s", address="a:1", availability_zone="z", born=1, slots=2
)


def build_slots(*, owners=(("",), ("",)), request=None, tasks=None):
    """Return a daemon's slots, and what it sends and broadcasts.

    Parameters
    ----------
    tasks : TaskGroup, optional
        Needed if another daemon is asked.
    owners : pair of tuple of str
        IPs of the owners in order, without and with those that are suspected.
    """
    sent, broadcast = [], []
    limit_owners = LimitOwners(
        ranked_daemons=lambda service, suspected: list(owners[suspected]),
        check=lambda ip: None,
    )
    table = EndpointTable(now=anyio.current_time)
    table.announce(ENDPOINT)
    fragile = FragileServices(
        log=silent_log(),
        send=lambda ip, content: sent.append((ip, content)),
        broadcast=broadcast.append,
        owners=limit_owners,
    )
    slots = EndpointSlots(
        fragile=fragile,
        endpoints=table,
        log=silent_log(),
        request=request,
        send=lambda ip, content: sent.append((ip, content)),
        start=None if tasks is None else tasks.start_soon,
        owners=limit_owners,
    )
    return slots, sent, broadcast


class TestSlots(unittest.TestCase):
    # A fleet without fragile endpoints pays one look into an empty table.
    def test_sound_endpoint_needs_no_slot(self):
        async def acquire():
            slots, sent, _ = build_slots()
            return await slots.acquire(ENDPOINT, 1.0), sent, slots.pools.pools

        self.assertEqual(run_virtual(acquire), (Slot(), [], {}))

    def test_fragile_endpoint_gets_as_many_requests_as_it_has_slots(self):
        async def acquire():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            found = [await slots.acquire(ENDPOINT, 5.0) for _ in range(3)]
            slots.release(found[0])
            return found, await slots.acquire(ENDPOINT, 5.0)

        found, after = run_virtual(acquire)
        self.assertIsInstance(found[2], float)
        self.assertTrue(after.lease)

    # A daemon that is killed releases nothing.
    def test_slot_is_free_after_the_time_of_its_request(self):
        async def acquire():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            for _ in range(2):
                await slots.acquire(ENDPOINT, 1.0)
            await anyio.sleep(1.1)
            return await slots.acquire(ENDPOINT, 1.0)

        self.assertTrue(run_virtual(acquire).lease)

    def test_endpoint_that_is_back_gets_requests_step_by_step(self):
        async def acquire():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            await anyio.sleep(BEGINNING_SECONDS + 0.1)
            slots.fragile.record(ENDPOINT)
            return [await slots.acquire(ENDPOINT, 5.0) for _ in range(2)]

        first, second = run_virtual(acquire)
        self.assertTrue(first.lease)
        self.assertIsInstance(second, float)

    # Soak, fragile-engines 6104: a daemon that had just started was the owner, did not
    # know that the service was fragile, and granted all slots once more.
    def test_owner_that_has_just_started_learns_from_requests_for_slots(self):
        async def grant():
            slots, _, _ = build_slots()
            slots.started_at = anyio.current_time()
            request = SlotRequest(instance="i", service="s", born=1, seconds=5.0)
            leases = [slots.handle_request(request).lease for _ in range(2)]
            return leases, slots.full([ENDPOINT])

        (first, second), full = run_virtual(grant)
        self.assertTrue(first)
        self.assertEqual((second, full), (0, [ENDPOINT]))

    # Guards against a service that counts as fragile for as long as it has requests.
    def test_own_requests_for_slots_do_not_extend_the_time(self):
        async def acquire():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            for _ in range(10):
                slots.release(await slots.acquire(ENDPOINT, 5.0))
                await anyio.sleep(KEPT_SECONDS / 5)
            return slots.fragile.is_fragile(ENDPOINT.service)

        self.assertFalse(run_virtual(acquire))

    # Guards against engines that get one request a second more for what they rejected
    # in an earlier time in which they were fragile.
    def test_each_time_in_which_a_service_is_fragile_begins_anew(self):
        async def take():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            for _ in range(ENDPOINT.slots):
                slot = slots.take_as_owner(ENDPOINT, 5.0)
                slots.release(slot, rejected=True)
            await anyio.sleep(KEPT_SECONDS + 1.0)
            slots.fragile.record(ENDPOINT)
            found = [slots.take_as_owner(ENDPOINT, 5.0) for _ in range(3)]
            return [bool(slot.lease) for slot in found]

        self.assertEqual(run_virtual(take), [True, True, False])

    # Guards against slots that are granted twice since the owner heard for a while of
    # no answer that says so.
    def test_slots_stay_taken_while_the_owner_hears_of_no_answer(self):
        async def take():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            for _ in range(ENDPOINT.slots):
                slots.take_as_owner(ENDPOINT, 60.0)
            await anyio.sleep(KEPT_SECONDS + 1.0)
            request = SlotRequest(instance="i", service="s", born=1, seconds=5.0)
            return [slots.handle_request(request).lease for _ in range(3)]

        # One more may wait after a second without a rejection.
        self.assertEqual(list(map(bool, run_virtual(take))), [True, False, False])

    # The same run: a new owner granted one slot after the other at engines that were
    # full of what its predecessor had granted.
    def test_new_owner_grants_nothing_for_a_while_after_a_rejection(self):
        async def grant():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            await anyio.sleep(BEGINNING_SECONDS + 0.1)
            slots.fragile.record(ENDPOINT)
            rejected = 0
            for _ in range(100):
                slot = slots.take_as_owner(ENDPOINT, 5.0)
                rejected += bool(slot.lease)
                slots.release(slot, rejected=True)
                await anyio.sleep(0.02)
            return rejected, slots.refuse([ENDPOINT])

        rejected, wait = run_virtual(grant)
        self.assertLessEqual(rejected, 3)
        self.assertGreater(wait, 0.0)

    # Two owners that grant the same slots would fill the endpoint twice.
    def test_daemon_that_is_cut_off_from_the_owner_grants_nothing(self):
        async def acquire():
            slots, _, _ = build_slots(owners=(("",), ("10.0.0.9", "")))
            slots.fragile.record(ENDPOINT)
            return await slots.acquire(ENDPOINT, 5.0)

        self.assertIsInstance(run_virtual(acquire), float)

    def test_owner_that_does_not_respond_grants_nothing(self):
        async def never(ip, content):
            await anyio.sleep_forever()

        async def acquire():
            owners = (("10.0.0.9", ""), ("10.0.0.9", ""))
            async with anyio.create_task_group() as tasks:
                slots, _, _ = build_slots(owners=owners, request=never, tasks=tasks)
                slots.fragile.record(ENDPOINT)
                started = anyio.current_time()
                wait = await slots.acquire(ENDPOINT, 5.0)
                seconds = anyio.current_time() - started
                tasks.cancel_scope.cancel()
            return wait, seconds

        wait, seconds = run_virtual(acquire)
        self.assertIsInstance(wait, float)
        self.assertLess(seconds, 0.2)

    # Issue 47: only plain requests took slots. Stages and placements do without asking.
    def test_owner_takes_slots_for_its_own_calls(self):
        async def take():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            found = [slots.take_as_owner(ENDPOINT, 5.0) for _ in range(ENDPOINT.slots)]
            full = [slots.full([ENDPOINT])]
            slots.release(found[0])
            full.append(slots.full([ENDPOINT]))
            return found, full

        found, full = run_virtual(take)
        self.assertTrue(all(slot.lease for slot in found))
        self.assertEqual(full, [[ENDPOINT], []])

    def test_daemon_that_grants_no_slots_knows_of_no_full_endpoint(self):
        async def look(owners, *, fragile):
            slots, _, _ = build_slots(owners=owners)
            if fragile:
                slots.fragile.record(ENDPOINT)
            return slots.take_as_owner(ENDPOINT, 5.0), slots.full([ENDPOINT])

        other = (("10.0.0.9", ""), ("10.0.0.9", ""))
        for owners, fragile in ((((), ()), False), (other, True)):
            with self.subTest(owners=owners):
                found = run_virtual(functools.partial(look, owners, fragile=fragile))
                self.assertEqual(found, (Slot(), []))

    # Guards against two owners at once, of which one is cut off from the other.
    def test_endpoints_of_a_daemon_that_is_cut_off_are_full(self):
        async def look():
            slots, _, _ = build_slots(owners=(("",), ("10.0.0.9", "")))
            slots.fragile.record(ENDPOINT)
            return slots.full([ENDPOINT])

        self.assertEqual(run_virtual(look), [ENDPOINT])

    def test_requests_beyond_what_becomes_free_are_refused_one_after_another(self):
        async def refuse():
            slots, _, _ = build_slots()
            slots.fragile.record(ENDPOINT)
            for _ in range(ENDPOINT.slots):
                slots.take_as_owner(ENDPOINT, 5.0)
            short = [
                slots.is_short([ENDPOINT], waiting=waiting, seconds=0.2)
                for waiting in (0, ENDPOINT.slots)
            ]
            return short, [slots.refuse([ENDPOINT]) for _ in range(3)]

        short, waits = run_virtual(refuse)
        self.assertEqual(short, [False, True])
        self.assertEqual(waits, sorted(set(waits)))

    def test_slot_of_another_daemon_is_released_there(self):
        async def grant(ip, content):
            return SlotGrant(lease=7)

        async def acquire():
            owners = (("10.0.0.9", ""), ("10.0.0.9", ""))
            async with anyio.create_task_group() as tasks:
                slots, sent, _ = build_slots(owners=owners, request=grant, tasks=tasks)
                slots.fragile.record(ENDPOINT)
                slot = await slots.acquire(ENDPOINT, 5.0)
                slots.release(slot, rejected=True)
            return sent

        report, release = run_virtual(acquire)
        self.assertEqual(report, ("10.0.0.9", ServiceFragile(service="s")))
        self.assertEqual(
            release, ("10.0.0.9", SlotRelease(instance="i", lease=7, rejected=True))
        )


async def leave_behind(*, answer_seconds, leave_seconds):
    """Ask an owner that answers late, and stop waiting; return what it has granted."""
    owner, _, _ = build_slots()

    async def answer(ip, content):
        grant = owner.handle_request(content)
        await anyio.sleep(answer_seconds)
        return grant

    async with anyio.create_task_group() as tasks:
        others = (("10.0.0.9", ""), ("10.0.0.9", ""))
        slots, sent, _ = build_slots(owners=others, request=answer, tasks=tasks)
        slots.fragile.record(ENDPOINT)
        for _ in range(ENDPOINT.slots):
            with anyio.move_on_after(leave_seconds):
                await slots.acquire(ENDPOINT, 60.0)
    for _, content in sent:
        if isinstance(content, SlotRelease):
            owner.handle_release(content)
    return owner.pools.pools["i"].leases


class TestAbandonedRequests(unittest.TestCase):
    # Issue 47: callers that left while their daemon asked for a slot kept it until the
    # deadline, so that an endpoint with few slots got no more requests.
    def test_slot_that_is_granted_to_a_request_that_is_gone_is_free_again(self):
        cases = {
            "cancelled": {"answer_seconds": 0.1, "leave_seconds": 0.05},
            "cancelled as the answer comes": {
                "answer_seconds": 0.1,
                "leave_seconds": 0.1,
            },
            "answered after the time limit": {
                "answer_seconds": 2 * ASK_TIMEOUT_SECONDS,
                "leave_seconds": 60.0,
            },
        }
        for name, seconds in cases.items():
            with self.subTest(name):
                leases = run_virtual(functools.partial(leave_behind, **seconds))
                self.assertEqual(leases, {})


class TestPools(unittest.TestCase):
    def ask(self, pools, now, **changes):
        fields = {"born": 1, "slots": 4, "first": 4} | changes
        pool = pools.pool("i", now=now, **fields)
        return pools.grant(pool, seconds=60.0, now=now)

    def test_rejection_leaves_the_endpoint_fewer_requests(self):
        pools = SlotPools()
        leases = [self.ask(pools, 0.0).lease for _ in range(4)]
        for lease in leases:
            pools.release("i", lease, rejected=True, now=0.1)
        # It rejects all that it gets, so that it gets nothing for a second, then one.
        granted = [self.ask(pools, now).lease for now in (0.2, 0.9, 1.2, 1.3)]
        self.assertEqual(
            [bool(lease) for lease in granted], [False, False, True, False]
        )

    def test_rejection_of_some_leaves_the_endpoint_the_others(self):
        pools = SlotPools()
        leases = [self.ask(pools, 0.0).lease for _ in range(4)]
        for lease in leases[:2]:
            pools.release("i", lease, rejected=True, now=0.1)
        pools.release("i", leases[2], rejected=False, now=0.2)
        granted = [self.ask(pools, 0.3).lease for _ in range(2)]
        self.assertEqual([bool(lease) for lease in granted], [True, False])

    def test_allowance_rises_by_one_a_second_to_one_that_waits(self):
        pools = SlotPools()
        for second in range(10):
            self.ask(pools, 1.1 * second, first=1)
        self.assertEqual(pools.pools["i"].capacity, 5)

    # Callers that are refused one after another come back one after another.
    def test_refused_callers_get_later_and_later_times(self):
        pools = SlotPools()
        waits = [self.ask(pools, 0.0, first=1).wait for _ in range(4)]
        self.assertEqual(waits[0], 0.0)
        self.assertEqual(waits[1:], sorted(set(waits[1:])))


class TestFragileServices(unittest.TestCase):
    def test_owner_tells_all_once_and_it_ends_without_answers(self):
        async def run():
            slots, sent, broadcast = build_slots()
            for _ in range(3):
                slots.fragile.handle(ServiceFragile(service="s"))
            first = slots.fragile.is_fragile("s")
            await anyio.sleep(KEPT_SECONDS + 0.1)
            return sent, broadcast, first, slots.fragile.is_fragile("s")

        self.assertEqual(
            run_virtual(run), ([], [ServiceFragile(service="s")], True, False)
        )

    def test_messages_are_read_as_they_were_sent(self):
        for content in (
            ServiceFragile(service="s"),
            SlotRequest(instance="i", service="s", born=5, seconds=1.5),
            SlotGrant(lease=0, wait=0.25),
            SlotGrant(lease=2**40),
            SlotRelease(instance="i", lease=3, rejected=True),
        ):
            data = encode_frame(Frame(number=1, content=content))
            self.assertEqual(decode_frame(data).ok.content, content)

    # A daemon that has no slot must not read that it need not wait.
    def test_short_wait_is_no_grant(self):
        grant = SlotGrant(lease=0, wait=0.000_1)
        data = encode_frame(Frame(number=1, content=grant))
        self.assertGreater(decode_frame(data).ok.content.wait, 0.0)


if __name__ == "__main__":
    unittest.main()
