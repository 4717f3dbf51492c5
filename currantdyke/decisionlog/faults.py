"""Log internal errors."""

from absl import logging

from currantdyke.decisionlog.log import DecisionLog

__all__ = ["log_internal_error"]

# The text of an error may quote the whole input that caused it.
MAX_REASON_CHARACTERS = 500


def log_internal_error(log: DecisionLog, error: Exception, *, where: str) -> None:
    """Log an error that ends one unit of work without affecting others.

    An error of the log itself does not reach the caller of this function.
    """
    log.internal_errors += 1
    logging.error("%s failed", where, exc_info=error)
    try:
        reason = repr(error)[:MAX_REASON_CHARACTERS]
        log.write("internal_error", failure=True, where=where, reason=reason)
    except Exception:
        logging.exception("the decision log failed")
