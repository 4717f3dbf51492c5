"""Clocks for times that must be right also after the VM was suspended."""

import time

__all__ = ["boot_time"]


def boot_time() -> float:
    """Return the seconds since the VM was started, suspensions included.

    The monotonic clock of the event loop stands still while the VM is suspended, so
    what is known would seem newer than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
