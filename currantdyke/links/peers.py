"""The links from this daemon to the others, and the detection of failed daemons."""

import contextlib
import functools
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs

from currantdyke.core import Position
from currantdyke.decisionlog import DecisionLog, keep_running, run_logged
from currantdyke.directory import ChangeSet, Directory, reader_ips, relay_ips
from currantdyke.http1 import CONNECTION_ERRORS, limit_reading
from currantdyke.largevalues.fetch import ValueFetcher
from currantdyke.links.changes import ChangesClient
from currantdyke.links.codec import Content, Ping
from currantdyke.links.link import (
    Link,
    LinkLostError,
    LossReason,
    open_link,
    serve_link,
)
from currantdyke.platform.records import DaemonEntry
from currantdyke.tunnels.messages import TUNNEL_PREFIX

__all__ = ["Peers"]

# A daemon that did not respond is avoided for this long, about the time of a restart,
# and twice as long after each further failure, since one that is unreachable stays so
# for seconds.
MIN_SUSPECT_SECONDS = 1.5
MAX_SUSPECT_SECONDS = 12.0
# Small compared with the start time of a process, which is about 0.8 s.
RECONNECT_INTERVAL_SECONDS = 0.05


@attrs.define(kw_only=True)
class Suspicion:
    """A daemon that did not respond, and the time until which it is avoided.

    Attributes
    ----------
    incarnation : str
        The run of the daemon that did not respond; after a restart it is asked again.
    failures : int
        Number of consecutive times that it did not respond.
    """

    incarnation: str
    until: float
    failures: int


@attrs.define(kw_only=True, eq=False)
class Peers:
    """Opens links on first use, and keeps them open.

    An internal error ends the link on which it occurs, and no other one.

    Attributes
    ----------
    own : DaemonEntry
        Entry of this daemon.
    seed_ips : tuple of str
        IPs of VMs to ask while no other daemon is known or all others are suspected.
    handle_request, handle_notification : callable
        Handlers of requests and notifications from peers.
    serve_tunnel : callable or None
        Serves a connection that is no link, with what was read of it.
    is_congested : callable
        Returns whether the network link of this VM is full.
    suspects : dict of str to Suspicion
        Daemons that did not respond, by IP.
    changes : ChangesClient
        Requests the changes of the store from other daemons.
    fetcher : ValueFetcher
        Requests the large values that they offer.
    tasks : TaskGroup or None
        Of the links; None unless this runs.
    """

    own: DaemonEntry
    port: int
    seed_ips: tuple[str, ...]
    directory: Directory
    log: DecisionLog
    handle_request: Callable[[Link, Content], Awaitable[Content]]
    handle_notification: Callable[[Link, Content], None]
    on_link_lost: Callable[[Link], None]
    serve_tunnel: Callable[[anyio.abc.SocketStream, bytes], Awaitable[None]] | None = (
        None
    )
    is_congested: Callable[[], bool] = lambda: False
    tasks: anyio.abc.TaskGroup | None = None
    links: dict[str, Link] = attrs.field(factory=dict)
    connect_locks: dict[str, anyio.Lock] = attrs.field(factory=dict)
    suspects: dict[str, Suspicion] = attrs.field(factory=dict)
    changes: ChangesClient = attrs.field(init=False)
    fetcher: ValueFetcher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.fetcher = ValueFetcher(
            log=self.log,
            history=self.directory.replica.large_values,
            request=self.request,
            on_value=self.directory.apply_value,
            errors=(LinkLostError,),
        )
        self.changes = ChangesClient(
            log=self.log,
            directory=self.directory,
            fetcher=self.fetcher,
            connect=functools.partial(self._connect, keep=False),
            on_response=self._trust,
            on_failure=self._suspect,
        )

    async def run(self) -> None:
        """Accept links until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.own.ip, local_port=self.port
        )
        try:
            async with anyio.create_task_group() as tasks, listener:
                self.tasks = tasks
                tasks.start_soon(keep_running, self.fetcher.run, self.log)
                await listener.serve(
                    functools.partial(run_logged, self.log, self._serve)
                )
        finally:
            self.tasks = None

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        limit_reading(stream)
        received = b""
        try:
            while len(received) < len(TUNNEL_PREFIX):
                received += await stream.receive()
        except CONNECTION_ERRORS:
            # It was closed unused.
            await anyio.aclose_forcefully(stream)
            return
        if received.startswith(TUNNEL_PREFIX) and self.serve_tunnel is not None:
            await self.serve_tunnel(stream, received[len(TUNNEL_PREFIX) :])
            return
        await serve_link(
            stream,
            received=received,
            handle_request=self.handle_request,
            handle_notification=self.handle_notification,
            on_lost=self.on_link_lost,
        )

    def registered(self) -> list[DaemonEntry]:
        """Return the other registered daemons."""
        daemons = self.directory.daemons.values()
        return [daemon for daemon in daemons if daemon.ip != self.own.ip]

    def others(self) -> list[DaemonEntry]:
        """Return the other registered daemons that are not suspected of a failure."""
        now = anyio.current_time()
        return [
            daemon
            for daemon in self.registered()
            if not self._is_suspected(daemon, now)
        ]

    async def request(
        self,
        ip: str,
        content: Content,
        *,
        retry_seconds: float = 0.0,
    ) -> Content:
        """Send a request to a daemon and return its response.

        Parameters
        ----------
        retry_seconds : float
            Seconds for which opening a link is retried, if it fails.

        Raises
        ------
        LinkLostError
            If the daemon does not respond; unless it is suspected already, it is then
            suspected for `MIN_SUSPECT_SECONDS` or longer.
        """
        try:
            link = await self._connect_with_retries(ip, retry_seconds)
            answer = await link.request(content)
        except LinkLostError:
            self._suspect(ip)
            raise
        self._trust(ip)
        return answer

    def notify(self, ip: str, content: Content) -> None:
        """Send a notification to a daemon if a link to it is open."""
        link = self.links.get(ip)
        if link is not None:
            link.is_kept = True
            link.notify(content)

    def check(self, ip: str) -> None:
        """Ask a daemon for a sign of life, which ends a suspicion of its failure."""
        self._start(self._check, ip)

    def send(self, ip: str, content: Content, *, protocol: int = 0) -> None:
        """Send a notification to a daemon, to which a link is opened if necessary.

        Parameters
        ----------
        protocol : int
            Nothing is sent to a daemon that knows only an earlier protocol.
        """
        if protocol and not any(
            daemon.ip == ip and daemon.protocol >= protocol
            for daemon in self.directory.daemons.values()
        ):
            return
        self._start(self._connect_and_notify, ip, content)

    def broadcast(self, content: Content, *, protocol: int = 0) -> None:
        """Send a notification to every daemon in `others`.

        Parameters
        ----------
        protocol : int
            Daemons that know only an earlier protocol are left out.
        """
        for daemon in self.others():
            if daemon.protocol >= protocol:
                self.send(daemon.ip, content)

    async def ask_changes(self, position: Position) -> ChangeSet | None:
        """Return the changes after a position from another daemon, or None.

        In a large fleet a relay is preferred.
        """
        ips = self._known_ips()
        readers = reader_ips(self.own, self.directory.daemons.values())
        return await self.changes.ask(position, ips, readers & ips)

    async def ask_changes_once(self, position: Position) -> ChangeSet | None:
        """Return the same, from a daemon to which a link is open if there is one.

        A link that was opened to ask only is closed.
        """
        ips = self._known_ips()
        try:
            return await self.changes.ask(position, ips, self.links.keys() & ips)
        finally:
            for ip, link in list(self.links.items()):
                if not (link.is_kept or link.pending or ip in self.changes.transfers):
                    del self.links[ip]
                    link.scope.cancel()

    async def ask_relay(self, position: Position) -> ChangeSet | None:
        """Return the changes after a position from a relay.

        Returns
        -------
        ChangeSet or None
            None if this daemon must read the store itself, or the relay does not
            respond.
        """
        relays = relay_ips(self.own, self.directory.daemons.values())
        if relays:
            relays &= {daemon.ip for daemon in self.others()}
        return await self.changes.ask(position, relays)

    def has_others(self) -> bool:
        """Return whether another daemon is known that may be asked."""
        return bool(self._known_ips())

    def _known_ips(self) -> set[str]:
        """Return the IPs of the other daemons, or of those that are known to start."""
        ips = {daemon.ip for daemon in self.others()}
        return ips or set(self.seed_ips) - {self.own.ip}

    def reads_itself(self) -> bool:
        """Return whether this daemon reads the store, and has no relay."""
        return not relay_ips(self.own, self.directory.daemons.values())

    def _start(self, task: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Run a task beside the links, if these run."""
        if self.tasks is not None:
            self.tasks.start_soon(run_logged, self.log, task, *arguments)

    async def _check(self, ip: str) -> None:
        # A failure is logged as that of any request, when the daemon becomes suspected.
        with contextlib.suppress(LinkLostError):
            await self.request(ip, Ping())

    async def _connect_and_notify(self, ip: str, content: Content) -> None:
        try:
            link = await self._connect(ip)
        except LinkLostError:
            self._suspect(ip)
        else:
            link.notify(content)

    async def _connect_with_retries(self, ip: str, retry_seconds: float) -> Link:
        deadline = anyio.current_time() + retry_seconds
        while True:
            try:
                return await self._connect(ip)
            except LinkLostError:
                if anyio.current_time() >= deadline:
                    raise
            await anyio.sleep(RECONNECT_INTERVAL_SECONDS)

    async def _connect(self, ip: str, *, keep: bool = True) -> Link:
        async with self.connect_locks.setdefault(ip, anyio.Lock()):
            link = self.links.get(ip)
            if link is None or link.closed:
                link = await open_link(
                    peer=ip,
                    host=ip,
                    port=self.port,
                    handle_notification=self.handle_notification,
                    is_congested=self.is_congested,
                )
                if self.tasks is None:
                    await anyio.aclose_forcefully(link.stream)
                    raise LinkLostError(ip, reason=LossReason.NO_CONNECTION)
                self.links[ip] = link
                self._start(self._run_link, ip, link)
            link.is_kept |= keep
            return link

    async def _run_link(self, ip: str, link: Link) -> None:
        self.log.write("peer_link_opened", peer=ip)
        try:
            await link.run()
        finally:
            if self.links.get(ip) is link:
                del self.links[ip]
            self.log.write("peer_link_lost", peer=ip)

    def _is_suspected(self, daemon: DaemonEntry, now: float) -> bool:
        suspicion = self.suspects.get(daemon.ip)
        if suspicion is None or suspicion.incarnation != daemon.incarnation:
            return False
        return suspicion.until > now

    def _trust(self, ip: str) -> None:
        self.suspects.pop(ip, None)

    def _suspect(self, ip: str) -> None:
        now = anyio.current_time()
        daemons = self.directory.daemons.values()
        incarnation = next(
            (daemon.incarnation for daemon in daemons if daemon.ip == ip), ""
        )
        failures = 1
        previous = self.suspects.get(ip)
        if previous is not None and previous.incarnation == incarnation:
            if previous.until > now:
                return
            failures += previous.failures
        seconds = min(MAX_SUSPECT_SECONDS, MIN_SUSPECT_SECONDS * 2 ** (failures - 1))
        self.suspects[ip] = Suspicion(
            incarnation=incarnation, until=now + seconds, failures=failures
        )
        self.log.write("peer_suspected", peer=ip, seconds=seconds, failures=failures)
