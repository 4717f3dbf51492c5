"""Links and messages between daemons."""

from currantdyke.peers.codec import decode_message, encode_message
from currantdyke.peers.messages import (
    Fact,
    Member,
    MemberStatus,
    Message,
    MessageKind,
    Rate,
)
from currantdyke.peers.seal import MessageSeal, ReplayGuard
from currantdyke.peers.sockets import SocketTransport, open_peer_sockets
from currantdyke.peers.transport import MAX_DATAGRAM_BYTES, PeerTransport

__all__ = [
    "Fact",
    "MAX_DATAGRAM_BYTES",
    "Member",
    "MemberStatus",
    "Message",
    "MessageKind",
    "MessageSeal",
    "PeerTransport",
    "Rate",
    "ReplayGuard",
    "SocketTransport",
    "decode_message",
    "encode_message",
    "open_peer_sockets",
]
