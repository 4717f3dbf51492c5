"""Requests and parts of prompts that crash endpoints."""

from currantdyke.crashes.detector import CrashDetector, Refusal
from currantdyke.crashes.keys import request_keys
from currantdyke.crashes.recorder import GroupRecorder
from currantdyke.crashes.runs import EndpointRun
from currantdyke.crashes.table import CrashTable

__all__ = [
    "CrashDetector",
    "CrashTable",
    "EndpointRun",
    "GroupRecorder",
    "Refusal",
    "request_keys",
]
