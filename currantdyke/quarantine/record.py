"""Crash record of one request fingerprint."""

import attrs

__all__ = ["CrashRecord"]

# Targets: at most three crashed endpoints per fingerprint, and no refusal of a request
# that was only in flight when another one crashed the endpoint.
CRASHES_TO_REFUSE = 3
CRASHES_ALONE_TO_REFUSE = 2


@attrs.define(kw_only=True)
class CrashRecord:
    """Crashes attributed to one fingerprint; times are monotonic, in seconds.

    Attributes
    ----------
    total : int
        Endpoints that crashed while running the request.
    alone : int
        Of these, endpoints where this daemon had no other fingerprint in flight.
    in_flight : int
        Largest number of fingerprints that were in flight at one of these crashes.
    service : str
        Service of the endpoint that crashed last.
    counted_at : float
        When the latest crash was counted.
    expires : float
        When the counts expire.
    refused_until : float
        When copies are accepted again.
    """

    fingerprint: str
    total: int = 0
    alone: int = 0
    in_flight: int = 1
    service: str = ""
    counted_at: float = float("-inf")
    expires: float = float("-inf")
    refused_until: float = float("-inf")

    def clear(self) -> None:
        """Reset the counts."""
        self.total = self.alone = 0
        self.in_flight = 1
        self.service = ""

    def should_refuse(self) -> bool:
        """Return whether the request is to be refused.

        At least one endpoint must have crashed while this daemon ran only this request
        on it, so that a request is never refused merely for crashes that other
        requests of this daemon caused.
        """
        if self.alone >= CRASHES_ALONE_TO_REFUSE:
            return True
        return self.total >= CRASHES_TO_REFUSE and self.alone >= 1
