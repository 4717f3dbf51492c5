import collections
import random
import unittest

from currantdyke.bundle import EndpointSpec
from currantdyke.endpoints import Endpoint
from currantdyke.routing import Pool, choose_endpoint


def build_endpoints(count=10):
    return [
        Endpoint(
            service="engine",
            spec=EndpointSpec(name=f"engine-{n}", url=f"http://engine-{n}", slots=8),
        )
        for n in range(count)
    ]


def count_choices(endpoints, *, now=0.0, calls=400, seed=1, hold=False, **keywords):
    pool = Pool(daemon="entry-1", endpoints=endpoints)
    pool.refresh(now)
    source = random.Random(seed)
    counts = collections.Counter()
    for _ in range(calls):
        chosen = choose_endpoint(pool, now=now, random_source=source, **keywords)
        counts[chosen.name] += 1
        chosen.in_flight += hold
    return counts


class TestChooseEndpoint(unittest.TestCase):
    def test_stale_report_of_an_idle_endpoint_does_not_attract_all_calls(self):
        endpoints = build_endpoints()
        for endpoint in endpoints:
            endpoint.record_load(8.0, 0.0)
        endpoints[0].record_load(0.0, 0.0)
        counts = count_choices(endpoints, now=10.0, calls=100, hold=True)
        self.assertLess(counts["engine-0"], 25)

    def test_slow_vm_gets_few_calls_until_its_pace_expires(self):
        endpoints = build_endpoints()
        for endpoint in endpoints:
            endpoint.observe_pace(0.03, 10.0)
        endpoints[0].observe_pace(0.5, 10.0)
        self.assertLess(count_choices(endpoints, now=10.0)["engine-0"], 8)
        self.assertGreater(count_choices(endpoints, now=25.0)["engine-0"], 20)

    def test_at_most_half_of_a_pool_is_ejected(self):
        endpoints = build_endpoints()
        for endpoint in endpoints[:9]:
            endpoint.failures_in_row = 3
            endpoint.failed_at = 10.0
        counts = count_choices(endpoints, now=10.5)
        self.assertEqual(len(counts), 5)
        self.assertEqual(len(count_choices(endpoints, now=30.0)), 10)

    def test_leaving_endpoint_gets_no_calls(self):
        endpoints = build_endpoints(3)
        endpoints[0].leaving = True
        self.assertNotIn("engine-0", count_choices(endpoints))

    def test_prefix_keeps_its_endpoint_until_it_is_busy(self):
        endpoints = build_endpoints()
        keywords = {"prefix": "notes on cider", "affinity_bound": 0.7}
        first = count_choices(endpoints, **keywords)
        self.assertEqual(len(first), 1)
        (name,) = first
        preferred = next(e for e in endpoints if e.name == name)
        preferred.in_flight = 20
        self.assertNotIn(name, count_choices(endpoints, **keywords))

    def test_large_pool_is_reduced_to_a_subset_that_depends_on_the_daemon(self):
        endpoints = build_endpoints(4200)
        one = Pool(daemon="entry-1", endpoints=endpoints)
        other = Pool(daemon="entry-2", endpoints=endpoints)
        self.assertEqual(len(one.endpoints), 24)
        self.assertNotEqual(one.endpoints, other.endpoints)


if __name__ == "__main__":
    unittest.main()
