"""Detection and quarantine of requests that crash endpoints."""

from currantdyke.quarantine.connect import can_connect
from currantdyke.quarantine.fingerprint import fingerprint_of
from currantdyke.quarantine.isolation import SuspectIsolation
from currantdyke.quarantine.quarantine import Quarantine

__all__ = ["Quarantine", "SuspectIsolation", "can_connect", "fingerprint_of"]
