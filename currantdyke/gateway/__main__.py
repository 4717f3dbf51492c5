"""Run one gateway process: ``python -m currantdyke.gateway``."""

import os
import pathlib
import sys

import anyio

from currantdyke.decisionlog import DecisionLog
from currantdyke.gateway.daemon import GatewayDaemon
from currantdyke.gateway.reload import SettingsFile
from currantdyke.platform.settings import SETTINGS_VARIABLE, read_settings

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Read the settings, serve until SIGTERM, and return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(
            f"set {SETTINGS_VARIABLE} to the path of the settings file", file=sys.stderr
        )
        return EXIT_BAD_SETTINGS
    settings = read_settings(pathlib.Path(path))
    if settings.is_error():
        print(settings.error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    log = DecisionLog(daemon=settings.ok.name)
    settings_file = SettingsFile(
        path=pathlib.Path(path), read=read_settings, current=settings.ok, log=log
    )
    daemon = GatewayDaemon(settings=settings.ok, log=log, settings_file=settings_file)
    anyio.run(daemon.run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
