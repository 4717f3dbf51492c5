"""Write one JSON line for each decision, at a bounded rate and without blocking."""

import collections
import os
import time
from collections.abc import Callable

import anyio
import msgspec

__all__ = ["DecisionLog"]


# Lines that are queued while standard output accepts none; beyond that, new lines are
# dropped.
MAX_QUEUED_LINES = 2_000
# Enough to log in full a burst of ten times the usual load, which is 3 requests per
# second and daemon with two lines each. All lines of a second count, dropped ones
# included; the limit for a line that reports a failure is twice this number.
MAX_LINES_PER_SECOND = 100
FLUSH_INTERVAL_SECONDS = 0.25
MAX_FLUSH_BYTES = 65_536


class DecisionLog:
    """A bounded queue of log lines that a task writes to a file descriptor.

    Parameters
    ----------
    daemon : str
        Name of the daemon, included in each line.
    descriptor : int
        File descriptor to write to; `run` makes it non-blocking.
    steady : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        daemon: str,
        descriptor: int = 1,
        steady: Callable[[], float] = time.monotonic,
    ):
        self.daemon = daemon
        self.descriptor = descriptor
        self.steady = steady
        self.waiting: collections.deque[bytes] = collections.deque()
        self.unwritten = b""
        self.current_second = 0
        self.lines_in_second = 0
        self.dropped = 0
        self.internal_errors = 0

    def write(self, event: str, *, failure: bool = False, **fields: object) -> None:
        """Queue a line, or drop it above the rate limit or if the queue is full.

        Parameters
        ----------
        event : str
            Name of the decision or observation.
        failure : bool
            Whether the line reports a refusal or a failure; its rate limit is twice as
            high.
        **fields
            Inputs and outcome of the decision.
        """
        if not self._admit(failure):
            self.dropped += 1
            return
        line = {
            "time": round(time.time(), 3),
            "steady": round(self.steady(), 3),
            "daemon": self.daemon,
            "event": event,
            **fields,
        }
        self.waiting.append(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def _admit(self, failure: bool) -> bool:
        second = int(self.steady())
        if second != self.current_second:
            self.current_second = second
            self.lines_in_second = 0
        self.lines_in_second += 1
        limit = MAX_LINES_PER_SECOND * (2 if failure else 1)
        return self.lines_in_second <= limit and len(self.waiting) < MAX_QUEUED_LINES

    async def run(self) -> None:
        """Write queued lines until cancelled, and once more on cancellation."""
        os.set_blocking(self.descriptor, False)
        try:
            while True:
                await anyio.sleep(FLUSH_INTERVAL_SECONDS)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the descriptor accepts now."""
        if self.dropped and len(self.waiting) < MAX_QUEUED_LINES:
            self._report_dropped()
        while self.waiting or self.unwritten:
            while self.waiting and len(self.unwritten) < MAX_FLUSH_BYTES:
                self.unwritten += self.waiting.popleft()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except OSError:
                # The reader is slow or gone. The lines stay queued; when the queue is
                # full, new lines are dropped and counted.
                return
            self.unwritten = self.unwritten[written:]

    def _report_dropped(self) -> None:
        line = {
            "time": round(time.time(), 3),
            "daemon": self.daemon,
            "event": "lines_dropped",
            "count": self.dropped,
        }
        self.dropped = 0
        self.waiting.append(msgspec.json.encode(line) + b"\n")
