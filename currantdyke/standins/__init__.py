"""Stub endpoints for demos and tests."""

from currantdyke.standins.stages import StageStandIn, stage_app

__all__ = ["StageStandIn", "stage_app"]
