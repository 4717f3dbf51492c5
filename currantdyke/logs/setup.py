"""Setup of absl logging for a command.

Log lines report changes of state; frequent events are counted in metrics instead.
"""

import datetime
import json
import logging

from absl import flags
from absl import logging as absl_logging

__all__ = ["LOG_FORMATS", "JsonFormatter", "set_up_logs"]

PER_CALL_LOGGERS = ("httpx", "httpcore", "hypercorn")
LOG_FORMATS = frozenset(("text", "json"))


class JsonFormatter(logging.Formatter):
    """Formatter that renders a record as one line of JSON.

    Examples
    --------
    >>> record = logging.LogRecord("absl", logging.INFO, "a.py", 3, "drained", (), None)
    >>> json.loads(JsonFormatter().format(record))["message"]
    'drained'
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            "time": moment.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "message": record.getMessage(),
            "source": f"{record.filename}:{record.lineno}",
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def set_up_logs(log_format: str = "text", *, verbosity: int = absl_logging.INFO):
    """Log to standard error in the given format.

    Parameters
    ----------
    log_format : str
        ``"text"`` or ``"json"``.
    verbosity : int
        Verbosity level of absl.
    """
    # Options are parsed by click; absl would log a warning with the first line because
    # its own flags are not parsed.
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(verbosity)
    absl_logging.set_stderrthreshold(absl_logging.DEBUG)
    for name in PER_CALL_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    if log_format == "json":
        absl_logging.get_absl_handler().setFormatter(JsonFormatter())
