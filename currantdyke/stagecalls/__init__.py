"""Calls of one stage to one endpoint."""

from currantdyke.stagecalls.attempt import (
    Attempt,
    AttemptEnd,
    AttemptReport,
    EndpointState,
    HandOff,
    TrackedAttempt,
)
from currantdyke.stagecalls.caller import StageCaller, http_stage_caller
from currantdyke.stagecalls.engine import call_engine
from currantdyke.stagecalls.plain import call_plain

__all__ = [
    "Attempt",
    "AttemptEnd",
    "AttemptReport",
    "EndpointState",
    "HandOff",
    "TrackedAttempt",
    "StageCaller",
    "call_engine",
    "call_plain",
    "http_stage_caller",
]
