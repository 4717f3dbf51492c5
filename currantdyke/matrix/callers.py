"""Simulated callers, which disconnect, rejoin and resend."""

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
# A killed daemon restarts after 4 s and may be killed twice.
MAX_ATTEMPTS = 40
MID_STREAM_TOKENS = 6


@attrs.define(kw_only=True)
class CallerLog:
    """The responses that one caller received over all its attempts.

    Attributes
    ----------
    token_texts : list of str
        Tokens in the order of their events, one per event.
    request_ids : list of str
        Request ids that the caller received.
    answers : list of dict
        Final answers with outcome ``done``.
    errors : list of dict
        Typed failures, with the id of the request that failed.
    ended : bool
        Whether the caller finished by itself: with an answer, with a typed failure
        or, for a charge, with a broken connection.
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
    """Request a streamed summary, and rejoin when the stream breaks.

    Parameters
    ----------
    fleet : FleetInMemory
        The daemon and its endpoints.
    log : CallerLog
        Records the responses.
    report_step : callable
        Called with the name of each step that the caller reaches.
    disconnect_step : str
        Step after which the caller closes the connection itself, once; only
        ``first_token`` and ``mid_stream`` of the caller steps in ``STEPS`` have this
        effect. Empty if the caller does not disconnect.
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
    """Send a charge with an idempotency key, and resend it while it has not run.

    A key is valid only until its daemon stops, so a broken connection ends the
    attempts.

    Parameters
    ----------
    key : str
        Idempotency key, which is also the input of the charge.
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
