"""Links between daemons: requests, responses and notifications over TCP."""

from currantdyke.links.codec import (
    ChangesRequest,
    Content,
    CrashReport,
    Frame,
    Unknown,
)
from currantdyke.links.link import Link, LinkLostError
from currantdyke.links.peers import Peers

__all__ = [
    "ChangesRequest",
    "Content",
    "CrashReport",
    "Frame",
    "Link",
    "LinkLostError",
    "Peers",
    "Unknown",
]
