"""The demand on workspaces' limits, as their owner hears of it."""

import attrs

__all__ = ["DemandBook"]

MAX_REPORTS = 65_536


@attrs.define(kw_only=True)
class Report:
    """One daemon's demand and when it was heard."""

    per_second: float
    heard: float


class DemandBook:
    """Reports by workspace and daemon; their count is bounded."""

    def __init__(self):
        self.by_workspace: dict[str, dict[str, Report]] = {}
        self.count = 0

    def note(self, workspace: str, daemon: str, per_second: float, now: float) -> None:
        """Take in one daemon's demand on a workspace."""
        reports = self.by_workspace.get(workspace, {})
        if daemon not in reports:
            if self.count >= MAX_REPORTS:
                return
            self.count += 1
        reports[daemon] = Report(per_second=per_second, heard=now)
        self.by_workspace[workspace] = reports

    def total(self, workspace: str) -> float:
        """Return the demand on a workspace over all daemons."""
        reports = self.by_workspace.get(workspace, {})
        return sum(report.per_second for report in reports.values())

    def forget_before(self, horizon: float) -> None:
        """Drop reports that were heard before a time."""
        for workspace, reports in list(self.by_workspace.items()):
            for daemon in [d for d, r in reports.items() if r.heard < horizon]:
                del reports[daemon]
                self.count -= 1
            if not reports:
                del self.by_workspace[workspace]
