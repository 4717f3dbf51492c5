"""Assign roles to daemons by an order that all daemons agree on."""

from collections.abc import Collection, Mapping

import xxhash

from currantdyke.platform.records import DaemonEntry

__all__ = ["rank_daemons", "reader_ips", "relay_ips"]

# VMs with at least this share of the processor time of the fastest one count as
# fastest.
MIN_CORES_SHARE = 0.75
# In a fleet of at most this many daemons each one reads the store itself; in a larger
# one the calls of all daemons would cost more than they gain.
MAX_READERS = 24
# Number of daemons that read the store for the others of a large fleet; some remain
# after the loss of several of them or of an availability zone.
RELAY_COUNT = 8


def rank_daemons(role: str, cores: Mapping[str, float]) -> list[str]:
    """Return daemons in the order in which they take a role, its holder first.

    This is rendezvous hashing: each daemon computes the same order from the same
    entries, and a daemon that leaves moves only the roles that it held, unless the set
    of fastest VMs changes with it. Daemons on the fastest VMs come first, since the
    work of a role is in addition to that for the daemon's own callers. Otherwise the
    hash alone determines the order.

    Parameters
    ----------
    role : str
        Name of the role.
    cores : mapping of str to float
        Processor time of each daemon, in cores, by name.

    Examples
    --------
    >>> rank_daemons("llm", {"a": 0.4, "b": 2.0, "c": 0.4})[0]
    'b'
    """
    min_cores = MIN_CORES_SHARE * max(cores.values(), default=0.0)

    def sort_key(name: str) -> tuple[bool, int]:
        digest = xxhash.xxh64_intdigest(f"{role}/{name}".encode())
        return cores[name] >= min_cores, digest

    return sorted(cores, key=sort_key, reverse=True)


def relay_ips(own: DaemonEntry, daemons: Collection[DaemonEntry]) -> set[str]:
    """Return the IPs of the relays; empty if this daemon reads the store itself."""
    relays = reader_ips(own, daemons)
    return set() if own.ip in relays else relays


def reader_ips(own: DaemonEntry, daemons: Collection[DaemonEntry]) -> set[str]:
    """Return the IPs of the relays, with that of this daemon if it is one.

    Empty in a fleet in which each daemon reads the store.
    """
    known = {daemon.name: daemon for daemon in daemons if not daemon.leaving}
    known[own.name] = own
    if len(known) <= MAX_READERS:
        return set()
    cores = {name: daemon.cores for name, daemon in known.items()}
    relays = rank_daemons("read the store", cores)[:RELAY_COUNT]
    return {known[name].ip for name in relays}
