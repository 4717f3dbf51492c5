"""Estimate of a daemon's memory at the planned fleet size, from measured slopes."""
