"""Specifications of the core protocols, checked state by state."""

from currantdyke.modelcheck.accept import first_unaccepted
from currantdyke.modelcheck.check import ModelReport, check_model
from currantdyke.modelcheck.claims import CLAIM_FAULTS, claim_model, claim_steps
from currantdyke.modelcheck.orders import (
    FENCED_FAULTS,
    UNFENCED_FAULTS,
    order_model,
)

__all__ = [
    "CLAIM_FAULTS",
    "FENCED_FAULTS",
    "ModelReport",
    "UNFENCED_FAULTS",
    "check_model",
    "claim_model",
    "claim_steps",
    "first_unaccepted",
    "order_model",
]
