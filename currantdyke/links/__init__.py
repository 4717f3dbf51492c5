"""Links between daemons: requests, responses and notifications over TCP."""

from currantdyke.links.codec import (
    ChangesAsked,
    Content,
    Crashed,
    Frame,
    Unknown,
)
from currantdyke.links.link import Link, LinkLostError
from currantdyke.links.peers import Peers

__all__ = [
    "ChangesAsked",
    "Content",
    "Crashed",
    "Frame",
    "Link",
    "LinkLostError",
    "Peers",
    "Unknown",
]
