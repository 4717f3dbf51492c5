"""Streamed completions from model engines."""

import contextlib
from collections.abc import AsyncIterator, Callable

import anyio
import httpx
import httpx_sse
import msgspec

from currantdyke.stagecalls.attempt import (
    Attempt,
    AttemptEnd,
    AttemptReport,
    OpenAttempt,
)
from currantdyke.stagecalls.limited import limit_body
from currantdyke.stagecalls.transport import exchange_call

__all__ = ["DeliveredTokens", "call_engine"]

DONE_MARK = "[DONE]"
MAX_STREAM_BYTES = 16_000_000
MAX_TOKEN_CHARACTERS = 4_000
CLOSING_SECONDS = 0.25


class Choice(msgspec.Struct):
    """The part of a completion's chunk that carries text."""

    text: str
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One event of a completion's stream."""

    id: str
    token_index: int
    choices: list[Choice]


class DeliveredTokens:
    """The tokens that a caller was given, over all attempts of a stage.

    A later attempt may resume after them, or begin again; then what it repeats
    must be the same.

    Parameters
    ----------
    deliver : callable
        Called once with each new token's text.
    most : int
        Tokens that were asked for; one more is a fault of the endpoint.
    """

    def __init__(self, *, deliver: Callable[[str], None], most: int | None = None):
        self.deliver = deliver
        self.most = most
        self.texts: list[str] = []

    def take(self, index: int, text: str) -> None:
        """Accept the token at ``index``; raise ``ValueError`` if it cannot fit."""
        if not 0 <= index <= len(self.texts):
            raise ValueError(f"token {index} came after {len(self.texts)} tokens")
        if index < len(self.texts):
            if text != self.texts[index]:
                raise ValueError(f"token {index} differs from the one delivered")
            return
        if self.most is not None and index >= self.most:
            raise ValueError(f"more than the {self.most} tokens asked for")
        if len(text) > MAX_TOKEN_CHARACTERS:
            raise ValueError(f"token {index} is {len(text)} characters long")
        self.texts.append(text)
        self.deliver(text)


decode_chunk = msgspec.json.Decoder(Chunk).decode


class CrossedError(Exception):
    """A chunk of another attempt."""

    def __init__(self, attempt_id: str):
        super().__init__(f"a chunk is of attempt {attempt_id!r:.80}")
        self.attempt_id = attempt_id


async def call_engine(
    client: httpx.AsyncClient, open_attempt: OpenAttempt, delivered: DeliveredTokens
) -> AttemptReport:
    """Stream a completion into ``delivered``; done only when it ended whole."""
    attempt = open_attempt.attempt

    async def read_answer(response: httpx.Response) -> AttemptReport:
        limited = limit_body(response, MAX_STREAM_BYTES)
        events = httpx_sse.EventSource(response).aiter_sse()
        async with contextlib.aclosing(events):
            try:
                async for event in events:
                    if not event.data:
                        continue
                    if _take_event(attempt, event.data, delivered):
                        await _read_to_end(events)
                        return _whole(attempt, delivered)
                    limited.idle_seconds = attempt.idle_seconds
            except CrossedError as crossed:
                return AttemptReport(
                    attempt=attempt,
                    end=AttemptEnd.MISMATCHED,
                    detail=str(crossed),
                    claimed_attempt=crossed.attempt_id,
                )
        raise ValueError("the stream ended before the completion did")

    return await exchange_call(client, open_attempt, read_answer)


def _take_event(attempt: Attempt, data: str, delivered: DeliveredTokens) -> bool:
    """Take one event; return whether the completion has ended with it."""
    if data == DONE_MARK:
        raise ValueError("the stream ended before the completion did")
    chunk = decode_chunk(data)
    if chunk.id != attempt.attempt_id:
        raise CrossedError(chunk.id)
    if len(chunk.choices) != 1:
        raise ValueError(f"a chunk has {len(chunk.choices)} choices, not one")
    choice = chunk.choices[0]
    finished = choice.finish_reason is not None
    if choice.text or not finished:
        delivered.take(chunk.token_index, choice.text)
    elif chunk.token_index != len(delivered.texts):
        raise ValueError(
            f"the completion ended at token {chunk.token_index}, "
            f"after {len(delivered.texts)} were delivered"
        )
    if finished and chunk.token_index < len(delivered.texts) - 1:
        raise ValueError(f"the completion ended early, at token {chunk.token_index}")
    return finished


async def _read_to_end(events: AsyncIterator[httpx_sse.ServerSentEvent]) -> None:
    """Read past the end mark, so that the connection can be used again.

    The completion is whole already: what comes after it changes nothing.
    """
    with (
        anyio.move_on_after(CLOSING_SECONDS),
        contextlib.suppress(httpx.HTTPError, httpx.StreamError, ValueError, OSError),
    ):
        async for _ in events:
            pass


def _whole(attempt: Attempt, delivered: DeliveredTokens) -> AttemptReport:
    output = {"text": "".join(delivered.texts), "tokens": len(delivered.texts)}
    return AttemptReport(attempt=attempt, end=AttemptEnd.DONE, output=output)
