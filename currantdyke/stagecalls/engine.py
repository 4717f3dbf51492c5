"""Streamed completions from model engines."""

from collections.abc import Callable

import httpx
import httpx_sse
import msgspec

from currantdyke.stagecalls.attempt import Attempt, AttemptEnd, AttemptReport
from currantdyke.stagecalls.transport import exchange_call

__all__ = ["DeliveredTokens", "call_engine"]

DONE_MARK = "[DONE]"


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
    """

    def __init__(self, *, deliver: Callable[[str], None]):
        self.deliver = deliver
        self.texts: list[str] = []

    def take(self, index: int, text: str) -> None:
        """Accept the token at ``index``; raise ``ValueError`` if it cannot fit."""
        if index > len(self.texts):
            raise ValueError(f"token {index} came after {len(self.texts)} tokens")
        if index < len(self.texts):
            if text != self.texts[index]:
                raise ValueError(f"token {index} differs from the one delivered")
            return
        self.texts.append(text)
        self.deliver(text)


decode_chunk = msgspec.json.Decoder(Chunk).decode


async def call_engine(
    client: httpx.AsyncClient, attempt: Attempt, delivered: DeliveredTokens
) -> AttemptReport:
    """Stream a completion into ``delivered``; done only when it ended whole."""

    async def read_answer(response: httpx.Response) -> AttemptReport:
        finished = False
        async for event in httpx_sse.EventSource(response).aiter_sse():
            if event.data == DONE_MARK:
                break
            chunk = decode_chunk(event.data)
            if chunk.id != attempt.attempt_id:
                return AttemptReport(
                    attempt=attempt,
                    end=AttemptEnd.MISMATCHED,
                    detail=f"a chunk is of attempt {chunk.id!r:.80}",
                )
            for choice in chunk.choices:
                delivered.take(chunk.token_index, choice.text)
                finished = finished or choice.finish_reason is not None
        if not finished:
            raise ValueError("the stream ended before the completion did")
        output = {"text": "".join(delivered.texts), "tokens": len(delivered.texts)}
        return AttemptReport(attempt=attempt, end=AttemptEnd.DONE, output=output)

    return await exchange_call(client, attempt, read_answer)
