"""The links of a daemon to the others, and which of those answer."""

import random
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import ChangeSet, Directory, relay_ips
from currantdyke.links.codec import ChangesAsked, Content
from currantdyke.links.link import Link, LinkLostError, open_link, serve_link
from currantdyke.platform.records import DaemonEntry

__all__ = ["Peers"]

# A daemon that did not answer is avoided this long, about the time of a restart, and
# twice as long each further time: one that is cut off stays so for seconds.
SUSPECT_SECONDS = 1.5
MAX_SUSPECT_SECONDS = 12.0
# A small part of the time in which a process starts, some 0.8 s.
OPEN_AGAIN_SECONDS = 0.05
ASK_CHANGES_SECONDS = 0.6


@attrs.define(kw_only=True)
class Suspicion:
    """A daemon that did not answer, and for how long it is avoided.

    Attributes
    ----------
    incarnation : str
        The life of it that did not answer; a daemon that started anew is asked again.
    failures : int
        Times in a row that it did not answer.
    """

    incarnation: str
    until: float
    failures: int


@attrs.define(kw_only=True, eq=False)
class Peers:
    """Opens links when they are first needed, and keeps them.

    Attributes
    ----------
    own : DaemonEntry
        This daemon.
    seed_ips : tuple of str
        VMs to ask while no other daemon is known.
    answer, notice : callable
        Take questions and notices of peers.
    suspects : dict of str to Suspicion
        Daemons that did not answer, by IP.
    """

    own: DaemonEntry
    port: int
    seed_ips: tuple[str, ...]
    directory: Directory
    log: DecisionLog
    answer: Callable[[Link, Content], Awaitable[Content]]
    notice: Callable[[Link, Content], None]
    on_link_lost: Callable[[Link], None]
    tasks: anyio.abc.TaskGroup | None = None
    links: dict[str, Link] = attrs.field(factory=dict)
    opening: dict[str, anyio.Lock] = attrs.field(factory=dict)
    suspects: dict[str, Suspicion] = attrs.field(factory=dict)
    random_source: random.Random = attrs.field(factory=random.Random)

    async def run(self) -> None:
        """Accept links until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.own.ip, local_port=self.port
        )
        async with anyio.create_task_group() as tasks, listener:
            self.tasks = tasks
            await listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        await serve_link(
            stream, answer=self.answer, notice=self.notice, lost=self.on_link_lost
        )

    def others(self) -> list[DaemonEntry]:
        """Return the other daemons that are registered and not suspected."""
        now = anyio.current_time()
        return [
            daemon
            for daemon in self.directory.daemons.values()
            if daemon.ip != self.own.ip and not self._is_suspected(daemon, now)
        ]

    async def ask(
        self,
        ip: str,
        content: Content,
        *,
        timeout: float = float("inf"),
        patience: float = 0.0,
    ) -> Content:
        """Ask a daemon.

        Parameters
        ----------
        timeout : float
            Seconds that it may take to answer.
        patience : float
            Seconds for which a connection is tried again, if it is refused.

        Raises
        ------
        LinkLostError
            If the daemon is gone; it is suspected from then on.
        """
        try:
            link = await self._link_within(ip, patience)
            answer = await link.ask(content, timeout=timeout)
        except LinkLostError:
            self._suspect(ip)
            raise
        self.suspects.pop(ip, None)
        return answer

    def tell(self, ip: str, content: Content) -> None:
        """Send a notice over the link to a daemon, if there is one."""
        link = self.links.get(ip)
        if link is not None:
            link.tell(content)

    def tell_all(self, content: Content) -> None:
        """Send a notice to every other daemon that is registered."""
        for daemon in self.others():
            if self.tasks is not None:
                self.tasks.start_soon(self._open_and_tell, daemon.ip, content)

    async def ask_changes(self, revision: int) -> ChangeSet | None:
        """Return the changes after a revision as some daemon knows them."""
        ips = {daemon.ip for daemon in self.others()}
        if not ips:
            ips = set(self.seed_ips) - {self.own.ip}
        return await self._ask_changes(revision, ips)

    async def ask_relay(self, revision: int) -> ChangeSet | None:
        """Return the same from a daemon that reads the store for this one.

        Returns
        -------
        ChangeSet or None
            None if this daemon is to read the store itself, or no other one answers.
        """
        relays = relay_ips(self.own, self.directory.daemons.values())
        if relays:
            relays &= {daemon.ip for daemon in self.others()}
        return await self._ask_changes(revision, relays)

    async def _ask_changes(self, revision: int, ips: set[str]) -> ChangeSet | None:
        if not ips:
            return None
        ip = self.random_source.choice(sorted(ips))
        question = ChangesAsked(revision=revision)
        try:
            content = await self.ask(ip, question, timeout=ASK_CHANGES_SECONDS)
        except LinkLostError:
            return None
        return content if isinstance(content, ChangeSet) else None

    async def _open_and_tell(self, ip: str, content: Content) -> None:
        try:
            link = await self._link_to(ip)
        except LinkLostError:
            self._suspect(ip)
        else:
            link.tell(content)

    async def _link_within(self, ip: str, patience: float) -> Link:
        gives_up_at = anyio.current_time() + patience
        while True:
            try:
                return await self._link_to(ip)
            except LinkLostError:
                if anyio.current_time() >= gives_up_at:
                    raise
            await anyio.sleep(OPEN_AGAIN_SECONDS)

    async def _link_to(self, ip: str) -> Link:
        async with self.opening.setdefault(ip, anyio.Lock()):
            link = self.links.get(ip)
            if link is None or link.closed:
                link = await open_link(
                    peer=ip, host=ip, port=self.port, notice=self.notice
                )
                self.links[ip] = link
                if self.tasks is None:
                    raise LinkLostError(ip)
                self.tasks.start_soon(self._run_link, ip, link)
            return link

    async def _run_link(self, ip: str, link: Link) -> None:
        self.log.write("peer_link_opened", peer=ip)
        await link.run()
        if self.links.get(ip) is link:
            del self.links[ip]
        self.log.write("peer_link_lost", peer=ip)

    def _is_suspected(self, daemon: DaemonEntry, now: float) -> bool:
        found = self.suspects.get(daemon.ip)
        if found is None or found.incarnation != daemon.incarnation:
            return False
        return found.until > now

    def _suspect(self, ip: str) -> None:
        now = anyio.current_time()
        entries = self.directory.daemons.values()
        incarnation = next((d.incarnation for d in entries if d.ip == ip), "")
        failures = 1
        known = self.suspects.get(ip)
        if known is not None and known.incarnation == incarnation:
            if known.until > now:
                return
            failures += known.failures
        seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2 ** (failures - 1))
        self.suspects[ip] = Suspicion(
            incarnation=incarnation, until=now + seconds, failures=failures
        )
        self.log.write("peer_suspected", peer=ip, seconds=seconds, failures=failures)
