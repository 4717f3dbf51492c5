"""Admission control by deadline, capacity and fair shares."""

from currantdyke.admission.decide import Forecast, StageForecast, decide
from currantdyke.admission.shares import Shares

__all__ = ["Forecast", "Shares", "StageForecast", "decide"]
