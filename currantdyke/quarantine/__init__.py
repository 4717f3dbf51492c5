"""Detection and quarantine of requests that crash endpoints."""

from currantdyke.quarantine.connect import can_connect
from currantdyke.quarantine.fingerprint import fingerprint_of
from currantdyke.quarantine.quarantine import Quarantine
from currantdyke.quarantine.turns import Turns

__all__ = ["Quarantine", "Turns", "can_connect", "fingerprint_of"]
