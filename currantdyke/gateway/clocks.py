"""Detect that the VM or this process was suspended."""

import time
from collections.abc import Callable

import attrs

from currantdyke.core import boot_time

__all__ = ["StallDetector"]

# A burst of work delays the event loop by less than this.
MIN_STALL_SECONDS = 1.0


@attrs.define(kw_only=True, eq=False)
class StallDetector:
    """Compares the time between two checks with their period, on two clocks.

    The monotonic clock does not count the time of a VM suspension; the boot clock
    does. After a freeze of the process both have advanced by far more than the period.

    Attributes
    ----------
    period : float
        Seconds between two checks.
    monotonic_clock, boot_clock : callable
        Return the time in seconds, without and with suspensions of the VM.

    Examples
    --------
    >>> clock = [0.0, 0.0]
    >>> detector = StallDetector(period=0.5, monotonic_clock=lambda: clock[0],
    ...                          boot_clock=lambda: clock[1])
    >>> clock[:] = [0.5, 0.5]
    >>> detector.check()
    0.0
    >>> clock[:] = [1.0, 4.0]
    >>> detector.check()
    3.0
    """

    period: float
    monotonic_clock: Callable[[], float] = time.monotonic
    boot_clock: Callable[[], float] = boot_time
    last_monotonic: float = attrs.field(init=False)
    last_boot: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read both clocks for the first check."""
        self.last_monotonic = self.monotonic_clock()
        self.last_boot = self.boot_clock()

    def check(self) -> float:
        """Return the length in seconds of a stall since the last check, or 0."""
        monotonic, boot = self.monotonic_clock(), self.boot_clock()
        elapsed = max(monotonic - self.last_monotonic, boot - self.last_boot)
        self.last_monotonic, self.last_boot = monotonic, boot
        stalled = elapsed - self.period
        return stalled if stalled > MIN_STALL_SECONDS else 0.0
