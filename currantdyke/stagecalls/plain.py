"""Calls answered by one JSON body: encoders, retrievers, rerankers, services."""

import httpx
import msgspec

from currantdyke.stagecalls.attempt import Attempt, AttemptEnd, AttemptReport
from currantdyke.stagecalls.transport import exchange_call

__all__ = ["call_plain"]

MAX_ANSWER_BYTES = 4_000_000


async def call_plain(client: httpx.AsyncClient, attempt: Attempt) -> AttemptReport:
    """Call an endpoint and return its JSON output whole."""

    async def read_answer(response: httpx.Response) -> AttemptReport:
        body = await _bounded_body(response)
        answer = msgspec.json.decode(body)
        if not isinstance(answer, dict) or "output" not in answer:
            raise ValueError("the answer has no output")
        return AttemptReport(
            attempt=attempt, end=AttemptEnd.DONE, output=answer["output"]
        )

    return await exchange_call(client, attempt, read_answer)


async def _bounded_body(response: httpx.Response) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise ValueError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
    return bytes(body)
