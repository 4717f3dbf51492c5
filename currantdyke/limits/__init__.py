"""Workspaces' limits, held over all daemons together."""

from currantdyke.limits.fleet import FleetLimits

__all__ = ["FleetLimits"]
