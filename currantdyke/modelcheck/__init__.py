"""Specifications of the core protocols, checked state by state."""

from currantdyke.modelcheck.accept import first_unaccepted
from currantdyke.modelcheck.check import ModelReport, check_model
from currantdyke.modelcheck.claims import CLAIM_FAULTS, claim_model, claim_steps

__all__ = [
    "CLAIM_FAULTS",
    "ModelReport",
    "check_model",
    "claim_model",
    "claim_steps",
    "first_unaccepted",
]
