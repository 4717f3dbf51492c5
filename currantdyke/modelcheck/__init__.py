"""Specifications of the core protocols, checked state by state."""

from currantdyke.modelcheck.check import ModelReport, check_model
from currantdyke.modelcheck.sends import SEND_FAULTS, send_model

__all__ = ["SEND_FAULTS", "ModelReport", "check_model", "send_model"]
