"""The timer service that periodic and delayed work subscribes to."""

from currantdyke.timers.service import Subscription, TimerService

__all__ = ["Subscription", "TimerService"]
