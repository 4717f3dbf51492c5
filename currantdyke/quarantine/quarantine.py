"""The crashes of each fingerprint over the fleet, and who is refused."""

from collections.abc import Callable

from currantdyke.core import Failure, FailureKind
from currantdyke.membership import FactStore
from currantdyke.peers import Fact
from currantdyke.quarantine.fingerprint import fingerprint_of
from currantdyke.quarantine.record import CrashCount, Suspicion
from currantdyke.requests import Exchange

__all__ = ["Quarantine"]

CRASH_PREFIX = "crash/"
REFUSED_PREFIX = "quarantine/"
TRIAL_PREFIX = "trial/"
LIFTED = "lifted"
REFUSED_SECONDS = 600.0
SUSPICION_SECONDS = 600.0
TRIAL_SECONDS = 30.0
MAX_SUSPICIONS = 4_096


class Quarantine:
    """Counts crashes in facts that go round between the daemons.

    Parameters
    ----------
    daemon : str
        This daemon's name.
    facts : FactStore
        Where facts are stated and heard.
    now : callable
        Returns the monotonic time in seconds.
    note : callable
        Called with an event's name and a fingerprint.
    """

    def __init__(
        self,
        *,
        daemon: str,
        facts: FactStore,
        now: Callable[[], float],
        note: Callable[[str, str], None] = lambda name, fingerprint: None,
    ):
        self.daemon = daemon
        self.now = now
        self.note = note
        self.suspicions: dict[str, Suspicion] = {}
        self.use(facts)

    def use(self, facts: FactStore) -> None:
        """State and hear facts in this store from now on."""
        self.facts = facts
        facts.subscribe(CRASH_PREFIX, self._take_crash)
        facts.subscribe(REFUSED_PREFIX, self._take_verdict)

    def suspicion_of(self, exchange: Exchange) -> Suspicion | None:
        """Return what is known of a request, where it is under suspicion."""
        if not self.suspicions:
            return None
        found = self.suspicions.get(fingerprint_of(exchange))
        return found if found is not None and found.summed().total else None

    def refuse(self, exchange: Exchange) -> Failure | None:
        """Return why a request is refused, or None."""
        if not self.suspicions:
            return None
        fingerprint = fingerprint_of(exchange)
        verdict = self.facts.get(REFUSED_PREFIX + fingerprint)
        if verdict is None or verdict.value == LIFTED:
            return None
        return Failure(
            kind=FailureKind.QUARANTINED,
            detail=f"copies of this request crashed endpoints ({fingerprint})",
            retry_after=verdict.remaining_seconds,
        )

    def count_crash(
        self, fingerprint: str, *, alone: bool, crowd: int, service: str
    ) -> None:
        """Count an endpoint that died while it ran a fingerprint."""
        before = self._own_count(fingerprint)
        count = CrashCount(
            total=before.total + 1,
            alone=before.alone + alone,
            crowd=max(before.crowd, crowd),
            service=service,
        )
        self._state_count(fingerprint, count)
        self.note("crash alone" if alone else "crash among others", fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Take back this daemon's counts of a request that ran well after all."""
        if self._own_count(fingerprint).total:
            self._state_count(fingerprint, CrashCount())
            self.note("cleared", fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Forget a fingerprint on all daemons; return whether it was known."""
        if fingerprint not in self.suspicions:
            return False
        key = REFUSED_PREFIX + fingerprint
        self.facts.state(key, LIFTED, seconds=REFUSED_SECONDS)
        self.note("lifted", fingerprint)
        return True

    def begin_trial(self, fingerprint: str) -> None:
        """Tell the other daemons that this one tries a suspect."""
        key = f"{TRIAL_PREFIX}{fingerprint}/{self.daemon}"
        self.facts.state(key, "running", seconds=TRIAL_SECONDS)

    def end_trial(self, fingerprint: str) -> None:
        """Tell the other daemons that the trial is over."""
        key = f"{TRIAL_PREFIX}{fingerprint}/{self.daemon}"
        self.facts.state(key, "", seconds=TRIAL_SECONDS)

    def has_rival(self, fingerprint: str) -> bool:
        """Return whether a daemon that goes first tries the same suspect."""
        trials = self.facts.with_prefix(f"{TRIAL_PREFIX}{fingerprint}/")
        return any(fact.value and fact.origin < self.daemon for fact in trials)

    def listed(self) -> list[dict]:
        """Return all suspicions for operators, the refused ones first."""
        shown = [self._shown(suspicion) for suspicion in self.suspicions.values()]
        return sorted(shown, key=lambda row: (-row["refused_seconds"], -row["crashes"]))

    async def forget_old(self) -> None:
        """Drop suspicions whose facts have lapsed."""
        for fingerprint, suspicion in list(self.suspicions.items()):
            for daemon in list(suspicion.counts):
                key = f"{CRASH_PREFIX}{fingerprint}/{daemon}"
                if self.facts.get(key) is None:
                    del suspicion.counts[daemon]
            verdict = self.facts.get(REFUSED_PREFIX + fingerprint)
            if not suspicion.counts and verdict is None:
                del self.suspicions[fingerprint]

    def _own_count(self, fingerprint: str) -> CrashCount:
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is None or self.daemon not in suspicion.counts:
            return CrashCount()
        at, count = suspicion.counts[self.daemon]
        return count if at > suspicion.lifted else CrashCount()

    def _state_count(self, fingerprint: str, count: CrashCount) -> None:
        key = f"{CRASH_PREFIX}{fingerprint}/{self.daemon}"
        self.facts.state(key, count.encode(), seconds=SUSPICION_SECONDS)

    def _take_crash(self, fact: Fact) -> None:
        _, fingerprint, daemon = fact.key.split("/", 2)
        suspicion = self._suspicion(fingerprint)
        before = suspicion.summed().total
        suspicion.counts[daemon] = (fact.time, CrashCount.decode(fact.value))
        if suspicion.summed().total > before:
            suspicion.heard = self.now()
        verdict = self.facts.get(REFUSED_PREFIX + fingerprint)
        is_refused = verdict is not None and verdict.value != LIFTED
        if suspicion.is_enough() and not is_refused:
            key = REFUSED_PREFIX + fingerprint
            self.facts.state(key, suspicion.summed().service, seconds=REFUSED_SECONDS)
            self.note("refused from now on", fingerprint)

    def _take_verdict(self, fact: Fact) -> None:
        suspicion = self._suspicion(fact.key.removeprefix(REFUSED_PREFIX))
        if fact.value == LIFTED:
            suspicion.lifted = max(suspicion.lifted, fact.time)

    def _suspicion(self, fingerprint: str) -> Suspicion:
        found = self.suspicions.setdefault(
            fingerprint, Suspicion(fingerprint=fingerprint)
        )
        if len(self.suspicions) > MAX_SUSPICIONS:
            del self.suspicions[next(iter(self.suspicions))]
        return found

    def _shown(self, suspicion: Suspicion) -> dict:
        verdict = self.facts.get(REFUSED_PREFIX + suspicion.fingerprint)
        is_refused = verdict is not None and verdict.value != LIFTED
        total = suspicion.summed()
        return {
            "fingerprint": suspicion.fingerprint,
            "crashes": total.total,
            "crashes_alone": total.alone,
            "service": total.service,
            "refused_seconds": (
                verdict.remaining_seconds if verdict and is_refused else 0.0
            ),
            "daemons": sorted(suspicion.counts),
        }
