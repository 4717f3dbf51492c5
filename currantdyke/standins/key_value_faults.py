"""What can be wrong with the stand-in of the platform's key-value service."""

import math
from typing import Any

import anyio
import attrs

__all__ = ["KeyValueFaults", "LateWrite", "Window"]


@attrs.define(kw_only=True)
class KeyValueFaults:
    """Switches that make the service misbehave.

    Attributes
    ----------
    down : bool
        Refuse every call before it takes effect.
    delay : float
        Seconds that each call waits first.
    lose_answers : int
        So many of the next writes take effect and answer with an error.
    lose_writes : int
        So many of the next writes answer with the same error and take no effect.
    late_writes : int
        So many of the next writes answer with the same error and take effect
        ``late_by`` seconds later, if their compare holds then.
    late_by : float
        Seconds.
    break_watches : bool
        End watches at their next event.
    skip_events : int
        Leave so many of the next events out of a watch.
    lease_stretch : float
        Factor on the length of leases: under 1 they lapse early, over 1 late.
    writes_per_second, reads_per_second : float
        Calls over these are refused; a waiting watch counts as one read a second.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    late_writes: int = 0
    late_by: float = 0.0
    break_watches: bool = False
    skip_events: int = 0
    lease_stretch: float = 1.0
    writes_per_second: float = math.inf
    reads_per_second: float = math.inf


@attrs.define(kw_only=True)
class Window:
    """Calls taken in the current second."""

    started: float = -math.inf
    taken: int = 0

    def admits(self, rate: float) -> bool:
        """Count a call; return whether it is within ``rate`` calls a second."""
        now = anyio.current_time()
        if now - self.started >= 1.0:
            self.started = now
            self.taken = 0
        self.taken += 1
        return self.taken <= rate


@attrs.frozen(kw_only=True)
class LateWrite:
    """A write on its way whose caller was told that it timed out."""

    due: float
    question: dict[str, Any]
