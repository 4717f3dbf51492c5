"""Bounds on the body of an endpoint's answer: bytes, and silence."""

import math
from collections.abc import AsyncIterator

import anyio
import attrs
import httpx

__all__ = ["LimitedStream", "limit_body"]


@attrs.define(kw_only=True, eq=False)
class LimitedStream(httpx.AsyncByteStream):
    """A body that raises where it grows too long or falls silent.

    Attributes
    ----------
    most : int
        Bytes after which ``ValueError`` is raised.
    idle_seconds : float
        Longest wait for the next bytes before ``TimeoutError`` is raised; it may
        be changed while the body is read.
    """

    stream: httpx.AsyncByteStream
    most: int
    idle_seconds: float = math.inf

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body's chunks."""
        chunks = self.stream.__aiter__()
        count = 0
        while True:
            chunk = await self._next(chunks)
            if chunk is None:
                return
            count += len(chunk)
            if count > self.most:
                raise ValueError(f"the answer is longer than {self.most} bytes")
            yield chunk

    async def aclose(self) -> None:
        """Close the body below."""
        await self.stream.aclose()

    async def _next(self, chunks: AsyncIterator[bytes]) -> bytes | None:
        chunk = None
        with anyio.move_on_after(self.idle_seconds) as scope:
            chunk = await anext(chunks, None)
        if scope.cancelled_caught:
            raise TimeoutError(f"the endpoint was silent for {self.idle_seconds:g} s")
        return chunk


def limit_body(response: httpx.Response, most: int) -> LimitedStream:
    """Put bounds on a response's body; return them to be adjusted."""
    assert isinstance(response.stream, httpx.AsyncByteStream)
    limited = LimitedStream(stream=response.stream, most=most)
    response.stream = limited
    return limited
