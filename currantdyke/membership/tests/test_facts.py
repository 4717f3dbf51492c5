import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from currantdyke.events import HybridClock, HybridTime
from currantdyke.membership import FactStore
from currantdyke.peers import Fact

facts = st.builds(
    Fact,
    key=st.sampled_from(["leaving/a", "leaving/b", "crash/c", "demand/d", "e"]),
    value=st.sampled_from(["", "1", "2"]),
    time=st.builds(HybridTime, wall=st.integers(1, 6), count=st.integers(0, 2)),
    origin=st.sampled_from(["entry-1", "entry-2"]),
    remaining_seconds=st.sampled_from([5.0, 10.0, 20.0]),
)
batches = st.lists(facts, max_size=12)


class Time:
    seconds = 0.0


def store(capacity=3, time=None):
    return FactStore(
        origin="entry-9",
        clock=HybridClock(wall=lambda: 100),
        now=lambda: (time or Time).seconds,
        capacity=capacity,
    )


def merged(*parts):
    made = store()
    for part in parts:
        for fact in part:
            made.merge(fact)
    return {key: (held.fact, held.expires) for key, held in made.held.items()}


def contents(*parts):
    """Return the latest words, without when they lapse."""
    shown = merged(*parts)
    return {k: (f.time, f.origin, f.value) for k, (f, _) in shown.items()}


class TestMerge(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(batches, batches, batches)
    def test_merge_is_commutative_associative_and_idempotent(self, a, b, c):
        self.assertEqual(contents(a, b, c), contents(c, b, a))
        left = [fact for fact, _ in merged(a, b).values()]
        right = [fact for fact, _ in merged(b, c).values()]
        self.assertEqual(contents(left, c), contents(a, right))
        self.assertEqual(contents(a, b), contents(a, b, a, b))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(batches, batches)
    def test_nothing_expires_later_for_being_heard_twice(self, a, b):
        once = merged(a, b)
        twice = merged(a, b, b, a)
        for key, (_, expires) in twice.items():
            self.assertLessEqual(expires, once[key][1])


class TestBounds(unittest.TestCase):
    def test_expired_fact_is_gone_and_forgotten(self):
        time = Time()
        facts = store(time=time)
        facts.state("leaving/a", "1", seconds=10.0)
        time.seconds = 9.0
        self.assertIsNotNone(facts.get("leaving/a"))
        time.seconds = 10.0
        self.assertIsNone(facts.get("leaving/a"))
        self.assertEqual(facts.with_prefix(""), [])
        facts.forget_expired()
        self.assertEqual(facts.held, {})

    def test_count_is_bounded_and_the_latest_are_kept(self):
        facts = store(capacity=100)
        for number in range(1_000):
            facts.state(f"leaving/{number}", "1", seconds=10.0)
        self.assertEqual(len(facts.held), 100)
        self.assertIsNotNone(facts.get("leaving/999"))

    def test_whole_table_carries_the_latest_facts_only(self):
        facts = store(capacity=4_096)
        for number in range(2_000):
            facts.state(f"leaving/{number}", "1", seconds=10.0)
        latest = facts.latest(3)
        keys = ["leaving/1999", "leaving/1998", "leaving/1997"]
        self.assertEqual([fact.key for fact in latest], keys)

    def test_fact_from_a_clock_far_ahead_is_not_believed(self):
        far = HybridTime(wall=100 + 2 * 3_600 * 1_000_000)
        fact = Fact(
            key="a", value="", time=far, origin="entry-1", remaining_seconds=5.0
        )
        facts = store()
        self.assertFalse(facts.merge(fact))
        self.assertLess(facts.clock.tick().wall, far.wall)


if __name__ == "__main__":
    unittest.main()
