"""The link of a daemon to all its peers: sealed, numbered, counted messages."""

import itertools
from collections.abc import Callable

import attrs

from currantdyke.membership.broadcasts import Broadcasts, size_of, transmit_limit
from currantdyke.membership.facts import FactStore
from currantdyke.membership.members import MemberTable
from currantdyke.peers import (
    MAX_DATAGRAM_BYTES,
    Fact,
    Member,
    MemberStatus,
    Message,
    MessageKind,
    MessageSeal,
    PeerTransport,
    Rate,
    ReplayGuard,
)

__all__ = ["PeerLink"]

HEADER_BYTES = 160


@attrs.define(kw_only=True, eq=False)
class PeerLink:
    """Builds, sends and opens messages; news ride along with each.

    Attributes
    ----------
    version : callable
        Returns the configuration version in force here.
    count_message : callable
        Called with kind, direction and bytes of each message.
    count_dropped : callable
        Called with the reason of each message that is dropped.
    """

    transport: PeerTransport
    seal: MessageSeal
    table: MemberTable
    facts: FactStore
    broadcasts: Broadcasts
    version: Callable[[], int]
    count_message: Callable[[str, str, int], None]
    count_dropped: Callable[[str], None]
    replays: ReplayGuard = attrs.field(factory=ReplayGuard)
    numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    async def send(
        self,
        kind: MessageKind,
        address: str,
        *,
        to: str = "",
        sequence: int = 0,
        target: str = "",
        first: tuple[Member, ...] = (),
        rates: tuple[Rate, ...] = (),
    ) -> None:
        """Send a datagram with as much news as fits.

        Parameters
        ----------
        to : str
            The member at the address; it hears first what is said of itself.
        first : tuple of Member
            Words that must be in the message.
        rates : tuple of Rate
            Rates that must be in the message; no news rides along with them.
        """
        own = self.table.word_for(to)
        words = first if own is None else (own, *first)
        news = [] if rates else self._news(words)
        message = self.message(
            kind,
            sequence=sequence,
            target=target,
            members=tuple(item for item in news if isinstance(item, Member)),
            facts=tuple(item for item in news if isinstance(item, Fact)),
            rates=rates,
        )
        data = self.seal.seal(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.count_dropped("too long to send")
            return
        self.count_message(kind.value, "sent", len(data))
        await self.transport.send(address, data)

    def message(self, kind: MessageKind, **content) -> Message:
        """Return a message from this daemon."""
        return Message(
            kind=kind,
            sender=self.table.me.name,
            incarnation=self.table.me.incarnation,
            number=next(self.numbers),
            version=self.version(),
            **content,
        )

    async def receive(self) -> tuple[Message, str]:
        """Wait for the next datagram that counts, and its sender's address."""
        while True:
            data, address = await self.transport.receive()
            message = self.open(data)
            if message is not None:
                return message, address

    async def ask(
        self, kind: MessageKind, address: str, max_bytes: int, **content
    ) -> Message:
        """Call a peer; raise ``OSError`` or ``TimeoutError`` where it fails."""
        question = self.seal.seal(self.message(kind, **content))
        self.count_message(kind.value, "sent", len(question))
        answer = self.open(await self.transport.call(address, question, max_bytes))
        if answer is None:
            raise OSError(f"the answer of {address} does not count")
        return answer

    def answer(self, kind: MessageKind, **content) -> bytes:
        """Return the sealed answer to a call."""
        data = self.seal.seal(self.message(kind, **content))
        self.count_message(kind.value, "sent", len(data))
        return data

    def open(self, data: bytes) -> Message | None:
        """Return an authentic, new message of another; count the others."""
        opened = self.seal.open(data)
        if opened.is_error():
            self.count_dropped(opened.error)
            return None
        message = opened.ok
        if message.incarnation == self.table.me.incarnation:
            self.count_dropped("own")
            return None
        if not self.replays.is_new(message.sender, message.incarnation, message.number):
            self.count_dropped("replayed")
            return None
        self.count_message(message.kind.value, "received", len(data))
        return message

    def learn(self, message: Message) -> None:
        """Take in the news of a message and pass on what is new here."""
        for member in message.members:
            self.table.apply(member)
        for fact in message.facts:
            self.facts.merge(fact)

    def _news(self, first: tuple[Member, ...]) -> list[Member | Fact]:
        limit = transmit_limit(len(self.table.by_name) + 1)
        room = MAX_DATAGRAM_BYTES - HEADER_BYTES - sum(map(size_of, first))
        news = self.broadcasts.take(room, limit)
        current = (self._current(item) for item in (*first, *news))
        return [item for item in current if item is not None]

    def _current(self, item: Member | Fact) -> Member | Fact | None:
        if isinstance(item, Member):
            return shorten(item)
        return self.facts.get(item.key)


def shorten(member: Member) -> Member:
    """Leave out what only news of a living member needs."""
    if member.status is MemberStatus.ALIVE:
        return member
    return Member(name=member.name, counter=member.counter, status=member.status)
