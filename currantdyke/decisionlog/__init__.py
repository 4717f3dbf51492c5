"""Structured log lines on standard output, one for each decision."""

from currantdyke.decisionlog.background import keep_running, run_logged
from currantdyke.decisionlog.faults import log_internal_error
from currantdyke.decisionlog.log import DecisionLog

__all__ = ["DecisionLog", "keep_running", "log_internal_error", "run_logged"]
