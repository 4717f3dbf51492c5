"""Callers as they are: they drop off, rejoin and send again elsewhere."""

from collections.abc import Callable

import anyio
import attrs
import httpx
import httpx_sse
import msgspec

from currantdyke.testing import FleetInMemory

__all__ = ["CallerLog", "charge_once", "read_summary"]

DAEMONS = ("entry-1", "entry-2")
REJOIN_AFTER_SECONDS = 0.3
PATIENCE_SECONDS = 20.0
TRIES = 4
MID_STREAM_TOKENS = 6


@attrs.define(kw_only=True)
class CallerLog:
    """What one caller was told, over all its tries.

    Attributes
    ----------
    texts : list of str
        Tokens in the order of their events, each event once.
    request_ids : list of str
        The ids that it was given.
    answers : list of dict
        Final answers with outcome ``done``.
    errors : list of dict
        Typed failures, with the id of the request that failed.
    ended : bool
        Whether its last try ended with an answer or a typed failure.
    """

    texts: list[str] = attrs.field(factory=list)
    request_ids: list[str] = attrs.field(factory=list)
    answers: list[dict] = attrs.field(factory=list)
    errors: list[dict] = attrs.field(factory=list)
    ended: bool = False


async def read_summary(
    fleet: FleetInMemory, log: CallerLog, mark: Callable[[str], None], goes: str
) -> None:
    """Ask for a streamed summary; rejoin where the stream breaks.

    Parameters
    ----------
    fleet : FleetInMemory
        The fleet; the first try goes to ``entry-1``.
    log : CallerLog
        Takes what the caller is told.
    mark : callable
        Called at each of the caller's own steps.
    goes : str
        The mark at which the caller hangs up of its own accord, or empty.
    """
    position = 0
    with anyio.move_on_after(PATIENCE_SECONDS):
        for number in range(TRIES):
            mark("rejoin" if number else "submit")
            daemon = DAEMONS[number % 2]
            method, path = "POST", "/v1/pipelines/notes"
            if log.request_ids:
                method = "GET"
                path = f"/v1/requests/{log.request_ids[-1]}?from={position}"
            try:
                position, ended = await _read(
                    fleet, daemon, method, path, position, log, mark, goes
                )
            except httpx.HTTPError:
                ended = False
            goes = ""
            if ended:
                log.ended = True
                return
            await anyio.sleep(REJOIN_AFTER_SECONDS)


async def _read(
    fleet: FleetInMemory,
    daemon: str,
    method: str,
    path: str,
    position: int,
    log: CallerLog,
    mark: Callable[[str], None],
    goes: str,
) -> tuple[int, bool]:
    headers = {"accept": "text/event-stream"}
    body = {"input": "flight 12"} if method == "POST" else None
    async with (
        fleet.caller(daemon) as client,
        httpx_sse.aconnect_sse(
            client, method, path, json=body, headers=headers
        ) as source,
    ):
        if source.response.status_code != 200:
            await source.response.aread()
            log.errors.append(source.response.json())
            return position, True
        async for event in source.aiter_sse():
            if int(event.id) != position:
                raise AssertionError(f"event {event.id} came, not {position}")
            position += 1
            if _take(event, log, mark) == goes and goes:
                return position, False
            if event.event in ("answer", "error"):
                mark("answered")
                return position, True
    return position, False


def _take(
    event: httpx_sse.ServerSentEvent, log: CallerLog, mark: Callable[[str], None]
) -> str:
    data = msgspec.json.decode(event.data)
    if event.event == "accepted":
        log.request_ids.append(data["request_id"])
        return "accepted"
    if event.event == "token":
        log.texts.append(data["text"])
        marks = {1: "first_token", MID_STREAM_TOKENS: "mid_stream"}
        name = marks.get(len(log.texts), "")
        if name:
            mark(name)
        return name
    (log.answers if event.event == "answer" else log.errors).append(data)
    return "final"


async def charge_once(
    fleet: FleetInMemory, key: str, log: CallerLog, first: int
) -> None:
    """Send a charge with a key; send it again elsewhere until it has an answer.

    Parameters
    ----------
    key : str
        The idempotency key, and the charge's input.
    first : int
        Which daemon gets the first try.
    """
    with anyio.move_on_after(PATIENCE_SECONDS):
        for number in range(TRIES):
            daemon = DAEMONS[(first + number) % 2]
            try:
                async with fleet.caller(daemon) as client:
                    response = await client.post(
                        "/v1/services/entry-desk",
                        json={"input": {"charge": key}},
                        headers={"idempotency-key": key},
                    )
            except httpx.HTTPError:
                await anyio.sleep(REJOIN_AFTER_SECONDS)
                continue
            body = response.json()
            if body.get("outcome") == "done":
                log.answers.append(body)
                log.ended = True
                return
            log.errors.append(body)
            log.ended = True
            if body["error"]["outcome"] != "not_run":
                return
            await anyio.sleep(body["error"].get("retry_after") or REJOIN_AFTER_SECONDS)
