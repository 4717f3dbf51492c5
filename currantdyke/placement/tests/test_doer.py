import contextlib
import random
import unittest

import anyio
import attrs

from currantdyke.placement import (
    HttpOrders,
    LoadPermits,
    ServiceDoer,
    ServiceLease,
)
from currantdyke.placement.lease import LEASE_SECONDS
from currantdyke.placement.orders import ORDER_SECONDS
from currantdyke.standins import KeyValueStandIn
from currantdyke.standins.orders import OrderStandIn
from currantdyke.store import EtcdStore
from currantdyke.testing import MemoryNetwork, run_virtual

STEP_SECONDS = 2.0


class PausedOrders:
    """Orders that a pause holds back between the last look and the sending."""

    def __init__(self, *, orders):
        self.orders = orders
        self.pause = 0.0
        self.pause_before_look = 0.0

    async def observe(self, url):
        observed = await self.orders.observe(url)
        seconds, self.pause_before_look = self.pause_before_look, 0.0
        with anyio.CancelScope(shield=True):
            await anyio.sleep(seconds)
        return observed

    async def order(self, url, models, fencing):
        seconds, self.pause = self.pause, 0.0
        with anyio.CancelScope(shield=True):
            await anyio.sleep(seconds)
        return await self.orders.order(url, models, fencing)


@attrs.define(kw_only=True, eq=False)
class Site:
    network: MemoryNetwork
    store: KeyValueStandIn
    endpoints: list[OrderStandIn]
    doers: list[ServiceDoer]
    wanted: list[dict[str, frozenset[str]]]
    events: list[str] = attrs.field(factory=list)

    async def run(self, number, seconds):
        with anyio.move_on_after(seconds):
            while True:
                await self.doers[number].step()
                await anyio.sleep(STEP_SECONDS)


@contextlib.asynccontextmanager
async def site(*, checks_fencing, endpoints=1, doers=2, permits=8):
    async with anyio.create_task_group() as tasks:
        network = MemoryNetwork(tasks=tasks)
        standin = KeyValueStandIn()
        url = network.attach("store:1", standin.app())
        made = Site(network=network, store=standin, endpoints=[], doers=[], wanted=[])
        urls = []
        for number in range(endpoints):
            endpoint = OrderStandIn(checks_fencing=checks_fencing)
            made.endpoints.append(endpoint)
            urls.append(network.attach(f"pomace-{number}:1", endpoint.app()))
        for number in range(doers):
            store = EtcdStore(client=network.client(), url=url)
            wanted = {url: frozenset((f"model-{number}",)) for url in urls}
            made.wanted.append(wanted)
            orders = HttpOrders(client=network.client())
            made.doers.append(
                ServiceDoer(
                    lease=ServiceLease(
                        store=store, service="pomace-llm", daemon=f"entry-{number}"
                    ),
                    orders=PausedOrders(orders=orders),
                    permits=LoadPermits(
                        store=store,
                        count=permits,
                        seconds=30,
                        random_source=random.Random(number),
                    ),
                    checks_fencing=checks_fencing,
                    wanted=made.wanted[number].copy,
                    count=made.events.append,
                )
            )
        yield made
        tasks.cancel_scope.cancel()


class TestDoer(unittest.TestCase):
    def test_one_of_two_doers_orders(self):
        async def scenario():
            async with site(checks_fencing=True) as made:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(made.run, 0, 60.0)
                    tasks.start_soon(made.run, 1, 60.0)
                return made.endpoints[0].taken

        self.assertEqual(len(run_virtual(scenario)), 1)

    def test_paused_holder_that_wakes_is_refused_where_fencing_is_checked(self):
        async def scenario():
            async with site(checks_fencing=True) as made:
                made.doers[0].orders.pause = 60.0
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(made.run, 0, 100.0)
                    await anyio.sleep(1.0)
                    tasks.start_soon(made.run, 1, 100.0)
                return made.endpoints[0], made.events

        endpoint, events = run_virtual(scenario)
        self.assertIn("stale", events)
        self.assertEqual(endpoint.models, ["model-1"])
        numbers = [number for _, number, _ in endpoint.taken]
        self.assertEqual(numbers, sorted(numbers))

    def test_paused_holder_that_wakes_is_corrected_where_it_is_not(self):
        async def scenario():
            async with site(checks_fencing=False) as made:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(made.run, 0, 120.0)
                    await anyio.sleep(20.0)
                    made.wanted[0].update(
                        dict.fromkeys(made.wanted[0], frozenset(("late",)))
                    )
                    made.doers[0].orders.pause = 60.0
                    tasks.start_soon(made.run, 1, 120.0)
                return made.endpoints[0]

        endpoint = run_virtual(scenario)
        self.assertIn(("late",), [models for _, _, models in endpoint.taken])
        self.assertEqual(endpoint.models, ["model-1"])
        woken = [t for t, _, models in endpoint.taken if models == ("late",)][-1]
        after = [t for t, _, models in endpoint.taken if models == ("model-1",)][-1]
        self.assertLess(after - woken, 2 * STEP_SECONDS)

    def test_holder_that_wakes_before_its_last_look_sends_nothing(self):
        async def scenario():
            async with site(checks_fencing=False) as made:
                made.doers[0].orders.pause_before_look = 60.0
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(made.run, 0, 100.0)
                    await anyio.sleep(1.0)
                    tasks.start_soon(made.run, 1, 100.0)
                return made.endpoints[0].taken, made.events

        taken, events = run_virtual(scenario)
        self.assertIn("lapsed", events)
        self.assertEqual([models for _, _, models in taken], [("model-1",)])

    def test_refusal_as_old_ends_the_lease_at_once(self):
        async def scenario():
            async with site(checks_fencing=True, endpoints=2) as made:
                made.store.faults.lease_stretch = 0.1
                made.doers[0].orders.pause = 3.0
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(made.doers[0].step)
                    await anyio.sleep(2.0)
                    await made.doers[1].step()
                return made.events

        self.assertEqual(run_virtual(scenario).count("stale"), 1)

    def test_next_holder_waits_out_the_last_ones_orders_without_fencing(self):
        async def scenario():
            async with site(checks_fencing=False) as made:
                started = anyio.current_time()
                await made.run(0, 40.0)
                return made.endpoints[0].taken[0][0] - started

        waited = run_virtual(scenario)
        self.assertGreaterEqual(waited, LEASE_SECONDS + ORDER_SECONDS)

    def test_holder_stops_before_the_store_gives_its_lease_away(self):
        async def scenario():
            async with site(checks_fencing=True) as made:
                doer = made.doers[0]
                made.store.faults.delay = 0.5
                await doer.lease.keep()
                expires = min(lease.expires for lease in made.store.leases.values())
                return doer.lease.until, expires

        until, expires = run_virtual(scenario)
        self.assertLess(until, expires - 1.0)

    def test_store_outage_moves_nothing_and_the_holder_stops(self):
        async def scenario():
            async with site(checks_fencing=True) as made:
                await made.doers[0].step()
                made.store.faults.down = True
                await anyio.sleep(LEASE_SECONDS)
                made.wanted[0].update(
                    dict.fromkeys(made.wanted[0], frozenset(("other",)))
                )
                await made.run(0, 60.0)
                return made.endpoints[0].taken

        self.assertEqual(len(run_virtual(scenario)), 1)

    def test_lease_that_lapsed_early_gives_the_next_holder_a_higher_number(self):
        async def scenario():
            async with site(checks_fencing=True) as made:
                made.store.faults.lease_stretch = 0.1
                await made.doers[0].lease.keep()
                await anyio.sleep(2.0)
                await made.doers[1].lease.keep()
                return [doer.lease.fencing for doer in made.doers]

        first, second = run_virtual(scenario)
        self.assertGreater(second, first)

    def test_lost_answer_of_the_taking_swap_is_settled(self):
        async def scenario():
            async with site(checks_fencing=True) as made:
                made.store.faults.lose_answers = 1
                return await made.doers[0].lease.keep()

        self.assertTrue(run_virtual(scenario))

    def test_loads_begin_no_faster_than_the_weight_store_bears(self):
        async def scenario():
            async with site(
                checks_fencing=True, endpoints=6, doers=1, permits=2
            ) as made:
                await made.run(0, 100.0)
                return sorted(e.taken[0][0] for e in made.endpoints)

        times = run_virtual(scenario)
        for first, third in zip(times, times[2:], strict=False):
            self.assertGreaterEqual(third - first, 28.0)

    def test_no_order_is_repeated_when_all_is_as_wanted(self):
        async def scenario():
            async with site(checks_fencing=True) as made:
                await made.run(0, 300.0)
                return made.endpoints[0].taken

        self.assertEqual(len(run_virtual(scenario)), 1)


if __name__ == "__main__":
    unittest.main()
