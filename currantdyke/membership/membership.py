"""The daemons that know each other, put together."""

import random
from collections.abc import Awaitable, Callable, Iterable, Sequence

import anyio
import anyio.abc
from absl import logging

from currantdyke.events import Timeline
from currantdyke.membership.broadcasts import Broadcasts
from currantdyke.membership.configuration import Feed, UpdatePuller
from currantdyke.membership.facts import FactStore, is_background
from currantdyke.membership.link import PeerLink
from currantdyke.membership.members import MemberTable
from currantdyke.membership.probing import PROBE_PERIOD_SECONDS, TICK_SECONDS, Prober
from currantdyke.membership.spreading import Spreader
from currantdyke.metrics import Metrics
from currantdyke.peers import (
    Fact,
    Member,
    MemberStatus,
    Message,
    MessageKind,
    MessageSeal,
    PeerTransport,
)
from currantdyke.timers import TimerService

__all__ = ["Membership"]

DUTY = "membership"
RECONNECT_PING_SECONDS = 1.0
GOSSIP_SECONDS = 0.2
RECONNECT_PERIOD_SECONDS = 5.0
FORGET_PERIOD_SECONDS = 10.0


class Membership:
    """Who is alive, and the small facts that all daemons should know.

    Parameters
    ----------
    me : Member
        This daemon's own record, with a counter above that of its last life.
    transport : PeerTransport
        The network between daemons.
    seal : MessageSeal
        Authenticates messages.
    feed : Feed
        The configuration in force.
    timers : TimerService
        Calls the periodic parts.
    metrics : Metrics
        Its counters.
    timeline : Timeline
        Gives the clock of facts, and keeps the changes of members.
    random_source : random.Random
        Source of random choices.
    seeds : sequence of str
        Addresses of peers to join by.
    """

    def __init__(
        self,
        *,
        me: Member,
        transport: PeerTransport,
        seal: MessageSeal,
        feed: Feed,
        timers: TimerService,
        metrics: Metrics,
        timeline: Timeline,
        random_source: random.Random,
        seeds: Sequence[str] = (),
    ):
        self.transport = transport
        self.timers = timers
        self.metrics = metrics
        self.timeline = timeline
        self.random_source = random_source
        self.settled_seeds = frozenset(seeds)
        self.seeds: set[str] = set(seeds)
        self.is_leaving = False
        self.is_meeting = False
        self.is_gossip_scheduled = False
        self.next_gossip = 0.0
        self.handlers: dict[MessageKind, Callable[[Message, str], Awaitable[None]]] = {}
        self.call_handlers: dict[MessageKind, Callable[[bytes], Awaitable[bytes]]] = {}
        self.tasks: anyio.abc.TaskGroup | None = None
        self.broadcasts = Broadcasts(on_urgent=self._schedule_gossip)
        self.facts = FactStore(
            origin=me.name, clock=timeline.clock, now=anyio.current_time
        )
        self.facts.subscribe("", self._pass_on)
        self.table = MemberTable(
            me=me,
            now=anyio.current_time,
            changed=self._note_change,
            doubted=self.broadcasts.put,
        )
        self.link = PeerLink(
            transport=transport,
            seal=seal,
            table=self.table,
            facts=self.facts,
            broadcasts=self.broadcasts,
            version=lambda: feed.version,
            count_message=self._count_message,
            count_dropped=lambda reason: metrics.peer_dropped.labels(reason).inc(),
        )
        self.prober = Prober(link=self.link, random_source=random_source)
        self.spreader = Spreader(
            link=self.link, broadcasts=self.broadcasts, random_source=random_source
        )
        self.puller = UpdatePuller(
            link=self.link, feed=feed, random_source=random_source
        )
        feed.subscribe(self._announce)

    @property
    def me(self) -> Member:
        """Return this daemon's own record."""
        return self.table.me

    def live_members(self) -> list[Member]:
        """Return all members that take part, this one first."""
        return [self.me, *self.table.reachable()]

    def find_daemon(self, name: str) -> Member | None:
        """Return a daemon that may still answer, also one that is leaving."""
        if name == self.me.name:
            return self.me
        member = self.table.by_name.get(name)
        return None if member is None or member.status is MemberStatus.DEAD else member

    def state_fact(self, key: str, value: str, *, seconds: float) -> Fact:
        """State a fact to all daemons; it holds for ``seconds``."""
        return self.facts.state(key, value, seconds=seconds)

    def use_listed(self, addresses: Iterable[str]) -> None:
        """Join by these addresses too; they replace those given before."""
        self.seeds = set(addresses) | self.settled_seeds

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start to listen, probe and spread, in a task group."""
        self.tasks = self.puller.tasks = tasks
        tasks.start_soon(self._listen)
        tasks.start_soon(self.transport.serve_calls, self.answer_call)
        every = self.timers.every
        every(PROBE_PERIOD_SECONDS, self.prober.probe_next, name="probe")
        every(TICK_SECONDS, self._tick, name="membership", first_after=0.0)
        every(RECONNECT_PERIOD_SECONDS, self._reconnect, name="reconnect")
        every(FORGET_PERIOD_SECONDS, self._forget, name="forget members")

    async def leave(self) -> None:
        """Tell the others that this daemon leaves."""
        self.is_leaving = True
        self.table.leave()
        await self.spreader.say_goodbye()

    async def answer_call(self, data: bytes) -> bytes:
        """Answer a peer's call; what does not count gets nothing."""
        question = self.link.open(data)
        if question is None:
            return b""
        sender = self.table.by_name.get(question.sender)
        self.puller.hear(question.version, sender.address if sender else "")
        if question.kind is MessageKind.SYNC:
            return self.spreader.answer_sync(question)
        if question.kind is MessageKind.PULL:
            return self.puller.answer_pull(question)
        handler = self.call_handlers.get(question.kind)
        if handler is None:
            return b""
        content = await handler(question.content)
        return self.link.answer(question.kind, content=content)

    async def _listen(self) -> None:
        while True:
            message, address = await self.link.receive()
            try:
                await self._take(message, address)
            except Exception as error:
                self.metrics.internal_errors.labels(DUTY).inc()
                logging.error("a message of %s: %r", message.sender, error)

    async def _take(self, message: Message, address: str) -> None:
        self.link.learn(message)
        self.puller.hear(message.version, address)
        self._meet(message.sender, address)
        if message.kind is MessageKind.ACK:
            self.prober.note_answer(message.sequence)
        elif message.kind is MessageKind.PING and message.target == self.me.name:
            await self._answer_ping(message, address)
        elif message.kind in self.handlers:
            await self.handlers[message.kind](message, address)
        elif message.kind is MessageKind.PING_REQUEST and self.tasks is not None:
            self.tasks.start_soon(self.prober.help_probe, message, address)

    async def _answer_ping(self, ping: Message, address: str) -> None:
        """Answer; who holds this daemon for less than alive hears otherwise."""
        is_doubted = any(word.name == self.me.name for word in ping.members)
        await self.link.send(
            MessageKind.ACK,
            address,
            to=ping.sender,
            sequence=ping.sequence,
            first=(self.me,) if is_doubted else (),
        )

    def _meet(self, sender: str, address: str) -> None:
        """Exchange tables with a peer that is not known here."""
        is_known = sender in self.table.by_name or sender in self.table.tombstones
        if is_known or self.is_meeting or self.is_leaving or self.tasks is None:
            return
        self.is_meeting = True
        self.tasks.start_soon(self._sync_with, address)

    async def _join(self) -> None:
        others = sorted(self.seeds - {self.me.address})
        if self.is_leaving or not others:
            return
        await self._sync_with(self.random_source.choice(others))

    async def _reconnect(self) -> None:
        """Try one member that is taken for dead, or one seed that is no member."""
        known = {m.address for m in self.live_members()}
        dead = {m.address: m for m in self.table.with_status(MemberStatus.DEAD)}
        addresses = sorted((self.seeds | dead.keys()) - known)
        if self.is_leaving or not addresses:
            return
        address = self.random_source.choice(addresses)
        if address in dead:
            await self.prober.ping(dead[address], RECONNECT_PING_SECONDS)
        elif self.spreader.joined:
            await self._sync_with(address)

    async def _sync(self) -> None:
        if not self.spreader.is_sync_due():
            return
        member = self.spreader.random_member()
        if member is not None and not self.is_leaving:
            await self._sync_with(member.address)

    async def _sync_with(self, address: str) -> None:
        answer = await self.spreader.sync_with(address)
        self.is_meeting = False
        if answer is not None:
            self.puller.hear(answer.version, address)

    async def _tick(self) -> None:
        for suspect in self.prober.lapsed_suspicions():
            if self.tasks is not None:
                self.tasks.start_soon(self.prober.confirm_death, suspect)
        if self.spreader.joined:
            await self._sync()
        else:
            await self._join()

    def _schedule_gossip(self) -> None:
        if not self.is_gossip_scheduled:
            self.is_gossip_scheduled = True
            now = self.timers.now()
            self.next_gossip = max(now, self.next_gossip)
            self.timers.after(self.next_gossip - now, self._gossip, name="gossip")
            self.next_gossip += GOSSIP_SECONDS

    async def _gossip(self) -> None:
        self.is_gossip_scheduled = False
        await self.spreader.gossip()
        if self.spreader.has_news():
            self._schedule_gossip()

    async def _forget(self) -> None:
        self.table.forget_old()
        self.facts.forget_expired()

    def _announce(self, version: int) -> None:
        self.spreader.announce_version()
        self._schedule_gossip()

    def _pass_on(self, fact: Fact) -> None:
        self.broadcasts.put(fact, urgent=not is_background(fact))

    def _note_change(self, before: Member | None, member: Member) -> None:
        self.broadcasts.put(member)
        self.prober.note_change(member)
        if before is not None and before.status is member.status:
            return
        self.metrics.member_changes.labels(member.status.value).inc()
        self.timeline.record(
            DUTY, member.status.value, detail=f"{member.name} {member.incarnation}"
        )

    def _count_message(self, kind: str, direction: str, length: int) -> None:
        self.metrics.peer_messages.labels(kind, direction).inc()
        self.metrics.peer_bytes.labels(kind, direction).inc(length)
