"""Stub endpoints: engines, encoders, retrievers, rerankers and plain services."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

__all__ = ["StageCall", "StubEndpoint", "stub_endpoint_app"]

ECHOED_HEADERS = ("x-request-id", "x-stage", "x-attempt-id")


@attrs.frozen(kw_only=True)
class StageCall:
    """A stage call as the endpoint received it, for assertions in tests."""

    request_id: str
    stage: str
    attempt_id: str
    body: dict


@attrs.define(kw_only=True)
class StubEndpoint:
    """Behaviour and recorded calls of one stub endpoint.

    Attributes
    ----------
    seconds : float
        Seconds to the answer, or to the first token.
    token_seconds : float
        Seconds between tokens; ``POST /pace`` changes it, also for open streams.
    tokens : int
        Number of tokens of a streamed answer, unless ``max_tokens`` of the call is
        lower.
    refuse : bool
        Whether to refuse each call before running it.
    abort_after_tokens : int or None
        Number of tokens after which a stream is aborted.
    stall_after_tokens : int or None
        Number of tokens after which a stream stays open but sends nothing more.
    leaving : bool
        Whether to announce in each answer that the endpoint is leaving.
    incarnation : str
        Incarnation of the VM, sent with each answer unless empty.
    answered_attempt_id : str or None
        Attempt id to answer with in place of that of the call.
    status : int
        HTTP status to answer with; all but 200 are sent with an error body.
    stream : callable or None
        Generates a stream in place of the default one.
    answer : callable or None
        Returns the body of a non-streamed answer in place of the default one.
    calls : list of StageCall
        Calls that were not refused, in order of arrival.
    completed, abandoned : list of str
        Ids of attempts answered completely, and of attempts that ended early, such
        as by a disconnect of the caller.
    in_flight : int
        Number of calls in progress.
    """

    name: str
    seconds: float = 0.0
    token_seconds: float = 0.0
    tokens: int = 16
    refuse: bool = False
    abort_after_tokens: int | None = None
    stall_after_tokens: int | None = None
    leaving: bool = False
    incarnation: str = ""
    answered_attempt_id: str | None = None
    status: int = 200
    stream: Callable[[StageCall], AsyncIterator[str | bytes]] | None = None
    answer: Callable[[StageCall], bytes] | None = None
    calls: list[StageCall] = attrs.field(factory=list)
    completed: list[str] = attrs.field(factory=list)
    abandoned: list[str] = attrs.field(factory=list)
    in_flight: int = 0

    def headers(self, request: Request) -> dict[str, str]:
        """Return the response headers: ids of the call and state of the endpoint."""
        echoed = {n: request.headers.get(n, "") for n in ECHOED_HEADERS}
        if self.answered_attempt_id is not None:
            echoed["x-attempt-id"] = self.answered_attempt_id
        if self.leaving:
            echoed["x-endpoint-leaving"] = "1"
        if self.incarnation:
            echoed["x-endpoint-incarnation"] = self.incarnation
        echoed["x-endpoint-load"] = str(self.in_flight)
        return echoed


def stub_endpoint_app(standin: StubEndpoint) -> Starlette:
    """Return the ASGI application of a stub endpoint."""

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
                _track_stream(
                    standin, call, (standin.stream or _default_stream(standin))(call)
                ),
                headers=headers,
                media_type="text/event-stream",
            )
        return await _complete_response(standin, request, call, headers)

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


async def _complete_response(
    standin: StubEndpoint, request: Request, call: StageCall, headers: dict[str, str]
) -> Response:
    standin.in_flight += 1
    completed = False
    try:
        completed = await _sleep_unless_disconnected(standin.seconds, request.receive)
    finally:
        standin.in_flight -= 1
        (standin.completed if completed else standin.abandoned).append(call.attempt_id)
    if standin.answer is not None:
        return Response(standin.answer(call), headers=headers)
    output = {"endpoint": standin.name, "of": call.request_id}
    return JSONResponse({"output": output}, headers=headers)


async def _sleep_unless_disconnected(
    seconds: float, receive: Callable[[], Awaitable[object]]
) -> bool:
    """Sleep; return whether the caller stayed connected throughout."""
    connected = False
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            await receive()
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        await anyio.sleep(seconds)
        connected = True
        tasks.cancel_scope.cancel()
    return connected


async def _track_stream(
    standin: StubEndpoint, call: StageCall, chunks: AsyncIterator[str | bytes]
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


def _default_stream(
    standin: StubEndpoint,
) -> Callable[[StageCall], AsyncIterator[str | bytes]]:
    async def chunks(call: StageCall) -> AsyncIterator[str | bytes]:
        attempt = standin.answered_attempt_id or call.attempt_id
        await anyio.sleep(standin.seconds)
        count = min(standin.tokens, int(call.body.get("max_tokens", standin.tokens)))
        for index in range(int(call.body.get("resume_from", 0)), count):
            if (
                standin.abort_after_tokens is not None
                and index >= standin.abort_after_tokens
            ):
                raise ConnectionResetError("the stub endpoint aborts the stream")
            if (
                standin.stall_after_tokens is not None
                and index >= standin.stall_after_tokens
            ):
                await anyio.sleep_forever()
            finish = "stop" if index == count - 1 else None
            text = f"{call.request_id}:{index} "
            choice = {"index": 0, "text": text, "finish_reason": finish}
            chunk = {"id": attempt, "token_index": index, "choices": [choice]}
            yield f"data: {json.dumps(chunk)}\n\n"
            await anyio.sleep(standin.token_seconds)
        yield "data: [DONE]\n\n"

    return chunks
