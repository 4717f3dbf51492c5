"""Who does a duty of the fleet: an order of daemons that all of them agree on."""

from collections.abc import Collection, Mapping

import xxhash

from currantdyke.platform.records import DaemonEntry

__all__ = ["rank_daemons", "relay_ips"]

# VMs with at least this share of the ablest one's processor time are taken for equal.
ABLE_SHARE = 0.75
# Fleets of at most this many daemons read the store each for itself; in larger ones
# the calls of all would cost more than they bring.
MAX_READERS = 24
# Daemons that read the store for the others of a large fleet: enough that the loss of
# several, or of an availability zone, leaves some.
RELAYS = 8


def rank_daemons(duty: str, cores: Mapping[str, float]) -> list[str]:
    """Return daemons from the one that does a duty to its last successor.

    Each daemon computes the same order from the same entries; a daemon that leaves
    moves only the duties that it had. Those on the ablest VMs come first, since a duty
    comes on top of the work for their callers.

    Parameters
    ----------
    cores : mapping of str to float
        The processor time that each has, in cores, by name.

    Examples
    --------
    >>> rank_daemons("llm", {"a": 0.4, "b": 2.0, "c": 0.4})[0]
    'b'
    """
    enough = ABLE_SHARE * max(cores.values(), default=0.0)

    def rank(name: str) -> tuple[bool, int]:
        drawn = xxhash.xxh64_intdigest(f"{duty}/{name}".encode())
        return cores[name] >= enough, drawn

    return sorted(cores, key=rank, reverse=True)


def relay_ips(own: DaemonEntry, daemons: Collection[DaemonEntry]) -> set[str]:
    """Return where to ask for changes of the store, or nothing to read it oneself."""
    known = {daemon.name: daemon for daemon in daemons if not daemon.leaving}
    known[own.name] = own
    if len(known) <= MAX_READERS:
        return set()
    cores = {name: daemon.cores for name, daemon in known.items()}
    relays = rank_daemons("read the store", cores)[:RELAYS]
    return set() if own.name in relays else {known[name].ip for name in relays}
