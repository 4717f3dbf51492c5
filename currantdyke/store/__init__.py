"""The port to the platform's key-value service."""

from currantdyke.store.budget import DEFAULT_BUDGETS, BudgetedStore, CallBudget
from currantdyke.store.etcd import EtcdStore
from currantdyke.store.port import (
    Conflict,
    Entry,
    Store,
    StoreError,
    Unavailable,
    Unknown,
)
from currantdyke.store.settle import SwapError, Unsettled, settled_swap

__all__ = [
    "DEFAULT_BUDGETS",
    "BudgetedStore",
    "CallBudget",
    "Conflict",
    "Entry",
    "EtcdStore",
    "Store",
    "StoreError",
    "SwapError",
    "Unavailable",
    "Unknown",
    "Unsettled",
    "settled_swap",
]
