"""Report errors of the program itself."""

from absl import logging

from currantdyke.decisionlog.log import DecisionLog

__all__ = ["note_fault"]

# Bounds a line whose error quotes what it could not take.
MAX_REASON_CHARACTERS = 500


def note_fault(log: DecisionLog, error: Exception, *, where: str) -> None:
    """Report an error that ends one piece of work, but not that of others."""
    reason = repr(error)[:MAX_REASON_CHARACTERS]
    log.write("internal_error", failure=True, where=where, reason=reason)
    logging.error("%s failed", where, exc_info=error)
