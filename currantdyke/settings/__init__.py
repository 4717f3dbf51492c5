"""The settings of one daemon."""

from currantdyke.settings.daemon import DaemonSettings, check_settings

__all__ = ["DaemonSettings", "check_settings"]
