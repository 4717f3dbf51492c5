"""The one place that decides what a caller is told of a failed request."""

from collections.abc import Iterable

from currantdyke.core import Outcome
from currantdyke.stagecalls import AttemptEnd, OpenAttempt

__all__ = ["decide_outcome"]

PROOFS_OF_NOT_RUN = frozenset((AttemptEnd.NOT_HANDED, AttemptEnd.REFUSED))
KNOWN_TO_HAVE_RUN = frozenset((AttemptEnd.DONE, AttemptEnd.FAILED))


def decide_outcome(attempts: Iterable[OpenAttempt]) -> Outcome:
    """Decide the outcome of a request that did not end well.

    Parameters
    ----------
    attempts : iterable of OpenAttempt
        Every attempt of every stage; one that is still open, because its caller,
        the deadline or a sibling ended it, is judged by its hand-off mark.

    Returns
    -------
    Outcome
        ``NOT_RUN`` only where each attempt proves that nothing ran.

    Examples
    --------
    >>> decide_outcome([]).value
    'not_run'
    """
    ends = {_end_of(attempt) for attempt in attempts}
    if ends <= PROOFS_OF_NOT_RUN:
        return Outcome.NOT_RUN
    if ends <= PROOFS_OF_NOT_RUN | KNOWN_TO_HAVE_RUN:
        return Outcome.FAILED
    return Outcome.UNKNOWN


def _end_of(attempt: OpenAttempt) -> AttemptEnd:
    if attempt.report is not None:
        return attempt.report.end
    if attempt.hand_off.handed:
        return AttemptEnd.ABANDONED
    return AttemptEnd.NOT_HANDED
