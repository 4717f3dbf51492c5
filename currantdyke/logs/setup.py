"""Set up absl's logs for a command.

Lines are written only where a state changes; what happens often is counted.
"""

import datetime
import json
import logging

from absl import flags
from absl import logging as absl_logging

__all__ = ["LOG_FORMATS", "JsonFormatter", "set_up_logs"]

LINE_PER_CALL = ("httpx", "httpcore", "hypercorn")
LOG_FORMATS = frozenset(("text", "json"))


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

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
    """Send log lines to standard error in a format.

    Parameters
    ----------
    log_format : str
        ``"text"`` or ``"json"``.
    verbosity : int
        One of absl's levels.
    """
    # The commands read their options with click; absl's own are never parsed and
    # would give a warning with the first line.
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(verbosity)
    absl_logging.set_stderrthreshold(absl_logging.DEBUG)
    for name in LINE_PER_CALL:
        logging.getLogger(name).setLevel(logging.WARNING)
    if log_format == "json":
        absl_logging.get_absl_handler().setFormatter(JsonFormatter())
