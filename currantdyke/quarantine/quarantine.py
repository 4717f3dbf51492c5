"""Crash counts of request fingerprints, and refusal of crashing requests."""

from collections.abc import Callable

from currantdyke.core import Failure, FailureKind
from currantdyke.quarantine.fingerprint import fingerprint_of
from currantdyke.quarantine.record import CrashRecord
from currantdyke.requests import Exchange

__all__ = ["Quarantine"]

# The users' callers keep resending a failed request for this long.
REFUSAL_SECONDS = 600.0
CRASH_COUNT_SECONDS = 600.0
# Bounds the memory, at about 200 bytes each.
MAX_RECORDS = 4_096


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
        self.records: dict[str, CrashRecord] = {}

    def record_of(self, exchange: Exchange) -> CrashRecord | None:
        """Return the crash record of a suspect request, or None if it is no suspect."""
        if not self.records:
            return None
        found = self.records.get(fingerprint_of(exchange))
        if found is None or not found.total or found.expires <= self.now():
            return None
        return found

    def refuse(self, exchange: Exchange) -> Failure | None:
        """Return the reason for refusing a request, or None."""
        if not self.records:
            return None
        found = self.records.get(fingerprint_of(exchange))
        if found is None or found.refused_until <= self.now():
            return None
        return Failure(
            kind=FailureKind.QUARANTINED,
            detail=f"copies of this request crashed endpoints ({found.fingerprint})",
            retry_after=found.refused_until - self.now(),
        )

    def count_crash(
        self, fingerprint: str, *, alone: bool, in_flight: int, service: str
    ) -> None:
        """Count an endpoint's crash while it ran a request with this fingerprint.

        Parameters
        ----------
        alone : bool
            Whether this daemon had no other fingerprint in flight at the endpoint.
        in_flight : int
            Number of this daemon's fingerprints that were in flight at the endpoint.
        service : str
            The service of the endpoint.
        """
        record = self._find_or_create(fingerprint)
        now = self.now()
        if record.expires <= now:
            record.clear()
        record.total += 1
        record.alone += alone
        record.in_flight = max(record.in_flight, in_flight)
        record.service = service
        record.counted_at = now
        record.expires = now + CRASH_COUNT_SECONDS
        self.note("crash alone" if alone else "crash among others", fingerprint)
        if record.should_refuse() and record.refused_until <= now:
            record.refused_until = now + REFUSAL_SECONDS
            self.note("refused from now on", fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Reset the counts of a suspect request that succeeded."""
        found = self.records.get(fingerprint)
        if found is not None and found.total:
            found.clear()
            self.note("cleared", fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Drop the record of a fingerprint; return whether there was one."""
        if self.records.pop(fingerprint, None) is None:
            return False
        self.note("lifted", fingerprint)
        return True

    def list_records(self) -> list[dict]:
        """Return all crash records for operators, refused requests first."""
        rows = [self._as_row(record) for record in self.records.values()]
        return sorted(rows, key=lambda row: (-row["refused_seconds"], -row["crashes"]))

    async def remove_expired(self) -> None:
        """Drop expired records."""
        now = self.now()
        for fingerprint, record in list(self.records.items()):
            if max(record.expires, record.refused_until) <= now:
                del self.records[fingerprint]

    def _find_or_create(self, fingerprint: str) -> CrashRecord:
        found = self.records.setdefault(
            fingerprint, CrashRecord(fingerprint=fingerprint)
        )
        if len(self.records) > MAX_RECORDS:
            del self.records[next(iter(self.records))]
        return found

    def _as_row(self, record: CrashRecord) -> dict:
        return {
            "fingerprint": record.fingerprint,
            "crashes": record.total,
            "crashes_alone": record.alone,
            "service": record.service,
            "refused_seconds": max(0.0, record.refused_until - self.now()),
        }
