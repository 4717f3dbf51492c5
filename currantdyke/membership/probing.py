"""Who is alive: direct probes, probes through others, suspicion with a time limit."""

import itertools
import math
import random
from collections.abc import Iterable

import anyio
import attrs

from currantdyke.membership.link import PeerLink
from currantdyke.peers import Member, MemberStatus, Message, MessageKind

__all__ = ["Prober", "suspicion_seconds"]

PROBE_PERIOD_SECONDS = 1.0
DIRECT_SECONDS = 0.4
INDIRECT_SECONDS = 0.5
HELPERS = 3
MAX_HELPING = 16
PAUSE_SECONDS = 0.5
SUSPICION_PERIODS = 4.0
TICK_SECONDS = 1.0
TICK_JITTER = 0.1
LAST_PINGS = 3


def suspicion_seconds(members: int) -> float:
    """Return how long a suspected member has to refute.

    Examples
    --------
    >>> round(suspicion_seconds(12), 1), round(suspicion_seconds(490), 1)
    (4.5, 10.8)
    """
    return SUSPICION_PERIODS * PROBE_PERIOD_SECONDS * max(1.0, math.log10(members + 1))


@attrs.define(kw_only=True, eq=False)
class Prober:
    """Probes one member after another and judges what it sees.

    A daemon that was paused judges nothing by the time that it slept through.

    Attributes
    ----------
    waiting : dict
        Events of the probes under way, by sequence.
    suspicions : dict
        When each suspected member is taken for dead.
    pauses : int
        Pauses of this process that were noticed.
    """

    link: PeerLink
    random_source: random.Random
    waiting: dict[int, anyio.Event] = attrs.field(factory=dict)
    suspicions: dict[str, float] = attrs.field(factory=dict)
    order: list[str] = attrs.field(factory=list)
    sequences: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    last_tick: float | None = None
    pauses: int = 0
    helping: int = 0

    async def probe_next(self) -> None:
        """Probe the next member of the round; suspect it if nothing comes back."""
        target = self._next_target()
        if target is None:
            return
        started = anyio.current_time()
        answered = await self._probe(target)
        took = anyio.current_time() - started
        if answered or took > DIRECT_SECONDS + INDIRECT_SECONDS + PAUSE_SECONDS:
            return
        current = self.link.table.by_name.get(target.name)
        if current is not None and current.counter == target.counter:
            self.link.table.say(target.name, MemberStatus.SUSPECT)

    async def ping(self, member: Member, seconds: float) -> bool:
        """Ping a member once; return whether it answered in time."""
        sequence = next(self.sequences)
        event = self.waiting[sequence] = anyio.Event()
        try:
            await self._send_ping(member, sequence)
            return await _within(seconds, event)
        finally:
            del self.waiting[sequence]

    async def help_probe(self, request: Message, address: str) -> None:
        """Ping a member for another daemon and pass the answer on."""
        member = self.link.table.by_name.get(request.target)
        if member is None or self.helping >= MAX_HELPING:
            return
        self.helping += 1
        try:
            if await self.ping(member, INDIRECT_SECONDS):
                await self.link.send(
                    MessageKind.ACK,
                    address,
                    to=request.sender,
                    sequence=request.sequence,
                )
        finally:
            self.helping -= 1

    def note_answer(self, sequence: int) -> None:
        """Note the answer to a probe under way; late ones are nothing."""
        event = self.waiting.get(sequence)
        if event is not None:
            event.set()

    def note_change(self, member: Member) -> None:
        """Start or end a suspicion as a member's status changes."""
        if member.status is not MemberStatus.SUSPECT:
            self.suspicions.pop(member.name, None)
            return
        members = len(self.link.table.reachable()) + 1
        lapses = anyio.current_time() + suspicion_seconds(members)
        self.suspicions.setdefault(member.name, lapses)

    def lapsed_suspicions(self) -> list[Member]:
        """Return whom to take for dead; after a pause, wait longer."""
        now = anyio.current_time()
        slept = now - self.last_tick if self.last_tick is not None else 0.0
        self.last_tick = now
        if slept > (1.0 + TICK_JITTER) * TICK_SECONDS + PAUSE_SECONDS:
            self.pauses += 1
            self.suspicions = {k: at + slept for k, at in self.suspicions.items()}
        names = [name for name, at in self.suspicions.items() if at <= now]
        for name in names:
            del self.suspicions[name]
        known = self.link.table.by_name
        return [known[name] for name in names if name in known]

    async def confirm_death(self, suspect: Member) -> None:
        """Give a suspect a last chance, then take it for dead.

        It may have refuted to all but this daemon; its answer says so.
        """
        for _ in range(LAST_PINGS):
            if await self.ping(suspect, DIRECT_SECONDS):
                break
        current = self.link.table.by_name.get(suspect.name)
        if current is not None and current.status is MemberStatus.SUSPECT:
            self.link.table.say(suspect.name, MemberStatus.DEAD)

    async def _probe(self, target: Member) -> bool:
        sequence = next(self.sequences)
        event = self.waiting[sequence] = anyio.Event()
        try:
            await self._send_ping(target, sequence)
            if await _within(DIRECT_SECONDS, event):
                return True
            for helper in self._helpers(target):
                await self.link.send(
                    MessageKind.PING_REQUEST,
                    helper.address,
                    to=helper.name,
                    sequence=sequence,
                    target=target.name,
                )
            await self._send_ping(target, sequence)
            return await _within(INDIRECT_SECONDS, event)
        finally:
            del self.waiting[sequence]

    async def _send_ping(self, member: Member, sequence: int) -> None:
        await self.link.send(
            MessageKind.PING,
            member.address,
            to=member.name,
            sequence=sequence,
            target=member.name,
        )

    def _helpers(self, target: Member) -> list[Member]:
        others = [m for m in self.link.table.reachable() if m.name != target.name]
        chosen = self.random_source.sample(others, min(len(others), 3 * HELPERS))
        apart = sorted(
            chosen, key=lambda m: m.availability_zone == target.availability_zone
        )
        return apart[:HELPERS]

    def _next_target(self) -> Member | None:
        if not self.order:
            self.order = spread_over_zones(
                self.link.table.reachable(), self.random_source
            )
        while self.order:
            member = self.link.table.by_name.get(self.order.pop())
            if member is not None and member.status in PROBED:
                return member
        return None


PROBED = frozenset((MemberStatus.ALIVE, MemberStatus.SUSPECT))


def spread_over_zones(members: Iterable[Member], source: random.Random) -> list[str]:
    """Return names in a random order in which each zone comes up evenly."""
    zones: dict[str, list[str]] = {}
    for member in members:
        zones.setdefault(member.availability_zone, []).append(member.name)
    placed: list[tuple[float, str]] = []
    for names in zones.values():
        source.shuffle(names)
        shift = source.random()
        placed += [((i + shift) / len(names), name) for i, name in enumerate(names)]
    return [name for _, name in sorted(placed)]


async def _within(seconds: float, event: anyio.Event) -> bool:
    with anyio.move_on_after(seconds):
        await event.wait()
    return event.is_set()
