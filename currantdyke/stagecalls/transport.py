"""Transport of all stage calls: timeout, hand-off and connection errors."""

from collections.abc import Awaitable, Callable

import anyio
import httpx
import msgspec

from currantdyke.stagecalls.attempt import (
    LEAVING_HEADER,
    Attempt,
    AttemptEnd,
    AttemptReport,
    TrackedAttempt,
    check_answer_headers,
    read_endpoint_state,
    read_load,
)

__all__ = ["call_endpoint"]

CONNECT_TIMEOUT_SECONDS = 1.0
TIMEOUT = httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS)

ReadAnswer = Callable[[httpx.Response], Awaitable[AttemptReport]]


async def call_endpoint(
    client: httpx.AsyncClient, tracked_attempt: TrackedAttempt, read_answer: ReadAnswer
) -> AttemptReport:
    """Send an attempt and read its answer within its timeout.

    Parameters
    ----------
    client : httpx.AsyncClient
        The client, with bounded connection pools.
    tracked_attempt : TrackedAttempt
        The attempt, already registered with its request; its hand-off record stays
        correct if this function is cancelled.
    read_answer : callable
        Reads the body of an answer that echoes the attempt; raises ``ValueError`` if
        it is malformed.

    Returns
    -------
    AttemptReport
        How the attempt ended; faults of an endpoint are reported, never raised.
    """
    attempt, hand_off = tracked_attempt.attempt, tracked_attempt.hand_off
    started = anyio.current_time()
    report = AttemptReport(
        attempt=attempt,
        end=AttemptEnd.TIMED_OUT,
        detail=f"no whole answer in {attempt.seconds:.3f} s",
    )
    with anyio.move_on_after(attempt.seconds):
        report = await _send(client, tracked_attempt, read_answer)
    report.seconds = anyio.current_time() - started
    report.handed = hand_off.handed
    if not hand_off.handed:
        report.end = AttemptEnd.NOT_HANDED
    return report


async def _send(
    client: httpx.AsyncClient, tracked_attempt: TrackedAttempt, read_answer: ReadAnswer
) -> AttemptReport:
    attempt = tracked_attempt.attempt
    try:
        async with client.stream(
            "POST",
            attempt.url + attempt.path,
            content=msgspec.json.encode(attempt.body),
            headers=attempt.headers(),
            extensions=tracked_attempt.hand_off.extensions(),
            timeout=TIMEOUT,
        ) as response:
            tracked_attempt.on_endpoint_state(read_endpoint_state(response))
            return await _read(attempt, response, read_answer)
    except TimeoutError as error:
        return AttemptReport(
            attempt=attempt, end=AttemptEnd.TIMED_OUT, detail=f"{error!s:.200}"
        )
    except (
        httpx.HTTPError,
        httpx.StreamError,
        httpx.InvalidURL,
        OSError,
        ValueError,
    ) as error:
        return AttemptReport(
            attempt=attempt, end=AttemptEnd.CUT, detail=f"{error!r:.200}"
        )


async def _read(
    attempt: Attempt, response: httpx.Response, read_answer: ReadAnswer
) -> AttemptReport:
    unusable = check_answer_headers(attempt, response)
    if unusable is not None:
        return unusable
    encoding = response.headers.get("content-encoding", "identity")
    if encoding != "identity":
        raise ValueError(f"the answer is encoded as {encoding!r:.40}")
    report = await read_answer(response)
    report.leaving = response.headers.get(LEAVING_HEADER) == "1"
    report.load = read_load(response)
    return report
