"""The settings of one daemon."""

from currantdyke.settings.daemon import DaemonSettings

__all__ = ["DaemonSettings"]
