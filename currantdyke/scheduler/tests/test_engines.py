import unittest

from currantdyke.catalog import Endpoint, EngineLimits
from currantdyke.platform.requests import PromptPart
from currantdyke.scheduler.engines import EngineTable
from currantdyke.scheduler.messages import PlacementRequest, ProgressKind

LIMITS = EngineLimits(slots=8, cache_tokens=200_000)


def make_endpoints(count: int, **changes) -> dict[str, Endpoint]:
    return {
        f"e-{n}": Endpoint(
            instance=f"e-{n}",
            service="engine",
            address=f"10.0.0.{n}:1",
            availability_zone=f"zone-{n % 2}",
            **changes,
        )
        for n in range(count)
    }


def make_request(name: str, shared: bytes = b"s", tokens: int = 13_000, **changes):
    parts = (
        PromptPart(part_id=shared, tokens=tokens),
        PromptPart(part_id=name.encode(), tokens=1_000),
    )
    return PlacementRequest(
        attempt_id=name,
        service="engine",
        prompt_tokens=tokens + 1_000,
        parts=parts,
        **changes,
    )


class TestEngines(unittest.TestCase):
    def setUp(self):
        self.table = EngineTable()
        self.endpoints = make_endpoints(4)

    def place(self, asked: PlacementRequest, now: float = 0.0, **changes):
        engine = self.table.choose(asked, self.endpoints, LIMITS, now, **changes)
        return self.table.record_placement(engine, asked, LIMITS, now)

    def test_second_request_uses_the_engine_that_caches_the_shared_part(self):
        first = self.place(make_request("a"))
        self.table.record_progress("a", ProgressKind.STARTED, 0.4)
        second = self.place(make_request("b"), 0.5)
        self.assertEqual(second.instance, first.instance)
        self.assertEqual(
            (first.uncached_tokens, second.uncached_tokens), (14_000, 1_000)
        )

    def test_many_requests_with_a_shared_part_use_several_engines(self):
        placed = [self.place(make_request(f"r{n}"), time_left=1.0) for n in range(60)]
        used = {one.instance for one in placed}
        self.assertGreater(len(used), 1)

    def test_new_owner_chooses_the_same_engine_for_a_shared_part(self):
        first = self.place(make_request("a"))
        successor = EngineTable()
        engine = successor.choose(make_request("b"), self.endpoints, LIMITS, 0.0)
        self.assertEqual(engine.endpoint.instance, first.instance)

    def test_lost_engine_is_avoided(self):
        first = self.place(make_request("a"))
        self.table.record_progress("a", ProgressKind.ENGINE_LOST, 1.0)
        self.assertNotEqual(self.place(make_request("b"), 1.1).instance, first.instance)

    def place_twice(self):
        """Place a request at a second engine beside the first; return both."""
        first = self.place(make_request("a"))
        self.table.set_aside("a", 1.0)
        return first, self.place(make_request("a", excluded=(first.instance,)), 1.0)

    def counted(self):
        engines = self.table.engines.values()
        return [e.endpoint.instance for e in engines if "a" in e.placed]

    def test_request_counts_at_the_earlier_engine_if_the_later_run_ends(self):
        first, second = self.place_twice()
        self.assertEqual(self.counted(), [second.instance])
        self.table.record_run("a", second.instance, ProgressKind.ENGINE_FULL, 2.0)
        self.assertEqual(self.counted(), [first.instance])

    def test_request_counts_only_at_the_engine_that_starts(self):
        for number in range(2):
            self.table = EngineTable()
            pair = self.place_twice()
            started, other = pair[number].instance, pair[1 - number].instance
            self.table.record_run("a", started, ProgressKind.STARTED, 2.0)
            # The report of the run that was given up comes later.
            self.table.record_run("a", other, ProgressKind.CANCELLED, 2.0)
            self.assertEqual(self.counted(), [started])

    def test_end_of_the_earlier_run_leaves_the_later_one(self):
        first, second = self.place_twice()
        self.table.record_run("a", first.instance, ProgressKind.ENGINE_LOST, 2.0)
        self.assertEqual(self.counted(), [second.instance])
        self.table.record_run("a", second.instance, ProgressKind.ENGINE_LOST, 3.0)
        self.assertEqual(self.counted(), [])

    def test_end_of_the_request_ends_all_of_its_runs(self):
        self.place_twice()
        self.table.record_progress("a", ProgressKind.CANCELLED, 2.0)
        self.assertEqual(
            (self.counted(), self.table.requests, self.table.earlier), ([], {}, {})
        )

    def test_restarted_engine_has_an_empty_cache(self):
        first = self.place(make_request("a"))
        self.table.record_progress("a", ProgressKind.FINISHED, 0.5)
        self.endpoints = make_endpoints(4, born=7)
        second = self.place(make_request("b"), 1.0)
        self.assertEqual(second.instance, first.instance)
        self.assertEqual(second.uncached_tokens, 14_000)

    def test_large_results_lead_to_an_engine_in_their_zone(self):
        small = make_request("a", tokens=100)
        placed = self.place(small, results_zone="zone-1", results_bytes=8_000_000)
        zone = self.endpoints[placed.instance].availability_zone
        self.assertEqual(zone, "zone-1")

    def test_request_without_progress_is_removed_after_its_deadline(self):
        self.place(make_request("a", deadline=2.0))
        self.place(make_request("b"), 10.0)
        self.assertEqual(list(self.table.requests), ["b"])

    def test_recorded_parts_do_not_exceed_the_cache(self):
        for number in range(40):
            name = f"r{number}"
            self.place(make_request(name, shared=b"s%d" % number), float(number))
            self.table.record_progress(name, ProgressKind.FINISHED, number + 0.5)
        for engine in self.table.engines.values():
            self.assertLessEqual(engine.cached_part_tokens, LIMITS.cache_tokens)


if __name__ == "__main__":
    unittest.main()
