"""Stand-ins of endpoints: engines, encoders, retrievers, rerankers, services."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

__all__ = ["StageCall", "StageStandIn", "stage_app"]

ECHOED_HEADERS = ("x-request-id", "x-stage", "x-attempt-id")


@attrs.frozen(kw_only=True)
class StageCall:
    """A call as the endpoint saw it; tests judge by these."""

    request_id: str
    stage: str
    attempt_id: str
    body: dict


@attrs.define(kw_only=True)
class StageStandIn:
    """One endpoint: how it behaves and what it saw.

    Attributes
    ----------
    seconds : float
        Time to answer, or to the first token.
    token_seconds : float
        Time between tokens; ``POST /pace`` changes it for streams under way too.
    tokens : int
        Tokens of an answer, where the call asks for no fewer.
    refuse : bool
        Refuse each call before running it.
    cut_after : int or None
        Break a stream after so many tokens.
    silent_after : int or None
        Send nothing more after so many tokens, and keep the stream open.
    leaving : bool
        Say in each answer that the endpoint is leaving.
    incarnation : str
        This life of the VM, told in each answer unless empty.
    cross : str or None
        Attempt id to answer with in place of the right one.
    status : int
        Status to answer with.
    stream : callable or None
        Sends a stream of its own making in place of the usual one.
    answer : callable or None
        Makes the body of a whole answer in place of the usual one.
    calls : list of StageCall
        What came, in order.
    completed, abandoned : list of str
        Attempts answered whole, and those whose caller hung up before.
    """

    name: str
    seconds: float = 0.0
    token_seconds: float = 0.0
    tokens: int = 16
    refuse: bool = False
    cut_after: int | None = None
    silent_after: int | None = None
    leaving: bool = False
    incarnation: str = ""
    cross: str | None = None
    status: int = 200
    stream: Callable[[StageCall], AsyncIterator[str | bytes]] | None = None
    answer: Callable[[StageCall], bytes] | None = None
    calls: list[StageCall] = attrs.field(factory=list)
    completed: list[str] = attrs.field(factory=list)
    abandoned: list[str] = attrs.field(factory=list)
    in_flight: int = 0

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers that echo the call's identity."""
        echoed = {n: request.headers.get(n, "") for n in ECHOED_HEADERS}
        if self.cross is not None:
            echoed["x-attempt-id"] = self.cross
        if self.leaving:
            echoed["x-endpoint-leaving"] = "1"
        if self.incarnation:
            echoed["x-endpoint-incarnation"] = self.incarnation
        echoed["x-endpoint-load"] = str(self.in_flight)
        return echoed


def stage_app(standin: StageStandIn) -> Starlette:
    """Return the HTTP face of an endpoint."""

    async def handle(request: Request) -> Response:
        body = await request.json()
        headers = standin.headers(request)
        call = StageCall(
            request_id=request.headers.get("x-request-id", ""),
            stage=request.headers.get("x-stage", ""),
            attempt_id=request.headers.get("x-attempt-id", ""),
            body=body,
        )
        if standin.refuse:
            return JSONResponse(
                {"error": "refused before running"},
                status_code=503,
                headers={**headers, "x-not-run": call.attempt_id},
            )
        standin.calls.append(call)
        if standin.status != 200:
            return JSONResponse({"error": "failed"}, standin.status, headers)
        if body.get("stream"):
            return StreamingResponse(
                _watched(standin, call, (standin.stream or _completion(standin))(call)),
                headers=headers,
                media_type="text/event-stream",
            )
        return await _whole(standin, request, call, headers)

    async def pace(request: Request) -> Response:
        standin.token_seconds = float((await request.json())["token_seconds"])
        return JSONResponse({"token_seconds": standin.token_seconds})

    return Starlette(
        routes=[
            Route("/pace", pace, methods=["POST"]),
            Route("/v1/call", handle, methods=["POST"]),
            Route("/v1/completions", handle, methods=["POST"]),
        ]
    )


async def _whole(
    standin: StageStandIn, request: Request, call: StageCall, headers: dict[str, str]
) -> Response:
    standin.in_flight += 1
    answered = False
    try:
        answered = await _sleep_unless_gone(standin.seconds, request.receive)
    finally:
        standin.in_flight -= 1
        (standin.completed if answered else standin.abandoned).append(call.attempt_id)
    if standin.answer is not None:
        return Response(standin.answer(call), headers=headers)
    output = {"endpoint": standin.name, "of": call.request_id}
    return JSONResponse({"output": output}, headers=headers)


async def _sleep_unless_gone(
    seconds: float, receive: Callable[[], Awaitable[object]]
) -> bool:
    """Sleep, and return whether the caller stayed all the while."""
    stayed = False
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            await receive()
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        await anyio.sleep(seconds)
        stayed = True
        tasks.cancel_scope.cancel()
    return stayed


async def _watched(
    standin: StageStandIn, call: StageCall, chunks: AsyncIterator[str | bytes]
) -> AsyncIterator[str | bytes]:
    standin.in_flight += 1
    completed = False
    try:
        async for chunk in chunks:
            yield chunk
        completed = True
    finally:
        standin.in_flight -= 1
        (standin.completed if completed else standin.abandoned).append(call.attempt_id)


def _completion(
    standin: StageStandIn,
) -> Callable[[StageCall], AsyncIterator[str | bytes]]:
    async def chunks(call: StageCall) -> AsyncIterator[str | bytes]:
        attempt = standin.cross or call.attempt_id
        await anyio.sleep(standin.seconds)
        count = min(standin.tokens, int(call.body.get("max_tokens", standin.tokens)))
        for index in range(int(call.body.get("resume_from", 0)), count):
            if standin.cut_after is not None and index >= standin.cut_after:
                raise ConnectionResetError("stand-in cuts the stream")
            if standin.silent_after is not None and index >= standin.silent_after:
                await anyio.sleep_forever()
            finish = "stop" if index == count - 1 else None
            text = f"{call.request_id}:{index} "
            choice = {"index": 0, "text": text, "finish_reason": finish}
            chunk = {"id": attempt, "token_index": index, "choices": [choice]}
            yield f"data: {json.dumps(chunk)}\n\n"
            await anyio.sleep(standin.token_seconds)
        yield "data: [DONE]\n\n"

    return chunks
