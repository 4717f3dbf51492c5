"""The report of a run, and its record, which is kept with the gateways' logs."""

import pathlib
import shutil

import attrs
import msgspec

from currantdyke.soak.callers import Attempt

__all__ = ["Report", "keep_record"]

RECORD_FILE = "run.jsonl"
REPORT_FILE = "report.txt"


@attrs.frozen(kw_only=True)
class Report:
    """Result of a soak run.

    Attributes
    ----------
    broken : list of str
        Violated guarantees.
    counts : dict
        Numbers of requests, checks and injected faults, by name.
    """

    seed: int
    pattern: str
    broken: list[str]
    counts: dict[str, int]

    def text(self) -> str:
        """Return the report, with a line for each count and each violation."""
        lines = [f"seed {self.seed}, {self.pattern}: {len(self.broken)} broken"]
        lines += [f"  {count:>6} {name}" for name, count in sorted(self.counts.items())]
        lines += [f"  BROKEN {text}" for text in self.broken]
        return "\n".join(lines)


def keep_record(world, logs: pathlib.Path, folder: pathlib.Path, report: str) -> None:
    """Copy the gateways' logs, and write what happened in a run beside them.

    Times are those of the field ``steady`` in the logs.

    Parameters
    ----------
    logs : Path
        Folder with the gateways' logs.
    folder : Path
        Where the copies and the record are written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for path in sorted(logs.glob("*.log")):
        shutil.copy(path, folder)
    (folder / REPORT_FILE).write_text(report + "\n")
    lines = [(at, {"event": text}) for at, text in world.checker.events]
    for gateway in world.gateways:
        lines += [
            (at, {"event": text, "gateway": gateway.name})
            for at, text in gateway.events
        ]
    lines += [
        (write.at, {"event": "configuration", "version": write.version})
        for write in world.configurations.writes
    ]
    lines += [(at, {"event": "arrival", **fields}) for at, fields in world.arrivals]
    lines += [(attempt.sent_at, _describe(attempt)) for attempt in world.attempts]
    lines.sort(key=lambda line: line[0])
    with (folder / RECORD_FILE).open("wb") as file:
        for at, fields in lines:
            file.write(msgspec.json.encode({"steady": round(at, 3)} | fields) + b"\n")


def _describe(attempt: Attempt) -> dict:
    answer = attempt.answer
    fields = attrs.asdict(
        attempt,
        recurse=False,
        filter=attrs.filters.include("attempt_id", "kind", "target", "error"),
    )
    return fields | {
        "event": "attempt",
        "gateway": attempt.gateway.name,
        "incarnation": attempt.incarnation.number,
        "seconds": round(attempt.ended_at - attempt.sent_at, 3),
        "status": None if answer is None else answer.status,
        "complete": attempt.answered,
        "request_bytes": len(attempt.body),
        "body_bytes": 0 if answer is None else len(answer.body),
    }
