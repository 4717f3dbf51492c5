"""The part that all stage calls share: time limit, hand-off and broken peers."""

from collections.abc import Awaitable, Callable

import anyio
import httpx

from currantdyke.stagecalls.attempt import (
    LEAVING_HEADER,
    Attempt,
    AttemptEnd,
    AttemptReport,
    HandOff,
    check_answer_headers,
)

__all__ = ["exchange_call"]

CONNECT_TIMEOUT_SECONDS = 1.0
TIMEOUT = httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS)

ReadAnswer = Callable[[httpx.Response], Awaitable[AttemptReport]]


async def exchange_call(
    client: httpx.AsyncClient, attempt: Attempt, read_answer: ReadAnswer
) -> AttemptReport:
    """Send an attempt and read its answer within its time.

    Parameters
    ----------
    client : httpx.AsyncClient
        The client with its bounded pool.
    attempt : Attempt
        What to send.
    read_answer : callable
        Reads the body of an answer that echoes the attempt; raises
        ``ValueError`` on garbage.

    Returns
    -------
    AttemptReport
        How it ended; never raises for what an endpoint does.
    """
    hand_off = HandOff()
    started = anyio.current_time()
    report = AttemptReport(attempt=attempt, end=AttemptEnd.TIMED_OUT)
    with anyio.move_on_after(attempt.seconds):
        report = await _send(client, attempt, hand_off, read_answer)
    report.seconds = anyio.current_time() - started
    report.handed = hand_off.handed
    if not hand_off.handed:
        report.end = AttemptEnd.NOT_HANDED
    return report


async def _send(
    client: httpx.AsyncClient,
    attempt: Attempt,
    hand_off: HandOff,
    read_answer: ReadAnswer,
) -> AttemptReport:
    try:
        async with client.stream(
            "POST",
            attempt.url + attempt.path,
            json=attempt.body,
            headers=attempt.headers(),
            extensions=hand_off.extensions(),
            timeout=TIMEOUT,
        ) as response:
            unusable = check_answer_headers(attempt, response)
            if unusable is not None:
                return unusable
            report = await read_answer(response)
            report.leaving = response.headers.get(LEAVING_HEADER) == "1"
            return report
    except (httpx.HTTPError, httpx.StreamError, ValueError) as error:
        return AttemptReport(
            attempt=attempt, end=AttemptEnd.CUT, detail=f"{error!r:.200}"
        )
