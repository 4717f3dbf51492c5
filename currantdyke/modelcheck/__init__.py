"""Model checking of the core protocols by exhaustive state exploration."""

from currantdyke.modelcheck.check import ModelReport, check_model
from currantdyke.modelcheck.sends import SEND_FAULTS, send_model

__all__ = ["SEND_FAULTS", "ModelReport", "check_model", "send_model"]
