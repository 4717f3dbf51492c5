"""Calls answered by one JSON body: encoders, retrievers, rerankers and services."""

import httpx
import msgspec

from currantdyke.core import is_deeper_than
from currantdyke.stagecalls.attempt import AttemptEnd, AttemptReport, TrackedAttempt
from currantdyke.stagecalls.limited import limit_body
from currantdyke.stagecalls.transport import call_endpoint

__all__ = ["call_plain"]

MAX_ANSWER_BYTES = 4_000_000
MAX_ANSWER_DEPTH = 100


async def call_plain(
    client: httpx.AsyncClient, tracked_attempt: TrackedAttempt
) -> AttemptReport:
    """Call an endpoint and read its JSON output."""

    async def read_answer(response: httpx.Response) -> AttemptReport:
        limit_body(response, MAX_ANSWER_BYTES)
        return AttemptReport(
            attempt=tracked_attempt.attempt,
            end=AttemptEnd.DONE,
            output=_decode_output(await response.aread()),
        )

    return await call_endpoint(client, tracked_attempt, read_answer)


def _decode_output(body: bytes):
    try:
        answer = msgspec.json.decode(body)
    except RecursionError:
        raise ValueError("the answer is nested too deep") from None
    if not isinstance(answer, dict) or "output" not in answer:
        raise ValueError("the answer has no output")
    if is_deeper_than(answer, MAX_ANSWER_DEPTH):
        raise ValueError(f"the answer is nested deeper than {MAX_ANSWER_DEPTH}")
    return answer["output"]
