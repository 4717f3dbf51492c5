"""The configuration version in force, taken from whichever peer has a higher one."""

import random
from collections.abc import Callable
from typing import Protocol

import anyio.abc
import attrs

from currantdyke.membership.link import PeerLink
from currantdyke.peers import Message, MessageKind

__all__ = ["Feed", "UpdatePuller"]

MAX_UPDATE_BYTES = 1_000_000
MAX_ANSWER_BYTES = 1_100_000
MAX_SOURCES = 8


class Feed(Protocol):
    """What is given to peers of the configuration, and taken from them."""

    @property
    def version(self) -> int:
        """Return the version in force; 0 where there is none."""

    @property
    def next_chunk(self) -> int:
        """Return the first chunk still missing of an update in parts."""

    def update_since(
        self, version: int, max_bytes: int, chunk: int | None = None
    ) -> bytes:
        """Return an update from ``version``, or a chunk of it, or nothing."""

    def offer(self, update: bytes) -> bool:
        """Verify an update; return whether a higher version came into force."""

    def heard(self) -> None:
        """Note that a peer spoke of the configuration just now."""

    def subscribe(self, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with each version that comes into force."""


@attrs.define(kw_only=True, eq=False)
class UpdatePuller:
    """Pulls updates from the peers that told of a higher version, one at a time.

    Attributes
    ----------
    sources : dict
        The version that each peer's address told of, the latest last.
    pulled, failed : int
        Updates that came into force, and pulls that brought nothing.
    """

    link: PeerLink
    feed: Feed
    random_source: random.Random
    tasks: anyio.abc.TaskGroup | None = None
    sources: dict[str, int] = attrs.field(factory=dict)
    is_pulling: bool = False
    pulled: int = 0
    failed: int = 0

    def hear(self, version: int, address: str) -> None:
        """Note a peer's version; start a pull if it is higher."""
        if version:
            self.feed.heard()
        if version <= self.feed.version or not address:
            return
        self.sources.pop(address, None)
        self.sources[address] = version
        while len(self.sources) > MAX_SOURCES:
            del self.sources[next(iter(self.sources))]
        if not self.is_pulling and self.tasks is not None:
            self.is_pulling = True
            self.tasks.start_soon(self._pull_all)

    def answer_pull(self, question: Message) -> bytes:
        """Return the update since the version that a peer has."""
        update = self.feed.update_since(
            question.version, MAX_UPDATE_BYTES, question.sequence
        )
        return self.link.answer(MessageKind.UPDATE, content=update)

    async def _pull_all(self) -> None:
        try:
            while address := self._next_source():
                if not await self._pull(address):
                    self.failed += 1
                    self.sources.pop(address, None)
        finally:
            self.is_pulling = False

    def _next_source(self) -> str | None:
        higher = {a: v for a, v in self.sources.items() if v > self.feed.version}
        self.sources = higher
        if not higher:
            return None
        best = max(higher.values())
        return self.random_source.choice([a for a, v in higher.items() if v == best])

    async def _pull(self, address: str) -> bool:
        chunk = self.feed.next_chunk
        try:
            answer = await self.link.ask(
                MessageKind.PULL, address, MAX_ANSWER_BYTES, sequence=chunk
            )
        except (OSError, TimeoutError):
            return False
        if answer.content and self.feed.offer(answer.content):
            self.pulled += 1
            return True
        return self.feed.next_chunk > chunk
