"""Request the parts of a large value from the daemons that offered it."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import attrs

from currantdyke.decisionlog import DecisionLog
from currantdyke.largevalues.history import PART_BYTES, ValueHistory
from currantdyke.largevalues.messages import PartRequest, ValueOffer, ValuePart

__all__ = ["ValueFetcher"]

# Parts that are requested at once: enough to use a link whose queue delays each by
# 0.1 s, few enough that other frames overtake the rest.
MAX_PARTS = 4
# Time without a part after which a fetch may be stuck at a daemon that is alive.
STUCK_SECONDS = 1.0


@attrs.define(kw_only=True, eq=False)
class Fetch:
    """An encoded value of which some parts have been received.

    Attributes
    ----------
    sources : set of str
        IPs of the daemons that offered it and have not failed since.
    progress_at : float
        Time of the start or of the last part.
    """

    offer: ValueOffer
    sources: set[str]
    received: bytearray = attrs.field(factory=bytearray)
    started_at: float = attrs.field(factory=anyio.current_time)
    progress_at: float = attrs.field(factory=anyio.current_time)

    @property
    def missing(self) -> int:
        """Number of bytes that are still missing."""
        return self.offer.encoded_size - len(self.received)


@attrs.define(kw_only=True, eq=False)
class ValueFetcher:
    """Fetches one value at a time.

    A value that is being fetched is completed even if a newer one is offered
    meanwhile: the newer one is then a small difference from it.

    Attributes
    ----------
    request : callable
        Sends a request to a daemon by its IP; raises an exception of ``errors``.
    on_value : callable
        Called with an offer and the value that was fetched.
    errors : tuple of type
        Raised if a daemon does not respond.
    current : Fetch or None
        The fetch in progress.
    """

    log: DecisionLog
    history: ValueHistory
    request: Callable[[str, PartRequest], Awaitable[Any]]
    on_value: Callable[[ValueOffer, bytes], None]
    errors: tuple[type[Exception], ...]
    current: Fetch | None = None
    offered: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def progressing(self) -> bool:
        """Whether a value is being fetched and parts of it arrive."""
        fetch = self.current
        if fetch is None:
            return False
        return anyio.current_time() - fetch.progress_at < STUCK_SECONDS

    async def run(self) -> None:
        """Fetch what is offered until cancelled."""
        while True:
            await self.offered.wait()
            self.offered = anyio.Event()
            if self.current is not None:
                try:
                    await self._fetch(self.current)
                finally:
                    self.current = None

    def consider(self, offer: ValueOffer, ip: str) -> None:
        """Fetch an offered value, unless another one is being fetched."""
        fetch = self.current
        if fetch is None:
            self.current = Fetch(offer=offer, sources={ip})
            self.offered.set()
        elif fetch.offer.encoded_digest == offer.encoded_digest:
            fetch.sources.add(ip)

    async def _fetch(self, fetch: Fetch) -> None:
        while fetch.missing and fetch.sources:
            source = min(fetch.sources)
            before = len(fetch.received)
            await self._request_parts(fetch, source)
            if len(fetch.received) == before:
                fetch.sources.discard(source)
        offer = fetch.offer
        value = None
        if not fetch.missing:
            value = self.history.decode(offer, bytes(fetch.received), self.log)
        self.log.write(
            "value_fetched",
            failure=value is None,
            key=offer.key,
            revision=offer.revision,
            received_bytes=len(fetch.received),
            encoded_bytes=offer.encoded_size,
            difference=bool(offer.base),
            seconds=round(anyio.current_time() - fetch.started_at, 3),
        )
        if value is not None:
            self.on_value(offer, value)

    async def _request_parts(self, fetch: Fetch, source: str) -> None:
        """Request the next parts from a daemon, and keep those before the first gap."""
        first = len(fetch.received)
        count = min(MAX_PARTS, -(-fetch.missing // PART_BYTES))
        parts = [b""] * count

        async def request_part(number: int) -> None:
            parts[number] = await self._request_part(
                fetch.offer, source, first + number * PART_BYTES
            )
            if parts[number]:
                fetch.progress_at = anyio.current_time()

        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(request_part, number)
        for part in parts:
            fetch.received += part
            if len(part) < PART_BYTES:
                return

    async def _request_part(self, offer: ValueOffer, source: str, start: int) -> bytes:
        request = PartRequest(
            digest=offer.digest,
            base=offer.base,
            encoded_digest=offer.encoded_digest,
            start=start,
        )
        try:
            answer = await self.request(source, request)
        except self.errors:
            # The link logs the failure, and `value_fetched` its consequence.
            return b""
        return answer.data if isinstance(answer, ValuePart) else b""
