"""Timer service for periodic and delayed callbacks."""

from currantdyke.timers.service import Subscription, TimerService

__all__ = ["Subscription", "TimerService"]
