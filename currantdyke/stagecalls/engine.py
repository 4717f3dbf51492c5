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
    TrackedAttempt,
)
from currantdyke.stagecalls.limited import limit_body
from currantdyke.stagecalls.transport import call_endpoint

__all__ = ["DeliveredTokens", "call_engine"]

DONE_MARKER = "[DONE]"
MAX_STREAM_BYTES = 16_000_000
MAX_TOKEN_CHARACTERS = 4_000
DRAIN_TIMEOUT_SECONDS = 0.25


class Choice(msgspec.Struct):
    """The choice in a completion chunk, which carries the text."""

    text: str
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One event of a completion stream."""

    id: str
    token_index: int
    choices: list[Choice]


class DeliveredTokens:
    """The tokens received and passed on over all attempts of a stage.

    A later attempt may either resume after them or restart from the beginning; the
    tokens that it repeats must be the same.

    Parameters
    ----------
    deliver : callable
        Called once with the text of each new token; replaced for each attempt.
    max_tokens : int or None
        Number of tokens requested; an endpoint that sends more is at fault.
    """

    def __init__(
        self, *, deliver: Callable[[str], None], max_tokens: int | None = None
    ):
        self.deliver = deliver
        self.max_tokens = max_tokens
        self.texts: list[str] = []

    def take(self, index: int, text: str) -> None:
        """Accept the token at ``index``; raise ``ValueError`` if it is invalid."""
        if not 0 <= index <= len(self.texts):
            raise ValueError(f"token {index} came after {len(self.texts)} tokens")
        if index < len(self.texts):
            if text != self.texts[index]:
                raise ValueError(f"token {index} differs from the one delivered")
            return
        if self.max_tokens is not None and index >= self.max_tokens:
            raise ValueError(f"more than the {self.max_tokens} tokens asked for")
        if len(text) > MAX_TOKEN_CHARACTERS:
            raise ValueError(f"token {index} is {len(text)} characters long")
        self.texts.append(text)
        self.deliver(text)


decode_chunk = msgspec.json.Decoder(Chunk).decode


class AttemptMismatchError(Exception):
    """Raised for a chunk that belongs to another attempt."""

    def __init__(self, attempt_id: str):
        super().__init__(f"a chunk is of attempt {attempt_id!r:.80}")
        self.attempt_id = attempt_id


async def call_engine(
    client: httpx.AsyncClient,
    tracked_attempt: TrackedAttempt,
    delivered: DeliveredTokens,
) -> AttemptReport:
    """Stream a completion into ``delivered``; done only if it is complete."""
    attempt = tracked_attempt.attempt

    async def read_answer(response: httpx.Response) -> AttemptReport:
        limited = limit_body(response, MAX_STREAM_BYTES)
        events = httpx_sse.EventSource(response).aiter_sse()
        async with contextlib.aclosing(events):
            try:
                async for event in events:
                    if not event.data:
                        continue
                    if _process_event(attempt, event.data, delivered):
                        await _drain(events)
                        return _completed_report(attempt, delivered)
                    limited.idle_seconds = attempt.idle_seconds
            except AttemptMismatchError as mismatch:
                return AttemptReport(
                    attempt=attempt,
                    end=AttemptEnd.MISMATCHED,
                    detail=str(mismatch),
                    claimed_attempt=mismatch.attempt_id,
                )
        raise ValueError("the stream ended before the completion did")

    return await call_endpoint(client, tracked_attempt, read_answer)


def _process_event(attempt: Attempt, data: str, delivered: DeliveredTokens) -> bool:
    """Process one event; return whether it ends the completion."""
    if data == DONE_MARKER:
        raise ValueError("the stream ended before the completion did")
    chunk = decode_chunk(data)
    if chunk.id != attempt.attempt_id:
        raise AttemptMismatchError(chunk.id)
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


async def _drain(events: AsyncIterator[httpx_sse.ServerSentEvent]) -> None:
    """Read past the end marker, so that the connection can be reused.

    Errors and delays are ignored, since the completion has already ended.
    """
    with (
        anyio.move_on_after(DRAIN_TIMEOUT_SECONDS),
        contextlib.suppress(httpx.HTTPError, httpx.StreamError, ValueError, OSError),
    ):
        async for _ in events:
            pass


def _completed_report(attempt: Attempt, delivered: DeliveredTokens) -> AttemptReport:
    output = {"text": "".join(delivered.texts), "tokens": len(delivered.texts)}
    return AttemptReport(attempt=attempt, end=AttemptEnd.DONE, output=output)
