"""Requests for the changes of the store that other daemons know."""

import math
import random
from collections.abc import Awaitable, Callable

import anyio
import attrs

from currantdyke.core import Position, boot_time
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import ChangeSet, Directory
from currantdyke.largevalues.fetch import ValueFetcher
from currantdyke.largevalues.messages import PartRequest, ValuePart
from currantdyke.links.codec import ChangesRequest, Unknown
from currantdyke.links.link import Link, LinkLostError, LossReason, PendingRequest

__all__ = ["ChangesClient", "answer_changes"]

# Time without progress after which another daemon is asked.
CHANGES_TIMEOUT_SECONDS = 0.6
# Requests whose responses may still arrive. A second daemon is asked if the first is
# stuck; more responses to one question would only fill the link of a slow VM.
MAX_TRANSFERS = 2
# Time without progress after which a response is no longer expected.
ABANDON_SECONDS = 5.0
# For this long, a daemon that was behind is probably still behind.
LAG_SECONDS = 3.0


def answer_changes(
    directory: Directory, request: ChangesRequest | PartRequest
) -> ChangeSet | ValuePart | Unknown:
    """Return what another daemon has requested of the state that this one knows."""
    replica = directory.replica
    if isinstance(request, PartRequest):
        return replica.large_values.part(request)
    if not replica.answers or math.isinf(directory.age):
        return Unknown()
    # A daemon whose revision can't be placed in this era needs everything.
    position = replica.place(request.position) or Position()
    changes = directory.changes_since(position)
    if request.accepts_offers:
        changes = replica.offer_large(changes, request.bases)
    after = request.configuration_after
    if after is None:
        return changes
    return directory.add_configuration(changes, replica.place(after) or Position())


@attrs.frozen(kw_only=True, eq=False)
class Transfer:
    """A request for changes that is pending, or whose response nobody has used.

    Attributes
    ----------
    asked_at : float
        Time of the request in seconds, on the clock that counts suspensions of the VM.
    """

    link: Link
    request: PendingRequest
    asked_at: float

    @property
    def progress_at(self) -> float:
        """Time of the last progress."""
        return max(self.request.sent_at, self.link.received_at)

    @property
    def stalled(self) -> bool:
        """Whether another daemon should be asked, if there is one."""
        return anyio.current_time() >= self.progress_at + CHANGES_TIMEOUT_SECONDS


@attrs.define(kw_only=True, eq=False)
class ChangesClient:
    """Requests changes from other daemons, from one at a time while it responds.

    A request that was given up stays pending, since its response uses the link anyway:
    whoever asks next gets the response or waits for it.

    Attributes
    ----------
    connect : callable
        Returns the link to the daemon with an IP.
    on_response, on_failure : callable
        Called with the IP of a daemon that responded, or that is dead or unreachable.
    transfers : dict of str to Transfer
        By IP of the daemon that was asked.
    losses : dict of str to LossReason
        Why the last request to a daemon failed, by IP, if it did.
    directory : Directory
        Names the bases of differences, and decodes them.
    fetcher : ValueFetcher
        Requests the values that are sent in parts.
    lags : dict of str to (float, float)
        Age in seconds of the state of each daemon that responded, and when it did.
    seconds : float
        Duration of the last request that was answered.
    """

    log: DecisionLog
    directory: Directory
    fetcher: ValueFetcher
    connect: Callable[[str], Awaitable[Link]]
    on_response: Callable[[str], None]
    on_failure: Callable[[str], None]
    transfers: dict[str, Transfer] = attrs.field(factory=dict)
    losses: dict[str, LossReason] = attrs.field(factory=dict)
    lags: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    seconds: float = 0.0
    start_lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    random_source: random.Random = attrs.field(factory=random.Random)

    async def ask(
        self, position: Position, ips: set[str], preferred: set[str] | None = None
    ) -> ChangeSet | None:
        """Return the changes after a position, or None if they were not received.

        Their age and grace period take account of the time since they were requested.

        Parameters
        ----------
        position : Position
            Not less than in any earlier call.
        ips : set of str
            Daemons of which one is asked, unless a response to an earlier request has
            arrived or is arriving: the one of two random daemons that was more current
            when it responded last.
        preferred : set of str, optional
            Some of them, of which one of the two is chosen.
        """
        if not ips:
            return None
        async with self.start_lock:
            ip = self._find_transfer(position)
            if ip is None:
                ip = await self._start(position, ips, preferred or ips)
            if ip is None:
                return None
            transfer = self.transfers[ip]
        since = anyio.current_time() if transfer.stalled else transfer.progress_at
        try:
            content = await transfer.link.wait_for_response(
                transfer.request, timeout=CHANGES_TIMEOUT_SECONDS, since=since
            )
        except LinkLostError as error:
            if error.reason is not LossReason.TIME_LIMIT:
                self._remove(ip, transfer)
            self._record_loss(ip, error, transfer.request.sent_at)
            return None
        self._remove(ip, transfer)
        self.losses.pop(ip, None)
        self.on_response(ip)
        self.seconds = boot_time() - transfer.asked_at
        if not isinstance(content, ChangeSet):
            return None
        age = content.age + self.seconds
        self.lags[ip] = (age, anyio.current_time())
        changes = self.directory.replica.place_changes(content)
        if changes is None:
            return None
        changes = self.directory.replica.decode_offers(changes, self.log)
        for offer in changes.offers:
            self.fetcher.consider(offer, ip)
        return attrs.evolve(
            changes, age=age, grace_period=max(0.0, changes.grace_period - self.seconds)
        )

    def _find_transfer(self, position: Position) -> str | None:
        """Return the IP of a transfer with new changes or with progress, if any."""
        now = anyio.current_time()
        # An answer that is no newer may contain the configuration that is sought.
        seeks = self.directory.seeks_after is not None
        for ip, transfer in list(self.transfers.items()):
            if transfer.request.done.is_set():
                content = transfer.request.content
                if isinstance(content, ChangeSet) and (
                    seeks or content.position > position
                ):
                    return ip
                self._remove(ip, transfer)
            elif not transfer.stalled:
                return ip
            elif now >= transfer.progress_at + ABANDON_SECONDS:
                transfer.link.pending.pop(transfer.request.number, None)
                self._remove(ip, transfer)
        return None

    async def _start(
        self, position: Position, ips: set[str], preferred: set[str]
    ) -> str | None:
        """Send a request to a daemon; return its IP.

        If none is free, the IP of the daemon whose response was requested last is
        returned; None if no response is pending either.
        """
        free = sorted(ips - self.transfers.keys())
        if not free or len(self.transfers) >= MAX_TRANSFERS:
            pending = self.transfers
            return max(pending, key=lambda ip: pending[ip].asked_at, default=None)
        first = sorted(preferred & set(free)) or free
        pair = (self.random_source.choice(first), self.random_source.choice(free))
        ip = min(pair, key=self._lag)
        started = anyio.current_time()
        asked_at = boot_time()
        try:
            link = await self.connect(ip)
            request = link.send_request(
                ChangesRequest(
                    revision=position.revision,
                    era=position.era,
                    accepts_compressed=True,
                    accepts_offers=True,
                    bases=self.directory.replica.bases,
                    configuration_after=self.directory.seeks_after,
                )
            )
        except LinkLostError as error:
            self._record_loss(ip, error, started)
            return None
        self.transfers[ip] = Transfer(link=link, request=request, asked_at=asked_at)
        return ip

    def _lag(self, ip: str) -> float:
        age, at = self.lags.get(ip, (0.0, 0.0))
        return age if anyio.current_time() < at + LAG_SECONDS else 0.0

    def _remove(self, ip: str, transfer: Transfer) -> None:
        if self.transfers.get(ip) is transfer:
            del self.transfers[ip]

    def _record_loss(self, ip: str, error: LinkLostError, sent_at: float) -> None:
        """Log why the changes were not received, unless the last time was the same."""
        if error.reason is not LossReason.TIME_LIMIT:
            self.on_failure(ip)
        if self.losses.get(ip) == error.reason:
            return
        self.losses[ip] = error.reason
        self.log.write(
            "changes_not_received",
            failure=True,
            peer=ip,
            reason=error.reason.value,
            seconds=round(anyio.current_time() - sent_at, 3),
            received_bytes=error.received_bytes,
        )
