"""Reload changed settings while the process runs."""

import pathlib
from collections.abc import Callable

import attrs
from expression import Result

from currantdyke.decisionlog import DecisionLog, log_internal_error
from currantdyke.gateway.settings import GatewaySettings

__all__ = ["SettingsFile"]

# Fields that take effect in a running process; changes of others need a restart.
RELOADABLE_FIELDS = frozenset(
    (
        "grace",
        "heartbeat",
        "retry_ratio",
        "retry_window",
        "retry_slack",
        "seed_ips",
        "store",
    )
)


@attrs.define(kw_only=True, eq=False)
class SettingsFile:
    """The settings file, which is read again when it has changed.

    Attributes
    ----------
    read : callable
        Reads and validates the file.
    apply : callable
        Applies the reloaded settings.
    last_stamp : tuple of (int, int) or None
        Modification time in nanoseconds and size in bytes when the file was last seen.
    """

    path: pathlib.Path
    read: Callable[[pathlib.Path], Result[GatewaySettings, str]]
    current: GatewaySettings
    log: DecisionLog
    apply: Callable[[GatewaySettings], None] = lambda settings: None
    last_stamp: tuple[int, int] | None = None

    async def check(self) -> None:
        """Reload the file if its modification time or size has changed."""
        stamp = self._stamp()
        if self.last_stamp is None:
            self.last_stamp = stamp
        if stamp != self.last_stamp:
            self.reload()

    def reload(self) -> None:
        """Read the file again, and keep the current settings if it can't be applied."""
        try:
            self._reload()
        except Exception as error:
            log_internal_error(self.log, error, where="reload of the settings")

    def _reload(self) -> None:
        self.last_stamp = self._stamp()
        settings = self.read(self.path)
        if settings.is_error():
            self.log.write("settings_unreadable", failure=True, reason=settings.error)
            return
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(settings.ok, field.name) != getattr(self.current, field.name)
        ]
        reloaded = {name: getattr(settings.ok, name) for name in RELOADABLE_FIELDS}
        new = attrs.evolve(self.current, **reloaded)
        if changed:
            self.apply(new)
            self.log.write(
                "settings_reloaded",
                changed=changed,
                need_restart=[
                    name for name in changed if name not in RELOADABLE_FIELDS
                ],
            )
        self.current = new

    def _stamp(self) -> tuple[int, int] | None:
        try:
            status = self.path.stat()
        except OSError:
            # The platform is replacing the file; the next check sees the new one.
            return self.last_stamp
        return status.st_mtime_ns, status.st_size
