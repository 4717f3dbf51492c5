"""Collect the log lines of one request from the logs of several daemons."""

from collections.abc import Iterable

import attrs
import msgspec

__all__ = ["Explanation", "explain"]

# State changes of the entry daemon are included if they are at most this much older
# than the end of the request.
CONTEXT_SECONDS = 10.0
# Events that change what a daemon knows, and so may affect its decisions on a request.
STATE_EVENTS = frozenset(
    (
        "started",
        "stopping",
        "stood_still",
        "store_lost",
        "store_regained",
        "store_watch_cut",
        "store_history_gone",
        "configuration_in_force",
        "endpoint_announced",
        "endpoint_entry_removed",
        "endpoint_lapsed",
        "endpoint_crashed",
        "peer_suspected",
        "settings_reloaded",
        "lines_dropped",
    )
)


@attrs.frozen(kw_only=True)
class Explanation:
    """Log lines that concern a request.

    Attributes
    ----------
    lines : list of dict
        Lines that name the request, sorted by time.
    state_changes : list of dict
        State changes of its entry daemon, the one that logged `request_ended`, shortly
        before that line, sorted by time.
    unreadable : int
        Number of lines without a readable log entry.
    """

    lines: list[dict]
    state_changes: list[dict]
    unreadable: int

    def time_breakdown(self) -> list[tuple[str, float]]:
        """Return the logged durations of the parts of the request, in seconds."""
        parts = []
        for line in self.lines:
            if line["event"] == "placed":
                parts.append(("stages", line["stages_seconds"]))
            if line["event"] == "request_ended":
                for endpoint, outcome, seconds in line.get("attempts") or ():
                    parts.append((f"{endpoint} ({outcome})", seconds))
                parts.append(("total", line["seconds"]))
        return parts


def explain(request: str, lines: Iterable[str]) -> Explanation:
    """Collect the log lines that concern a request.

    Parameters
    ----------
    request : str
        Attempt id of the request.
    lines : iterable of str
        Lines of any daemons, in any order; text before the JSON of a line, such as a
        host name, is ignored.

    Examples
    --------
    >>> lines = ['edge-1 {"time": 2.0, "event": "placed", "request": "a"}',
    ...          '{"time": 1.0, "event": "owner_lost", "request": "a"}', 'noise']
    >>> found = explain("a", lines)
    >>> [line["event"] for line in found.lines], found.unreadable
    (['owner_lost', 'placed'], 1)
    """
    documents = []
    unreadable = 0
    for text in lines:
        document = _decode(text)
        if document is None:
            unreadable += 1
        else:
            documents.append(document)
    request_lines = [document for document in documents if _mentions(document, request)]
    request_lines.sort(key=lambda line: line["time"])
    return Explanation(
        lines=request_lines,
        state_changes=_state_changes(documents, request_lines),
        unreadable=unreadable,
    )


def _decode(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(document, dict) or "event" not in document:
        return None
    return document if isinstance(document.get("time"), int | float) else None


def _mentions(line: dict, request: str) -> bool:
    return line.get("request") == request or request in (line.get("requests") or ())


def _state_changes(documents: list[dict], request_lines: list[dict]) -> list[dict]:
    ends = [line for line in request_lines if line["event"] == "request_ended"]
    if not ends:
        return []
    end = ends[-1]
    since = end["time"] - CONTEXT_SECONDS
    changes = [
        line
        for line in documents
        if line["event"] in STATE_EVENTS
        and line.get("daemon") == end.get("daemon")
        and since <= line["time"] <= end["time"]
    ]
    return sorted(changes, key=lambda line: line["time"])
