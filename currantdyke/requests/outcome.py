"""Outcome of a failed request, derived from how its attempts ended."""

from collections.abc import Iterable

from currantdyke.core import Outcome
from currantdyke.stagecalls import AttemptEnd, TrackedAttempt

__all__ = ["decide_outcome"]

ENDS_PROVING_NOT_RUN = frozenset((AttemptEnd.NOT_HANDED, AttemptEnd.REFUSED))
ENDS_PROVING_RUN = frozenset((AttemptEnd.DONE, AttemptEnd.FAILED))


def decide_outcome(attempts: Iterable[TrackedAttempt]) -> Outcome:
    """Return the outcome of a request, supposing that it failed.

    Parameters
    ----------
    attempts : iterable of TrackedAttempt
        All attempts of all stages. One that was cancelled before it was settled, by
        its caller, the deadline or a parallel stage, is classified by whether it was
        handed off.

    Returns
    -------
    Outcome
        ``NOT_RUN`` only if each attempt proves that nothing ran; ``FAILED`` if each
        attempt is known either to have run or not to have run.

    Examples
    --------
    >>> decide_outcome([]).value
    'not_run'
    """
    ends = {_end_of(attempt) for attempt in attempts}
    if ends <= ENDS_PROVING_NOT_RUN:
        return Outcome.NOT_RUN
    if ends <= ENDS_PROVING_NOT_RUN | ENDS_PROVING_RUN:
        return Outcome.FAILED
    return Outcome.UNKNOWN


def _end_of(attempt: TrackedAttempt) -> AttemptEnd:
    if attempt.report is not None:
        return attempt.report.end
    if attempt.hand_off.handed:
        return AttemptEnd.ABANDONED
    return AttemptEnd.NOT_HANDED
