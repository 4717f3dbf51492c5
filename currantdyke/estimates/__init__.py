"""Estimated run times of stage calls, learned from completed calls."""

from currantdyke.estimates.learned import Estimate, Estimates

__all__ = ["Estimate", "Estimates"]
