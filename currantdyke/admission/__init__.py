"""Admission control by deadline, capacity and fair shares."""

from currantdyke.admission.decide import Forecast, StageForecast, check_admission
from currantdyke.admission.shares import WorkspaceUsage

__all__ = ["Forecast", "WorkspaceUsage", "StageForecast", "check_admission"]
