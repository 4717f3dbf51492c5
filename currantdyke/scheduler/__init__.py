"""Scheduling of stage work across daemons and placement of requests at engines."""
