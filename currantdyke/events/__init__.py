"""Timeline of events with hybrid logical timestamps."""

from currantdyke.events.chrome import chrome_trace
from currantdyke.events.clock import HybridClock, HybridTime
from currantdyke.events.gather import GatheredTimeline, gather_timeline
from currantdyke.events.timeline import Event, Timeline

__all__ = [
    "Event",
    "GatheredTimeline",
    "HybridClock",
    "HybridTime",
    "Timeline",
    "chrome_trace",
    "gather_timeline",
]
