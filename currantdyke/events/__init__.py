"""The time line: events ordered over all processes."""

from currantdyke.events.clock import HybridClock, HybridTime
from currantdyke.events.timeline import Event, Timeline

__all__ = ["Event", "HybridClock", "HybridTime", "Timeline"]
