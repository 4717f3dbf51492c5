"""Ring buffer of the latest events of one process."""

import collections
from collections.abc import Callable, Iterator

import attrs

from currantdyke.events.clock import HybridClock, HybridTime

__all__ = ["Event", "Timeline"]

DEFAULT_CAPACITY_EVENTS = 20_000


@attrs.frozen(kw_only=True)
class Event:
    """Event of a daemon.

    Attributes
    ----------
    duty : str
        What the event is about: ``requests``, ``stages``, ``endpoints`` or
        ``quarantine``.
    name : str
        What happened, such as ``accepted``.
    seconds : float
        Duration, which ends at ``time``; 0 for an instant.
    """

    time: HybridTime
    daemon: str
    duty: str
    name: str
    request_id: str = ""
    stage: str = ""
    attempt_id: str = ""
    endpoint: str = ""
    detail: str = ""
    seconds: float = 0.0


class Timeline:
    """Recorder of events that drops the oldest ones at its capacity."""

    def __init__(
        self,
        *,
        daemon: str,
        clock: HybridClock | None = None,
        capacity: int = DEFAULT_CAPACITY_EVENTS,
    ):
        self.daemon = daemon
        self.clock = clock or HybridClock()
        self.ring: collections.deque[Event] = collections.deque(maxlen=capacity)
        self.listeners: list[Callable[[Event], None]] = []

    def record(self, duty: str, name: str, **fields) -> Event:
        """Record an event and notify the listeners.

        ``fields`` are further attributes of `Event`.
        """
        event = Event(
            time=self.clock.tick(), daemon=self.daemon, duty=duty, name=name, **fields
        )
        self.ring.append(event)
        for listener in self.listeners:
            listener(event)
        return event

    def subscribe(self, listener: Callable[[Event], None]) -> None:
        """Call ``listener`` with each event when it is recorded."""
        self.listeners.append(listener)

    def of_request(self, request_id: str) -> Iterator[Event]:
        """Yield the events of one request, oldest first."""
        return (event for event in self.ring if event.request_id == request_id)
