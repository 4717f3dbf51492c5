"""Structured log lines on standard output, one for each decision."""

from currantdyke.decisionlog.faults import log_internal_error
from currantdyke.decisionlog.log import DecisionLog

__all__ = ["DecisionLog", "log_internal_error"]
