"""Size limit and idle timeout for the body of an endpoint's answer."""

import math
from collections.abc import AsyncIterator

import anyio
import attrs
import httpx

__all__ = ["LimitedStream", "limit_body"]


@attrs.define(kw_only=True, eq=False)
class LimitedStream(httpx.AsyncByteStream):
    """A body that raises if it is too long or stalls.

    Attributes
    ----------
    max_bytes : int
        Maximum length; ``ValueError`` is raised if it is exceeded.
    idle_seconds : float
        Maximum wait for the next chunk before ``TimeoutError`` is raised; it may be
        changed while the body is read.
    """

    stream: httpx.AsyncByteStream
    max_bytes: int
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
            if count > self.max_bytes:
                raise ValueError(f"the answer is longer than {self.max_bytes} bytes")
            yield chunk

    async def aclose(self) -> None:
        """Close the underlying body."""
        await self.stream.aclose()

    async def _next(self, chunks: AsyncIterator[bytes]) -> bytes | None:
        chunk = None
        with anyio.move_on_after(self.idle_seconds) as scope:
            chunk = await anext(chunks, None)
        if scope.cancelled_caught:
            raise TimeoutError(f"the endpoint was silent for {self.idle_seconds:g} s")
        return chunk


def limit_body(response: httpx.Response, max_bytes: int) -> LimitedStream:
    """Limit a response's body; return the limited body, which can be adjusted."""
    assert isinstance(response.stream, httpx.AsyncByteStream)
    limited = LimitedStream(stream=response.stream, max_bytes=max_bytes)
    response.stream = limited
    return limited
