"""The port to the platform's key-value service."""

from currantdyke.store.etcd import EtcdStore
from currantdyke.store.port import (
    Conflict,
    Entry,
    Store,
    StoreError,
    Unavailable,
    Unknown,
)

__all__ = [
    "Conflict",
    "Entry",
    "EtcdStore",
    "Store",
    "StoreError",
    "Unavailable",
    "Unknown",
]
