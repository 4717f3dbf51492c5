"""Links between daemons: requests, responses and notifications over TCP."""

from currantdyke.links.codec import (
    ChangesRequest,
    Content,
    CrashReport,
    Frame,
    GroupCondemned,
    KeysCleared,
    Unknown,
)
from currantdyke.links.link import Link, LinkLostError
from currantdyke.links.peers import Peers

__all__ = [
    "ChangesRequest",
    "Content",
    "CrashReport",
    "Frame",
    "GroupCondemned",
    "KeysCleared",
    "Link",
    "LinkLostError",
    "Peers",
    "Unknown",
]
