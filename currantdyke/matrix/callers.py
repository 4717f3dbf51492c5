"""Callers as they are: they drop off, rejoin and send again."""

from collections.abc import Callable

import anyio
import attrs
import httpx
import httpx_sse
import msgspec

from currantdyke.testing import FleetInMemory

__all__ = ["CallerLog", "send_charge", "read_summary"]

DAEMON = "entry-1"
RETRY_DELAY_SECONDS = 0.3
CALLER_TIMEOUT_SECONDS = 20.0
# A daemon that was killed is back after 4 s, and may be killed twice.
MAX_ATTEMPTS = 40
MID_STREAM_TOKENS = 6


@attrs.define(kw_only=True)
class CallerLog:
    """What one caller was told, over all its tries.

    Attributes
    ----------
    token_texts : list of str
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

    token_texts: list[str] = attrs.field(factory=list)
    request_ids: list[str] = attrs.field(factory=list)
    answers: list[dict] = attrs.field(factory=list)
    errors: list[dict] = attrs.field(factory=list)
    ended: bool = False


async def read_summary(
    fleet: FleetInMemory,
    log: CallerLog,
    report_step: Callable[[str], None],
    disconnect_step: str,
) -> None:
    """Ask for a streamed summary; rejoin where the stream breaks.

    Parameters
    ----------
    fleet : FleetInMemory
        The daemon and its endpoints.
    log : CallerLog
        Takes what the caller is told.
    report_step : callable
        Called at each of the caller's own steps.
    disconnect_step : str
        The mark at which the caller hangs up of its own accord, or empty.
    """
    position = 0
    with anyio.move_on_after(CALLER_TIMEOUT_SECONDS):
        for number in range(MAX_ATTEMPTS):
            report_step("rejoin" if number else "submit")
            method, path = "POST", "/v1/pipelines/notes"
            if log.request_ids:
                method = "GET"
                path = f"/v1/requests/{log.request_ids[-1]}?from={position}"
            try:
                position, ended = await _read_stream(
                    fleet, method, path, position, log, report_step, disconnect_step
                )
            except httpx.HTTPError:
                ended = False
            disconnect_step = ""
            if ended:
                log.ended = True
                return
            await anyio.sleep(RETRY_DELAY_SECONDS)


async def _read_stream(
    fleet: FleetInMemory,
    method: str,
    path: str,
    position: int,
    log: CallerLog,
    report_step: Callable[[str], None],
    disconnect_step: str,
) -> tuple[int, bool]:
    headers = {"accept": "text/event-stream"}
    body = {"input": "flight 12"} if method == "POST" else None
    async with (
        fleet.caller(DAEMON) as client,
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
            if (
                _record_event(event, log, report_step) == disconnect_step
                and disconnect_step
            ):
                return position, False
            if event.event in ("answer", "error"):
                report_step("answered")
                return position, True
    return position, False


def _record_event(
    event: httpx_sse.ServerSentEvent, log: CallerLog, report_step: Callable[[str], None]
) -> str:
    data = msgspec.json.decode(event.data)
    if event.event == "accepted":
        log.request_ids.append(data["request_id"])
        return "accepted"
    if event.event == "token":
        log.token_texts.append(data["text"])
        marks = {1: "first_token", MID_STREAM_TOKENS: "mid_stream"}
        name = marks.get(len(log.token_texts), "")
        if name:
            report_step(name)
        return name
    (log.answers if event.event == "answer" else log.errors).append(data)
    return "final"


async def send_charge(fleet: FleetInMemory, key: str, log: CallerLog) -> None:
    """Send a charge with a key; send it again where it has certainly not run.

    A key counts while its daemon lives, so a broken connection ends the tries.

    Parameters
    ----------
    key : str
        The idempotency key, and the charge's input.
    """
    with anyio.move_on_after(CALLER_TIMEOUT_SECONDS):
        for _ in range(MAX_ATTEMPTS):
            try:
                body = await _post_charge(fleet, key)
            except httpx.ConnectError:
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            except httpx.HTTPError:
                log.ended = True
                return
            log.ended = True
            if body.get("outcome") == "done":
                log.answers.append(body)
                return
            log.errors.append(body)
            if body["error"]["outcome"] != "not_run":
                return
            await anyio.sleep(body["error"].get("retry_after") or RETRY_DELAY_SECONDS)


async def _post_charge(fleet: FleetInMemory, key: str) -> dict:
    async with fleet.caller(DAEMON) as client:
        response = await client.post(
            "/v1/services/entry-desk",
            json={"input": {"charge": key}},
            headers={"idempotency-key": key},
        )
    return response.json()
