"""Structured log lines on standard output, one for each decision."""

from currantdyke.decisionlog.faults import note_fault
from currantdyke.decisionlog.log import DecisionLog

__all__ = ["DecisionLog", "note_fault"]
