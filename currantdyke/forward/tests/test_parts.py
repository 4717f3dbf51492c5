import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from currantdyke.catalog import Endpoint
from currantdyke.forward.budget import FleetRetryBudget
from currantdyke.forward.choose import choose_endpoint
from currantdyke.forward.events import EventSplitter, EventTooLongError
from currantdyke.forward.health import HealthTable


def endpoint(name: str, zone: str = "z") -> Endpoint:
    return Endpoint(
        instance=name, service="s", address="10.0.0.1:1", availability_zone=zone
    )


class TestFleetRetryBudget(unittest.TestCase):
    @given(st.lists(st.floats(0, 40), max_size=300), st.integers(1, 12))
    def test_retries_in_any_window_stay_within_the_fleet_slack(self, times, daemons):
        budget = FleetRetryBudget(ratio=0.2, window=10.0, slack=104.0)
        spent = [now for now in sorted(times) if budget.spend(now=now, daemons=daemons)]
        for start in spent:
            within = sum(start <= now <= start + 10 for now in spent)
            self.assertLessEqual(within * daemons, 104)

    def test_requests_earn_a_share_of_retries(self):
        budget = FleetRetryBudget(ratio=0.2, window=10.0, slack=0.0)
        for _ in range(20):
            budget.earn()
        spent = sum(budget.spend(now=0.0, daemons=1) for _ in range(20))
        self.assertTrue(2 <= spent <= 4)


class TestEventSplitter(unittest.TestCase):
    @given(st.lists(st.integers(1, 9), max_size=6), st.data())
    def test_only_complete_events_are_returned_for_any_chunking(self, sizes, data):
        stream = b"".join(
            b"id: %d\ndata: %s\n\n" % (n, b"x" * size) for n, size in enumerate(sizes)
        )
        splitter = EventSplitter()
        out, last = b"", None
        while stream:
            cut = data.draw(st.integers(1, len(stream)))
            whole, last_id = splitter.feed(stream[:cut])
            stream = stream[cut:]
            self.assertTrue(whole == b"" or whole.endswith(b"\n\n"))
            out += whole
            last = last_id or last
        self.assertFalse(splitter.has_partial_event)
        self.assertEqual(out.count(b"\n\n"), len(sizes))
        self.assertEqual(last, b"%d" % (len(sizes) - 1) if sizes else None)

    def test_event_without_an_end_raises(self):
        splitter = EventSplitter()
        with self.assertRaises(EventTooLongError):
            for _ in range(40):
                splitter.feed(b"x" * 65_536)


class TestChooseEndpoint(unittest.TestCase):
    def setUp(self):
        self.health = HealthTable()
        self.endpoints = [endpoint("a"), endpoint("b"), endpoint("c")]

    def choose(self, excluded=(), now=1.0):
        chosen = choose_endpoint(
            self.endpoints,
            health=self.health,
            availability_zone="z",
            excluded=excluded,
            now=now,
            random_source=random.Random(1),
        )
        return chosen and chosen.instance

    def test_endpoint_with_failed_calls_is_not_chosen(self):
        for _ in range(5):
            self.health.of("a").record_failure(1.0)
            self.health.of("b").record_failure(1.0)
        self.assertEqual({self.choose() for _ in range(20)}, {"c"})

    def test_endpoint_that_recovered_is_chosen_again(self):
        for _ in range(5):
            self.health.of("a").record_failure(1.0)
        self.endpoints = self.endpoints[:2]
        self.health.of("b").in_flight = 3
        self.assertEqual(self.choose(now=30.0), "a")

    def test_unreachable_endpoint_is_chosen_only_if_there_is_no_other(self):
        self.health.of("a").record_unreachable(1.0)
        self.assertNotEqual(self.choose(), "a")
        self.assertEqual(self.choose(excluded=("b", "c")), "a")
        self.assertIsNone(self.choose(excluded=("a", "b", "c")))


if __name__ == "__main__":
    unittest.main()
