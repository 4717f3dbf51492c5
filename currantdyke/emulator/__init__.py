"""Emulator of the platform: its store, endpoints and callers.

It speaks the published protocol on local sockets and injects faults on request.
"""

from currantdyke.emulator.answers import AnswerPlan, Ending, Framing, Garbage
from currantdyke.emulator.callers import Caller, CallerAnswer, caller_headers
from currantdyke.emulator.endpoints import (
    EngineEmulator,
    PlainEmulator,
    StageEmulator,
)
from currantdyke.emulator.http import Reply, serve_http
from currantdyke.emulator.nodes import node_settings
from currantdyke.emulator.restarts import Restarts, run_with_restarts
from currantdyke.emulator.store import StoreEmulator

__all__ = [
    "AnswerPlan",
    "Caller",
    "CallerAnswer",
    "Ending",
    "EngineEmulator",
    "Framing",
    "Garbage",
    "PlainEmulator",
    "Reply",
    "Restarts",
    "StageEmulator",
    "StoreEmulator",
    "caller_headers",
    "node_settings",
    "run_with_restarts",
    "serve_http",
]
