"""The one place that decides what a caller is told of a failed request."""

from collections.abc import Iterable

from currantdyke.core import Outcome
from currantdyke.stagecalls import AttemptEnd, AttemptReport

__all__ = ["decide_outcome"]

PROOFS_OF_NOT_RUN = frozenset((AttemptEnd.NOT_HANDED, AttemptEnd.REFUSED))
KNOWN_TO_HAVE_RUN = frozenset((AttemptEnd.DONE, AttemptEnd.FAILED))


def decide_outcome(reports: Iterable[AttemptReport], unreported: int) -> Outcome:
    """Decide the outcome of a request that did not end well.

    Parameters
    ----------
    reports : iterable of AttemptReport
        Every attempt of every stage that ended.
    unreported : int
        Attempts that were begun and have no report, such as cancelled ones.

    Returns
    -------
    Outcome
        ``NOT_RUN`` only where each attempt proves that nothing ran.
    """
    if unreported:
        return Outcome.UNKNOWN
    ends = {report.end for report in reports}
    if ends <= PROOFS_OF_NOT_RUN:
        return Outcome.NOT_RUN
    if ends <= PROOFS_OF_NOT_RUN | KNOWN_TO_HAVE_RUN:
        return Outcome.FAILED
    return Outcome.UNKNOWN
