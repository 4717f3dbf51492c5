"""Small stand-ins of the platform and its endpoints, for demos and tests."""

from currantdyke.standins.key_value import KeyValueStandIn
from currantdyke.standins.platform_list import PlatformListStandIn
from currantdyke.standins.stages import StageStandIn, stage_app

__all__ = ["KeyValueStandIn", "PlatformListStandIn", "StageStandIn", "stage_app"]
