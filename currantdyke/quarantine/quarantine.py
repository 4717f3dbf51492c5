"""Crash counts of request fingerprints, and refusal of crashing requests."""

from collections.abc import Callable

from currantdyke.core import Failure, FailureKind
from currantdyke.quarantine.fingerprint import fingerprint_of
from currantdyke.quarantine.record import Suspicion
from currantdyke.requests import Exchange

__all__ = ["Quarantine"]

# The users' callers keep resending a failed request for this long.
REFUSED_SECONDS = 600.0
SUSPICION_SECONDS = 600.0
# Bounds the memory, at about 200 bytes each.
MAX_SUSPICIONS = 4_096


class Quarantine:
    """Counts crashes and refuses the requests that cause them.

    Parameters
    ----------
    now : callable
        Returns the monotonic time in seconds.
    note : callable
        Called with the name of an event and a fingerprint.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        note: Callable[[str, str], None] = lambda name, fingerprint: None,
    ):
        self.now = now
        self.note = note
        self.suspicions: dict[str, Suspicion] = {}

    def suspicion_of(self, exchange: Exchange) -> Suspicion | None:
        """Return the crash record of a suspect request, or None if it is no suspect."""
        if not self.suspicions:
            return None
        found = self.suspicions.get(fingerprint_of(exchange))
        if found is None or not found.total or found.expires <= self.now():
            return None
        return found

    def refuse(self, exchange: Exchange) -> Failure | None:
        """Return the reason for refusing a request, or None."""
        if not self.suspicions:
            return None
        found = self.suspicions.get(fingerprint_of(exchange))
        if found is None or found.refused_until <= self.now():
            return None
        return Failure(
            kind=FailureKind.QUARANTINED,
            detail=f"copies of this request crashed endpoints ({found.fingerprint})",
            retry_after=found.refused_until - self.now(),
        )

    def count_crash(
        self, fingerprint: str, *, alone: bool, crowd: int, service: str
    ) -> None:
        """Count the crash of an endpoint that was running a fingerprint.

        Parameters
        ----------
        alone : bool
            Whether the endpoint was running nothing else.
        in_flight : int
            Number of fingerprints that were in flight at the endpoint.
        service : str
            The service of the endpoint.
        """
        suspicion = self._suspicion(fingerprint)
        now = self.now()
        if suspicion.expires <= now:
            suspicion.clear()
        suspicion.total += 1
        suspicion.alone += alone
        suspicion.crowd = max(suspicion.crowd, crowd)
        suspicion.service = service
        suspicion.heard = now
        suspicion.expires = now + SUSPICION_SECONDS
        self.note("crash alone" if alone else "crash among others", fingerprint)
        if suspicion.is_enough() and suspicion.refused_until <= now:
            suspicion.refused_until = now + REFUSED_SECONDS
            self.note("refused from now on", fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Reset the counts of a suspect request that succeeded."""
        found = self.suspicions.get(fingerprint)
        if found is not None and found.total:
            found.clear()
            self.note("cleared", fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Drop the record of a fingerprint; return whether there was one."""
        if self.suspicions.pop(fingerprint, None) is None:
            return False
        self.note("lifted", fingerprint)
        return True

    def listed(self) -> list[dict]:
        """Return all crash records for operators, refused requests first."""
        shown = [self._shown(suspicion) for suspicion in self.suspicions.values()]
        return sorted(shown, key=lambda row: (-row["refused_seconds"], -row["crashes"]))

    async def forget_old(self) -> None:
        """Drop expired records."""
        now = self.now()
        for fingerprint, suspicion in list(self.suspicions.items()):
            if max(suspicion.expires, suspicion.refused_until) <= now:
                del self.suspicions[fingerprint]

    def _suspicion(self, fingerprint: str) -> Suspicion:
        found = self.suspicions.setdefault(
            fingerprint, Suspicion(fingerprint=fingerprint)
        )
        if len(self.suspicions) > MAX_SUSPICIONS:
            del self.suspicions[next(iter(self.suspicions))]
        return found

    def _shown(self, suspicion: Suspicion) -> dict:
        return {
            "fingerprint": suspicion.fingerprint,
            "crashes": suspicion.total,
            "crashes_alone": suspicion.alone,
            "service": suspicion.service,
            "refused_seconds": max(0.0, suspicion.refused_until - self.now()),
        }
