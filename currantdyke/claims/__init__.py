"""At most once: claims of idempotency keys, kept in the platform's store."""

from currantdyke.claims.forward import forward_claims
from currantdyke.claims.gate import ClaimGate
from currantdyke.claims.operations import Granted, Taken
from currantdyke.claims.records import Record, State
from currantdyke.claims.service import Claims

__all__ = [
    "ClaimGate",
    "Claims",
    "Granted",
    "Record",
    "State",
    "Taken",
    "forward_claims",
]
