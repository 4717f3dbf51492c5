"""Apply changed settings while the process runs."""

import pathlib
from collections.abc import Callable

import attrs
from expression import Result

from currantdyke.decisionlog import DecisionLog
from currantdyke.gateway.settings import GatewaySettings

__all__ = ["SettingsFile"]

# Fields that a running process takes over; the others need a restart.
TAKEN_OVER = frozenset(
    (
        "grace",
        "retry_ratio",
        "retry_window",
        "retry_slack",
        "seed_ips",
        "store",
    )
)


@attrs.define(kw_only=True, eq=False)
class SettingsFile:
    """The settings file, read again when it has changed.

    Attributes
    ----------
    read : callable
        Reads and checks the file.
    apply : callable
        Takes the settings over.
    """

    path: pathlib.Path
    read: Callable[[pathlib.Path], Result[GatewaySettings, str]]
    current: GatewaySettings
    log: DecisionLog
    apply: Callable[[GatewaySettings], None] = lambda settings: None
    seen: tuple[int, int] | None = None

    async def check(self) -> None:
        """Read the file again if it differs from when it was last seen."""
        stamp = self._stamp()
        if self.seen is None:
            self.seen = stamp
        if stamp != self.seen:
            self.reload()

    def reload(self) -> None:
        """Read the file again, and keep the old settings if it can't be read."""
        self.seen = self._stamp()
        settings = self.read(self.path)
        if settings.is_error():
            self.log.write("settings_unreadable", failure=True, reason=settings.error)
            return
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(settings.ok, field.name) != getattr(self.current, field.name)
        ]
        kept = {name: getattr(settings.ok, name) for name in TAKEN_OVER}
        self.current = attrs.evolve(self.current, **kept)
        if not changed:
            return
        self.apply(self.current)
        self.log.write(
            "settings_reloaded",
            changed=changed,
            need_restart=[name for name in changed if name not in TAKEN_OVER],
        )

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError:
            # The platform replaces the file; the next check sees the new one.
            return self.seen
        return status.st_mtime_ns, status.st_size
