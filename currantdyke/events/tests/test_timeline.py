import unittest

import attrs

from currantdyke.events import (
    HybridClock,
    HybridTime,
    Timeline,
    chrome_trace,
    gather_timeline,
)
from currantdyke.testing import fleet_in_memory, run_virtual


class TestHybridClock(unittest.TestCase):
    def test_time_goes_on_while_the_wall_clock_stands_or_goes_back(self):
        walls = iter((10, 10, 4, 11))
        clock = HybridClock(wall=lambda: next(walls))
        times = [clock.tick() for _ in range(4)]
        self.assertEqual(times, sorted(set(times)))

    def test_what_follows_a_message_sorts_after_it(self):
        ahead = HybridClock(wall=lambda: 900)
        behind = HybridClock(wall=lambda: 5)
        sent = ahead.tick()
        behind.observe(sent)
        self.assertGreater(behind.tick(), sent)

    def test_garbage_is_no_time(self):
        for text in ("", "5", "5-", "-1-2", "a-b", "1-2-3"):
            self.assertIsNone(HybridTime.decode(text), text)


class TestTimeline(unittest.TestCase):
    def test_ring_keeps_only_the_latest(self):
        timeline = Timeline(daemon="entry-1", capacity=3)
        for number in range(5):
            timeline.record("requests", str(number))
        self.assertEqual([e.name for e in timeline.ring], ["2", "3", "4"])

    def test_chrome_form_has_an_event_each_with_its_length(self):
        timeline = Timeline(daemon="entry-1")
        timeline.record("stages", "done", stage="encode", seconds=0.5)
        timeline.record("requests", "settled")
        trace = chrome_trace(timeline.ring)["traceEvents"]
        self.assertEqual([event["ph"] for event in trace], ["X", "i"])
        self.assertEqual(trace[0]["dur"], 500_000)


class TestGather(unittest.TestCase):
    def test_events_of_all_daemons_come_in_one_order_and_the_dead_are_named(self):
        async def scenario():
            async with fleet_in_memory(daemons=2) as fleet:
                for name in ("entry-2", "entry-1", "entry-2"):
                    timeline = fleet.daemons[name].timeline
                    timeline.record("requests", "seen", request_id="r")
                async with fleet.network.client() as client:
                    urls = [f"http://entry-{i}:8081" for i in (1, 2, 3)]
                    return await gather_timeline(client, urls, request_id="r")

        gathered = run_virtual(scenario)
        self.assertEqual(len(gathered.events), 3)
        times = [attrs.astuple(event.time) for event in gathered.events]
        self.assertEqual(times, sorted(times))
        self.assertEqual(list(gathered.missing), ["http://entry-3:8081"])


if __name__ == "__main__":
    unittest.main()
