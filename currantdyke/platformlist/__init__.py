"""The platform's lagging list of live and leaving VMs."""

from currantdyke.platformlist.http import HttpPlatformList
from currantdyke.platformlist.port import PlatformList, VmEntry

__all__ = ["HttpPlatformList", "PlatformList", "VmEntry"]
