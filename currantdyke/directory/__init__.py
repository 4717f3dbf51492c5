"""A daemon's view of the fleet, kept up to date from the store or from peers."""

from currantdyke.directory.directory import Directory
from currantdyke.directory.endpoints import EndpointTable
from currantdyke.directory.follow import Follower
from currantdyke.directory.ranking import rank_daemons, reader_ips, relay_ips
from currantdyke.directory.replica import ChangeSet, Replica

__all__ = [
    "ChangeSet",
    "Directory",
    "EndpointTable",
    "Follower",
    "Replica",
    "rank_daemons",
    "reader_ips",
    "relay_ips",
]
