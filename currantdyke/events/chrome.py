"""Export of events to the Chrome trace format, which common trace viewers read.

References
----------
"Trace Event Format", JSON object format: ``X`` events have a duration, ``i``
events are instants; times are in microseconds.
"""

from collections.abc import Iterable
from typing import Any

from currantdyke.events.timeline import Event

__all__ = ["chrome_trace"]

MICROSECONDS_PER_SECOND = 1_000_000


def chrome_trace(events: Iterable[Event]) -> dict[str, Any]:
    """Return events as a trace with a process per daemon and a thread per stage.

    Examples
    --------
    >>> from currantdyke.events import HybridTime
    >>> event = Event(
    ...     time=HybridTime(wall=5_000_000), daemon="entry-1", duty="stages",
    ...     name="done", stage="encode", seconds=2.0,
    ... )
    >>> trace = chrome_trace([event])["traceEvents"][0]
    >>> trace["ph"], trace["ts"], trace["dur"]
    ('X', 3000000, 2000000)
    """
    return {
        "displayTimeUnit": "ms",
        "traceEvents": [_trace_event(event) for event in events],
    }


def _trace_event(event: Event) -> dict[str, Any]:
    duration = int(event.seconds * MICROSECONDS_PER_SECOND)
    trace: dict[str, Any] = {
        "name": f"{event.duty} {event.name}",
        "cat": event.duty,
        "pid": event.daemon,
        "tid": event.stage or event.duty,
        "ts": event.time.wall - duration,
        "args": {
            "request_id": event.request_id,
            "attempt_id": event.attempt_id,
            "endpoint": event.endpoint,
            "detail": event.detail,
        },
    }
    if duration:
        return trace | {"ph": "X", "dur": duration}
    return trace | {"ph": "i", "s": "t"}
