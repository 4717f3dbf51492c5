"""Callers that keep a number of streams open, with one task per stream."""

import time
from typing import Any

import anyio
import attrs
import httpx
import httpx_sse

from currantdyke.benches.serve.processes import WORKSPACE_KEY, Pipe

__all__ = ["StreamTimes", "run_callers"]

MAX_CONNECTIONS = 2_000


@attrs.define(kw_only=True)
class StreamTimes:
    """Measurements of one caller process.

    Attributes
    ----------
    first_token : list of float
        Seconds from sending to the first token, one value per request.
    gaps : list of float
        Seconds between events that carry tokens.
    completed : int
        Requests answered completely.
    events : int
        Events that carried tokens, over all requests.
    tokens : int
        Tokens in these events.
    failed : int
        Requests that did not complete.
    """

    first_token: list[float] = attrs.field(factory=list)
    gaps: list[float] = attrs.field(factory=list)
    completed: int = 0
    events: int = 0
    tokens: int = 0
    failed: int = 0


def run_callers(
    pipe: Pipe, url: str, body: dict[str, Any], streams: int, seconds: float
) -> None:
    """Keep ``streams`` requests open for ``seconds``, then send the times."""
    times = StreamTimes()

    async def main() -> None:
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_CONNECTIONS
        )
        end_time = time.monotonic() + seconds
        async with (
            httpx.AsyncClient(timeout=120.0, limits=limits) as client,
            anyio.create_task_group() as tasks,
        ):
            for number in range(streams):
                delay = number / streams * min(1.0, seconds / 4)
                tasks.start_soon(_run_caller, client, url, body, times, end_time, delay)

    pipe.send("started")
    pipe.recv()
    anyio.run(main)
    pipe.send(times)


async def _run_caller(
    client: httpx.AsyncClient,
    url: str,
    body: dict[str, Any],
    times: StreamTimes,
    end_time: float,
    delay: float,
) -> None:
    await anyio.sleep(delay)
    while time.monotonic() < end_time:
        try:
            await _send_request(client, url, body, times)
        except httpx.HTTPError:
            times.failed += 1


async def _send_request(
    client: httpx.AsyncClient, url: str, body: dict[str, Any], times: StreamTimes
) -> None:
    started = time.monotonic()
    last = 0.0
    completed = False
    headers = {
        "authorization": f"Bearer {WORKSPACE_KEY}",
        "accept": "text/event-stream",
        "x-request-id": "direct",
        "x-stage": "generate",
        "x-attempt-id": "direct",
    }
    async with httpx_sse.aconnect_sse(
        client, "POST", url, json=body, headers=headers
    ) as source:
        async for event in source.aiter_sse():
            if event.event not in ("token", "message") or event.data == "[DONE]":
                completed = event.event == "answer" or event.data == "[DONE]"
                continue
            now = time.monotonic()
            if last:
                times.gaps.append(now - last)
            else:
                times.first_token.append(now - started)
            last = now
            times.events += 1
            times.tokens += 1
    times.completed += completed
    times.failed += not completed
