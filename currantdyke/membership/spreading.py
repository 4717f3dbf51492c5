"""How news get round: eager gossip while there are any, and whole tables at times."""

import math
import random

import anyio
import attrs

from currantdyke.membership.broadcasts import Broadcasts, transmit_limit
from currantdyke.membership.facts import is_background
from currantdyke.membership.link import PeerLink
from currantdyke.peers import Member, MemberStatus, Message, MessageKind

__all__ = ["Spreader"]

FANOUT = 3
SYNC_PERIOD_SECONDS = 30.0
SYNC_SCALE_MEMBERS = 32
JOINING_SYNCS = 3
JOINING_SECONDS = 2.0
MAX_SYNC_BYTES = 1_000_000
MAX_SYNC_FACTS = 1_024
LEAVING_ROUNDS = 4


def sync_period_seconds(members: int) -> float:
    """Return how long after one exchange of tables the next one is due.

    Examples
    --------
    >>> sync_period_seconds(12), round(sync_period_seconds(490))
    (30.0, 148)
    """
    doublings = max(0.0, math.log2(members / SYNC_SCALE_MEMBERS))
    return SYNC_PERIOD_SECONDS * (1.0 + doublings)


@attrs.define(kw_only=True, eq=False)
class Spreader:
    """Sends news to a few random members, some of them in other regions.

    Attributes
    ----------
    version_rounds : int
        Rounds of gossip left for the version in force.
    syncs : int
        Whole tables exchanged with peers.
    next_sync : float
        When the next one is due.
    """

    link: PeerLink
    broadcasts: Broadcasts
    random_source: random.Random
    version_rounds: int = 0
    syncs: int = 0
    next_sync: float = 0.0

    async def gossip(self) -> None:
        """Pass on urgent news, if there are any."""
        if not self.has_news():
            return
        self.version_rounds = max(0, self.version_rounds - 1)
        for member in self.targets():
            await self.link.send(MessageKind.GOSSIP, member.address, to=member.name)

    def has_news(self) -> bool:
        """Return whether anything should not wait for a probe."""
        return bool(self.broadcasts.urgent or self.version_rounds)

    def announce_version(self) -> None:
        """Let gossip carry the version in force for some rounds."""
        limit = transmit_limit(len(self.link.table.by_name) + 1)
        self.version_rounds = -(-limit // FANOUT)

    def targets(self) -> list[Member]:
        """Return a few random members, one of them in another region."""
        members = self.link.table.reachable()
        own_region = self.link.table.me.region
        others = [m for m in members if m.region != own_region]
        first = self.random_source.sample(others, 1) if others else []
        rest = [m for m in members if m not in first]
        count = min(len(rest), FANOUT - len(first))
        return first + self.random_source.sample(rest, count)

    async def sync_with(self, address: str) -> Message | None:
        """Exchange whole tables with a peer; return its answer."""
        try:
            answer = await self.link.ask(
                MessageKind.SYNC, address, MAX_SYNC_BYTES, **self._state()
            )
        except (OSError, TimeoutError):
            return None
        self.learn_all(answer)
        self.syncs += 1
        return answer

    @property
    def joined(self) -> bool:
        """Return whether tables were exchanged with any peer."""
        return self.syncs > 0

    def is_sync_due(self) -> bool:
        """Return whether to exchange tables again, more often while joining."""
        now = anyio.current_time()
        if now < self.next_sync:
            return False
        members = len(self.link.table.by_name) + 1
        period = sync_period_seconds(members)
        if self.syncs < JOINING_SYNCS:
            period = JOINING_SECONDS
        self.next_sync = now + period * (1.0 + 0.5 * self.random_source.random())
        return True

    def answer_sync(self, question: Message) -> bytes:
        """Take in a peer's tables and return this daemon's."""
        self.learn_all(question)
        return self.link.answer(MessageKind.SYNC, **self._state())

    def learn_all(self, message: Message) -> None:
        """Take in another's whole tables."""
        for member in message.members:
            self.link.table.apply_second_hand(member)
        for fact in message.facts:
            self.link.facts.merge(fact)

    async def say_goodbye(self) -> None:
        """Tell some members at once that this daemon leaves."""
        for _ in range(LEAVING_ROUNDS):
            for member in self.targets():
                await self.link.send(MessageKind.GOSSIP, member.address, to=member.name)

    def random_member(self) -> Member | None:
        """Return any member that is alive."""
        alive = self.link.table.with_status(MemberStatus.ALIVE)
        return self.random_source.choice(alive) if alive else None

    def _state(self) -> dict:
        facts = self.link.facts.latest(MAX_SYNC_FACTS)
        return {
            "members": tuple(self.link.table.all_records()),
            "facts": tuple(fact for fact in facts if not is_background(fact)),
        }
