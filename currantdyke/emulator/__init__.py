"""A small emulator of the platform: its store, its endpoints, its callers.

It speaks the published protocol on real sockets of one machine, and misbehaves as told.
"""

from currantdyke.emulator.callers import Caller, CallerAnswer, caller_headers
from currantdyke.emulator.endpoints import (
    EngineEmulator,
    PlainEmulator,
    StageEmulator,
)
from currantdyke.emulator.http import Reply, serve_http
from currantdyke.emulator.nodes import node_settings
from currantdyke.emulator.store import StoreEmulator

__all__ = [
    "Caller",
    "CallerAnswer",
    "EngineEmulator",
    "PlainEmulator",
    "Reply",
    "StageEmulator",
    "StoreEmulator",
    "caller_headers",
    "node_settings",
    "serve_http",
]
