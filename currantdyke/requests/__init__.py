"""Requests, from acceptance to the end of their retention time."""

from currantdyke.requests.exchange import Exchange, StageRecord
from currantdyke.requests.keys import KeyTable
from currantdyke.requests.outcome import decide_outcome
from currantdyke.requests.table import RequestTable

__all__ = [
    "Exchange",
    "KeyTable",
    "RequestTable",
    "StageRecord",
    "decide_outcome",
]
