"""Messages to bytes and back, in packed Cap'n Proto."""

import pathlib

import capnp
from expression import Error, Ok, Result

from currantdyke.events import HybridTime
from currantdyke.peers.messages import (
    Fact,
    Member,
    MemberStatus,
    Message,
    MessageKind,
    Rate,
)

__all__ = ["decode_message", "encode_message"]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

MILLISECONDS = 1000
MAX_REMAINING_MILLISECONDS = 2**32 - 1
KINDS = {kind.value: kind for kind in MessageKind}
STATUSES = {status.value: status for status in MemberStatus}


def encode_message(message: Message) -> bytes:
    """Return a message as bytes.

    Examples
    --------
    >>> ping = Message(kind=MessageKind.PING, sender="entry-1", incarnation="ab")
    >>> decode_message(encode_message(ping)).ok == ping
    True
    """
    built = SCHEMA.Message.new_message(
        kind=message.kind.value,
        sender=message.sender,
        incarnation=message.incarnation,
        number=message.number,
        sequence=message.sequence,
        target=message.target,
        version=message.version,
        content=message.content,
    )
    if message.members:
        listed = built.init("members", len(message.members))
        for index, member in enumerate(message.members):
            _write_member(listed[index], member)
    if message.facts:
        listed = built.init("facts", len(message.facts))
        for index, fact in enumerate(message.facts):
            _write_fact(listed[index], fact)
    if message.rates:
        listed = built.init("rates", len(message.rates))
        for index, rate in enumerate(message.rates):
            listed[index].workspace = rate.workspace
            listed[index].perSecond = rate.per_second
    return built.to_bytes_packed()


def decode_message(data: bytes) -> Result[Message, str]:
    """Read what `encode_message` wrote, or say what is wrong with it."""
    try:
        read = SCHEMA.Message.from_bytes_packed(data)
        return Ok(_read_message(read))
    except (capnp.KjException, KeyError, RuntimeError, ValueError) as error:
        return Error(f"{type(error).__name__}: {error!s:.100}")


def _read_message(read) -> Message:
    return Message(
        kind=KINDS[str(read.kind)],
        sender=read.sender,
        incarnation=read.incarnation,
        number=read.number,
        sequence=read.sequence,
        target=read.target,
        version=read.version,
        members=tuple(map(_read_member, read.members)),
        facts=tuple(map(_read_fact, read.facts)),
        content=bytes(read.content),
        rates=tuple(
            Rate(workspace=rate.workspace, per_second=rate.perSecond)
            for rate in read.rates
        ),
    )


def _write_member(built, member: Member) -> None:
    built.name = member.name
    built.counter = member.counter
    built.status = member.status.value
    if member.incarnation:
        built.incarnation = member.incarnation
        built.address = member.address
        built.availabilityZone = member.availability_zone
        built.region = member.region
        built.url = member.url


def _read_member(read) -> Member:
    return Member(
        name=read.name,
        counter=read.counter,
        status=STATUSES[str(read.status)],
        incarnation=read.incarnation,
        address=read.address,
        availability_zone=read.availabilityZone,
        region=read.region,
        url=read.url,
    )


def _write_fact(built, fact: Fact) -> None:
    remaining = int(fact.remaining_seconds * MILLISECONDS)
    built.key = fact.key
    built.value = fact.value
    built.wall = fact.time.wall
    built.count = fact.time.count
    built.origin = fact.origin
    built.remainingMilliseconds = max(0, min(remaining, MAX_REMAINING_MILLISECONDS))


def _read_fact(read) -> Fact:
    return Fact(
        key=read.key,
        value=read.value,
        time=HybridTime(wall=read.wall, count=read.count),
        origin=read.origin,
        remaining_seconds=read.remainingMilliseconds / MILLISECONDS,
    )
