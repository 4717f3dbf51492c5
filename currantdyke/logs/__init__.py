"""Logging as text or as JSON."""

from currantdyke.logs.setup import JsonFormatter, set_up_logs

__all__ = ["JsonFormatter", "set_up_logs"]
