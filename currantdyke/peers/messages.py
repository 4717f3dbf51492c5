"""What daemons tell one another."""

import enum

import attrs

from currantdyke.events import HybridTime

__all__ = ["Fact", "Member", "MemberStatus", "Message", "MessageKind", "Rate"]


class MessageKind(enum.Enum):
    """What a message is for; the values are the names on the wire."""

    PING = "ping"
    ACK = "ack"
    PING_REQUEST = "pingRequest"
    GOSSIP = "gossip"
    SYNC = "sync"
    PULL = "pull"
    UPDATE = "update"
    CLAIM = "claim"
    DEMAND = "demand"
    ALLOWANCE = "allowance"


class MemberStatus(enum.Enum):
    """What is believed of a member; the values are the names on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@attrs.frozen(kw_only=True)
class Member:
    """One daemon as its peers know it.

    Attributes
    ----------
    counter : int
        Orders what is said of the member: each life begins above the last, and
        the member alone raises it, to refute a suspicion.
    incarnation : str
        Unique to one life of the process; part of request ids.
    address : str
        Where its peers reach it, ``host:port``.
    url : str
        The base URL of its callers' face.
    """

    name: str
    counter: int
    status: MemberStatus = MemberStatus.ALIVE
    incarnation: str = ""
    address: str = ""
    availability_zone: str = ""
    region: str = ""
    url: str = ""


@attrs.frozen(kw_only=True)
class Fact:
    """A small thing that every daemon should know for a while.

    Attributes
    ----------
    key : str
        What it is about; the latest fact of a key counts.
    time : HybridTime
        When its origin stated it.
    origin : str
        The daemon that stated it.
    remaining_seconds : float
        How much longer it holds.
    """

    key: str
    value: str
    time: HybridTime
    origin: str
    remaining_seconds: float


@attrs.frozen(kw_only=True)
class Rate:
    """A workspace's requests a second: what it asks for, or what it may have."""

    workspace: str
    per_second: float


@attrs.frozen(kw_only=True)
class Message:
    """One message between two daemons.

    Attributes
    ----------
    number : int
        Rises with each message of one incarnation; guards against replays.
    sequence : int
        Joins an answer to its question.
    target : str
        The member that a ping is meant for.
    version : int
        The configuration version in force at the sender.
    content : bytes
        A configuration update, or a claim and its answer.
    rates : tuple of Rate
        Demands of workspaces, or what they are allowed.
    """

    kind: MessageKind
    sender: str
    incarnation: str
    number: int = 0
    sequence: int = 0
    target: str = ""
    version: int = 0
    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()
    content: bytes = b""
    rates: tuple[Rate, ...] = ()
