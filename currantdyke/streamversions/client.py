"""Replicates which version began a stream to other daemons, and asks them."""

import bisect
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import attrs
import xxhash

from currantdyke.catalog import Endpoint
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import Directory
from currantdyke.links.link import LinkLostError
from currantdyke.streamversions.messages import (
    StreamVersions,
    VersionAnswer,
    VersionRequest,
)
from currantdyke.streamversions.table import ServiceVersions, StreamTable, digest_of

__all__ = ["FleetStreamVersions"]

# Daemons that are notified of a stream besides the one that began it. One more is
# asked, since a daemon may have joined or left meanwhile.
REPLICAS = 2
REPLICAS_ASKED = REPLICAS + 1
# Callers come back within milliseconds.
BATCH_SECONDS = 0.005
# Of a service with one version, a stream is known without its record until a second
# version appears; this bounds the messages of a daemon to 40 a second.
BACKUP_BATCH_SECONDS = 0.05
ASK_TIMEOUT_SECONDS = 0.3
RING_CACHE_SECONDS = 0.25
# Fits into a frame with room to spare.
MAX_BATCH_STREAMS = 10_000


@attrs.define(kw_only=True, eq=False)
class FleetStreamVersions:
    """The versions that began streams, kept by a few daemons for each stream.

    The daemon that relays the first event of a stream notifies two others. If the
    service has several versions, they are determined by the attempt id, and the daemon
    at which the stream is resumed asks them. If it has one, they are the backups of the
    daemon, the same for all its streams; once a second version appears, all that know
    these streams notify the daemons that will be asked.

    Attributes
    ----------
    own_ip : str
        IP of this daemon, which determines its backups.
    request, send : callable
        Send a request or a notification to a daemon by its IP.
    others : callable
        Returns the IPs of the other daemons that may be replicas.
    recorded : set of str
        Services of which the store records that they have several versions.
    asked, refused : int
        Requests to other daemons, and streams that could not be resumed.
    """

    own_ip: str
    directory: Directory
    log: DecisionLog
    request: Callable[[str, VersionRequest], Awaitable[Any]]
    send: Callable[[str, StreamVersions], None]
    others: Callable[[], list[str]]
    streams: StreamTable = attrs.field(
        factory=lambda: StreamTable(now=anyio.current_time)
    )
    services: ServiceVersions = attrs.field(
        factory=lambda: ServiceVersions(now=anyio.current_time)
    )
    recorded: set[str] = attrs.field(factory=set)
    tasks: anyio.abc.TaskGroup | None = None
    pending: list[tuple[int, str]] = attrs.field(factory=list)
    pending_backups: dict[str, list[tuple[int, str]]] = attrs.field(factory=dict)
    ring: list[tuple[int, str]] = attrs.field(factory=list)
    ring_until: float = 0.0
    asked: int = 0
    refused: int = 0

    async def run(self) -> None:
        """Send what is due to other daemons until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            await anyio.sleep_forever()

    def has_several(self, service: str) -> bool:
        """Return whether a service has several versions, or had until recently."""
        return service in self.recorded or len(self.services.recent(service)) > 1

    def on_endpoint_change(self, instance: str, endpoint: Endpoint | None) -> None:
        """Follow the directory; streams of two versions are asked for by their ids."""
        service = "" if endpoint is None else endpoint.service
        had_several = self.has_several(service)
        self.services.update(instance, endpoint)
        if not had_several and self.has_several(service):
            self._publish(self.streams.by_service().get(service, []))

    def on_record(self, service: str, exists: bool) -> None:
        """Follow the store's record of the services with several versions."""
        if not exists:
            self.recorded.discard(service)
            return
        had_several = self.has_several(service)
        self.recorded.add(service)
        if not had_several:
            self._publish(self.streams.by_service().get(service, []))

    def record(self, attempt_id: str, service: str, version: str) -> None:
        """Record that an engine of a version began a stream, or goes on with it."""
        digest = digest_of(attempt_id)
        self.streams.record(digest, version, service)
        self._share(service, [(digest, version)])

    def handle(self, content: StreamVersions) -> None:
        """Record the versions that another daemon reports.

        The other one may not know a second version of the service yet.
        """
        streams = [(digest, content.versions[n]) for digest, n in content.streams]
        for digest, version in streams:
            self.streams.record(digest, version, content.service)
        if content.service and self.has_several(content.service):
            self._publish(streams)

    def answer(self, request: VersionRequest) -> VersionAnswer:
        """Return what this daemon knows of a stream."""
        known = self.streams.find(request.digest)
        return VersionAnswer(
            known=known is not None,
            version=None if known is None else known.version,
            several=self.has_several(request.service),
        )

    async def find(self, attempt_id: str | None, service: str) -> str | None:
        """Return the version at which a stream may go on, or None.

        Parameters
        ----------
        attempt_id : str or None
            The attempt that brought the stream's first event; None if its caller names
            none.

        Returns
        -------
        str or None
            None if the version is not known. Of a stream that no daemon knows, it is
            the only version that the service has had.
        """
        digest = digest_of(attempt_id or "")
        own = self.answer(VersionRequest(digest=digest, service=service))
        answers = [own]
        others = self._replicas(digest, REPLICAS_ASKED)
        if not own.known:
            answers += await self._ask(others, digest, service)
        known = {answer.version for answer in answers if answer.known}
        if attempt_id is not None and known:
            version = known.pop()
            return None if known else version
        versions = self.services.recent(service)
        several = any(answer.several for answer in answers) or len(versions) != 1
        # A daemon that nobody answers may have missed another version.
        in_touch = len(answers) > 1 or self.directory.is_recent
        return versions[0] if in_touch and not several else None

    def hand_over(self) -> None:
        """Replicate all that this daemon knows, since it stops."""
        for service, streams in self.streams.by_service().items():
            self._share(service, streams)

    async def _ask(
        self, ips: list[str], digest: int, service: str
    ) -> list[VersionAnswer]:
        """Return the answers of daemons, up to the first that knows the stream."""
        answers: list[VersionAnswer] = []
        request = VersionRequest(digest=digest, service=service)

        async def ask(ip: str, scope: anyio.CancelScope) -> None:
            self.asked += 1
            try:
                answer = await self.request(ip, request)
            except LinkLostError as error:
                self.log.write("version_replica_lost", replica=ip, reason=str(error))
                return
            if isinstance(answer, VersionAnswer):
                answers.append(answer)
                if answer.known:
                    scope.cancel()

        with anyio.move_on_after(ASK_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for ip in ips:
                    tasks.start_soon(ask, ip, tasks.cancel_scope)
        return answers

    def _share(self, service: str, streams: list[tuple[int, str]]) -> None:
        """Notify the daemons that are to know streams of a service.

        Parameters
        ----------
        service : str
            Empty for streams of which this daemon is a replica.
        """
        if not service or self.has_several(service):
            self._publish(streams)
        else:
            self._back_up(service, streams)

    def _back_up(self, service: str, streams: list[tuple[int, str]]) -> None:
        """Notify the backups of streams soon, many at a time."""
        if not streams or self.tasks is None:
            return
        if not self.pending_backups:
            self.tasks.start_soon(self._send_backups)
        self.pending_backups.setdefault(service, []).extend(streams)

    async def _send_backups(self) -> None:
        await anyio.sleep(BACKUP_BATCH_SECONDS)
        pending, self.pending_backups = self.pending_backups, {}
        backups = self._replicas(_position_of(self.own_ip), REPLICAS)
        for service, streams in pending.items():
            for ip in backups:
                self._notify(ip, streams, service)

    def _publish(self, streams: list[tuple[int, str]]) -> None:
        """Notify the replicas of streams soon, many at a time."""
        if not streams or self.tasks is None:
            return
        if not self.pending:
            self.tasks.start_soon(self._send_pending)
        self.pending += streams

    async def _send_pending(self) -> None:
        await anyio.sleep(BATCH_SECONDS)
        pending, self.pending = self.pending, []
        batches: dict[str, list[tuple[int, str]]] = {}
        for stream in pending:
            for ip in self._replicas(stream[0], REPLICAS):
                batches.setdefault(ip, []).append(stream)
        for ip, streams in batches.items():
            self._notify(ip, streams)

    def _notify(
        self, ip: str, streams: list[tuple[int, str]], service: str = ""
    ) -> None:
        for start in range(0, len(streams), MAX_BATCH_STREAMS):
            batch = streams[start : start + MAX_BATCH_STREAMS]
            self.send(ip, _build_message(batch, service))

    def _replicas(self, digest: int, count: int) -> list[str]:
        """Return the daemons that follow a digest on a ring of hashed IPs."""
        now = anyio.current_time()
        if now >= self.ring_until:
            self.ring = sorted((_position_of(ip), ip) for ip in self.others())
            self.ring_until = now + RING_CACHE_SECONDS
        start = bisect.bisect(self.ring, (digest, ""))
        turned = self.ring[start:] + self.ring[:start]
        return [ip for _, ip in turned[:count]]


def _position_of(ip: str) -> int:
    """Return the position of a daemon on the ring."""
    return xxhash.xxh64_intdigest(ip.encode())


def _build_message(streams: list[tuple[int, str]], service: str) -> StreamVersions:
    versions = tuple(dict.fromkeys(version for _, version in streams))
    numbers = {version: number for number, version in enumerate(versions)}
    return StreamVersions(
        service=service,
        versions=versions,
        streams=tuple((digest, numbers[version]) for digest, version in streams),
    )
