"""Metrics of one daemon."""

from currantdyke.metrics.registry import Metrics

__all__ = ["Metrics"]
