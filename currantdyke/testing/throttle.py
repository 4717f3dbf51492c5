"""Limit the bandwidth of the connections that a VM opens, and cut some of them off."""

import contextlib
import contextvars
import enum
import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any
from unittest import mock

import anyio
import anyio.abc
import attrs

__all__ = [
    "Bandwidth",
    "Cut",
    "ThrottledStream",
    "limit_bandwidth",
    "throttle_connections",
]

# One TCP segment on loopback, so that connections that share a link take turns.
CHUNK_BYTES = 4_096


class Cut(enum.Enum):
    """What happens to connections over a link that is cut.

    ``HANG`` loses what is sent on open and new ones; ``RESET`` resets open ones and
    refuses new ones; ``REFUSE`` only refuses new ones.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@attrs.define(kw_only=True, eq=False)
class Bandwidth:
    """Bandwidth of a link, shared by its connections and by both directions.

    Attributes
    ----------
    local_host : str or None
        Address from which connections over the link are opened; None for any.
    busy_until : float
        Time at which the bytes that were taken so far have crossed the link.
    cut : Cut or None
        How the connections to ``cut_ports`` are cut off; None if they are not.
    cut_ports : set of int
        Ports on loopback.
    cut_changed : anyio.Event
        Set when the cut changes.
    """

    bytes_per_second: float
    local_host: str | None = None
    busy_until: float = float("-inf")
    cut: Cut | None = None
    cut_ports: set[int] = attrs.field(factory=set)
    cut_changed: anyio.Event = attrs.field(factory=anyio.Event)

    def set_cut(self, cut: Cut | None, ports: set[int]) -> None:
        """Cut connections to some ports off, or end this with None."""
        self.cut, self.cut_ports = cut, ports
        self.cut_changed.set()
        self.cut_changed = anyio.Event()

    def cut_of(self, port: int) -> Cut | None:
        """Return how connections to a port are cut off; None if they are not."""
        return self.cut if port in self.cut_ports else None

    async def wait(self) -> None:
        """Wait until all bytes taken so far have crossed the link."""
        while (now := anyio.current_time()) < self.busy_until:
            await anyio.sleep(self.busy_until - now)

    def take(self, size: int) -> None:
        """Record that ``size`` bytes enter the link."""
        start = max(self.busy_until, anyio.current_time())
        self.busy_until = start + size / self.bytes_per_second


@attrs.define(kw_only=True, eq=False)
class ThrottledStream(anyio.abc.ByteStream):
    """A byte stream over a link; bytes that are not read yet stay in its socket."""

    stream: anyio.abc.ByteStream
    bandwidth: Bandwidth
    port: int = 0

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the wrapped stream."""
        return self.stream.extra_attributes

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receive at most a chunk, once the link is free."""
        if math.isinf(self.bandwidth.bytes_per_second):
            data = await self._receive_unless_cut(max_bytes)
            await self._wait_for_path()
            return data
        await self.bandwidth.wait()
        data = await self.stream.receive(min(max_bytes, CHUNK_BYTES))
        self.bandwidth.take(len(data))
        return data

    async def _receive_unless_cut(self, max_bytes: int) -> bytes:
        """Receive bytes; raise BrokenResourceError if the link resets connections."""
        while True:
            changed = self.bandwidth.cut_changed
            received: list[bytes] = []
            errors: list[Exception] = []

            async def receive(
                scope: anyio.CancelScope, received: list = received, errors=errors
            ) -> None:
                try:
                    received.append(await self.stream.receive(max_bytes))
                except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
                    errors.append(error)
                scope.cancel()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(receive, tasks.cancel_scope)
                await changed.wait()
                tasks.cancel_scope.cancel()
            if received:
                return received[0]
            if errors:
                raise errors[0]
            if self.bandwidth.cut_of(self.port) is Cut.RESET:
                raise anyio.BrokenResourceError

    async def _wait_for_path(self) -> None:
        """Wait while the link loses what is sent."""
        while (cut := self.bandwidth.cut_of(self.port)) is Cut.HANG:
            await self.bandwidth.cut_changed.wait()
        if cut is Cut.RESET:
            raise anyio.BrokenResourceError

    async def send(self, item: bytes) -> None:
        """Send in chunks, each once the link is free."""
        if math.isinf(self.bandwidth.bytes_per_second):
            await self._wait_for_path()
            await self.stream.send(item)
            return
        for start in range(0, len(item), CHUNK_BYTES):
            chunk = item[start : start + CHUNK_BYTES]
            await self.bandwidth.wait()
            self.bandwidth.take(len(chunk))
            await self.stream.send(chunk)

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await self.stream.send_eof()

    async def aclose(self) -> None:
        """Close the wrapped stream."""
        await self.stream.aclose()


_current: contextvars.ContextVar[Bandwidth | None] = contextvars.ContextVar(
    "bandwidth", default=None
)


@contextlib.contextmanager
def limit_bandwidth(bandwidth: Bandwidth) -> Iterator[None]:
    """Make the tasks that are started inside open their connections over a link.

    This has an effect only while `throttle_connections` is active. Tasks pass the link
    on to the tasks that they start.
    """
    token = _current.set(bandwidth)
    try:
        yield
    finally:
        _current.reset(token)


@contextlib.contextmanager
def throttle_connections() -> Iterator[None]:
    """Make `anyio.connect_tcp` respect `limit_bandwidth`."""
    connect: Any = anyio.connect_tcp

    async def connect_over_link(host: str, port: int, **options: Any) -> Any:
        bandwidth = _current.get()
        if bandwidth is None:
            return await connect(host, port, **options)
        cut = bandwidth.cut_of(port)
        if cut is Cut.HANG:
            await anyio.sleep_forever()
        if cut is not None:
            raise ConnectionRefusedError("cut off")
        options = {"local_host": bandwidth.local_host} | options
        stream = await connect(host, port, **options)
        return ThrottledStream(stream=stream, bandwidth=bandwidth, port=port)

    with mock.patch.object(anyio, "connect_tcp", connect_over_link):
        yield
