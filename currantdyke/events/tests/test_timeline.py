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
    def test_timestamps_increase_when_the_wall_clock_stops_or_goes_back(self):
        walls = iter((10, 10, 4, 11))
        clock = HybridClock(wall=lambda: next(walls))
        times = [clock.tick() for _ in range(4)]
        self.assertEqual(times, sorted(set(times)))

    def test_event_after_a_received_message_sorts_after_its_sending(self):
        ahead = HybridClock(wall=lambda: 900)
        behind = HybridClock(wall=lambda: 5)
        sent = ahead.tick()
        behind.observe(sent)
        self.assertGreater(behind.tick(), sent)

    def test_malformed_timestamp_is_not_decoded(self):
        for text in ("", "5", "5-", "-1-2", "a-b", "1-2-3"):
            self.assertIsNone(HybridTime.decode(text), text)


class TestTimeline(unittest.TestCase):
    def test_timeline_keeps_only_the_latest_events(self):
        timeline = Timeline(daemon="entry-1", capacity=3)
        for number in range(5):
            timeline.record("requests", str(number))
        self.assertEqual([e.name for e in timeline.ring], ["2", "3", "4"])

    def test_chrome_trace_has_each_event_with_its_duration(self):
        timeline = Timeline(daemon="entry-1")
        timeline.record("stages", "done", stage="encode", seconds=0.5)
        timeline.record("requests", "settled")
        trace = chrome_trace(timeline.ring)["traceEvents"]
        self.assertEqual([event["ph"] for event in trace], ["X", "i"])
        self.assertEqual(trace[0]["dur"], 500_000)


class TestGather(unittest.TestCase):
    def test_events_of_all_daemons_are_merged_and_unreachable_daemons_listed(self):
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
        self.assertEqual(list(gathered.errors), ["http://entry-3:8081"])


if __name__ == "__main__":
    unittest.main()
