"""Requests from acceptance to the end of their keeping time."""

from currantdyke.requests.exchange import Exchange, ExchangeEvent, StageRecord
from currantdyke.requests.outcome import decide_outcome
from currantdyke.requests.table import RequestTable

__all__ = [
    "Exchange",
    "ExchangeEvent",
    "RequestTable",
    "StageRecord",
    "decide_outcome",
]
