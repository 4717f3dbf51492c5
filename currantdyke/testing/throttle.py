"""Limit the bandwidth of the connections that a VM opens."""

import contextlib
import contextvars
from collections.abc import Callable, Iterator, Mapping
from typing import Any
from unittest import mock

import anyio
import anyio.abc
import attrs

__all__ = ["Bandwidth", "ThrottledStream", "limit_bandwidth", "throttle_connections"]

# One TCP segment on loopback, so that connections that share a link take turns.
CHUNK_BYTES = 4_096


@attrs.define(kw_only=True, eq=False)
class Bandwidth:
    """Bandwidth of a link, shared by its connections and by both directions.

    Attributes
    ----------
    local_host : str or None
        Address from which connections over the link are opened; None for any.
    busy_until : float
        Time at which the bytes that were taken so far have crossed the link.
    """

    bytes_per_second: float
    local_host: str | None = None
    busy_until: float = float("-inf")

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

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the wrapped stream."""
        return self.stream.extra_attributes

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receive at most a chunk, once the link is free."""
        await self.bandwidth.wait()
        data = await self.stream.receive(min(max_bytes, CHUNK_BYTES))
        self.bandwidth.take(len(data))
        return data

    async def send(self, item: bytes) -> None:
        """Send in chunks, each once the link is free."""
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
        options = {"local_host": bandwidth.local_host} | options
        stream = await connect(host, port, **options)
        return ThrottledStream(stream=stream, bandwidth=bandwidth)

    with mock.patch.object(anyio, "connect_tcp", connect_over_link):
        yield
