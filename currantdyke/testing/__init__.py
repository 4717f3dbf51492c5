"""Test support: virtual time, an in-memory network, builders and a small fleet."""

from currantdyke.testing.fleet import FleetInMemory, fleet_in_memory
from currantdyke.testing.network import LinkFaults, MemoryNetwork
from currantdyke.testing.virtual import run_virtual

__all__ = [
    "FleetInMemory",
    "LinkFaults",
    "MemoryNetwork",
    "fleet_in_memory",
    "run_virtual",
]
