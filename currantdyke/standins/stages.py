"""Stand-ins of endpoints: engines, encoders, retrievers, rerankers, services."""

import json

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
        Time between tokens.
    tokens : int
        Tokens of an answer, where the call asks for no fewer.
    refuse : bool
        Refuse each call before running it.
    cut_after : int or None
        Break a stream after so many tokens.
    leaving : bool
        Say in each answer that the endpoint is leaving.
    cross : str or None
        Attempt id to answer with in place of the right one.
    status : int
        Status to answer with.
    """

    name: str
    seconds: float = 0.0
    token_seconds: float = 0.0
    tokens: int = 16
    refuse: bool = False
    cut_after: int | None = None
    leaving: bool = False
    cross: str | None = None
    status: int = 200
    calls: list[StageCall] = attrs.field(factory=list)
    completed: list[str] = attrs.field(factory=list)
    in_flight: int = 0

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers that echo the call's identity."""
        echoed = {n: request.headers.get(n, "") for n in ECHOED_HEADERS}
        if self.cross is not None:
            echoed["x-attempt-id"] = self.cross
        if self.leaving:
            echoed["x-endpoint-leaving"] = "1"
        echoed["x-endpoint-load"] = str(self.in_flight)
        return echoed


def stage_app(standin: StageStandIn) -> Starlette:
    """Return the HTTP face of an endpoint."""

    async def call(request: Request) -> Response:
        body = await request.json()
        headers = standin.headers(request)
        if standin.refuse:
            attempt = request.headers.get("x-attempt-id", "")
            return JSONResponse(
                {"error": "refused before running"},
                status_code=503,
                headers={**headers, "x-not-run": attempt},
            )
        standin.calls.append(
            StageCall(
                request_id=request.headers.get("x-request-id", ""),
                stage=request.headers.get("x-stage", ""),
                attempt_id=request.headers.get("x-attempt-id", ""),
                body=body,
            )
        )
        if standin.status != 200:
            return JSONResponse({"error": "failed"}, standin.status, headers)
        if body.get("stream"):
            return StreamingResponse(
                _completion(standin, request, body),
                headers=headers,
                media_type="text/event-stream",
            )
        return await _whole(standin, request, body, headers)

    return Starlette(
        routes=[
            Route("/v1/call", call, methods=["POST"]),
            Route("/v1/completions", call, methods=["POST"]),
        ]
    )


async def _whole(
    standin: StageStandIn, request: Request, body: dict, headers: dict[str, str]
) -> Response:
    standin.in_flight += 1
    try:
        await anyio.sleep(standin.seconds)
    finally:
        standin.in_flight -= 1
    standin.completed.append(headers["x-attempt-id"])
    output = {"endpoint": standin.name, "of": request.headers.get("x-request-id", "")}
    return JSONResponse({"output": output}, headers=headers)


async def _completion(standin: StageStandIn, request: Request, body: dict):
    attempt = standin.cross or request.headers.get("x-attempt-id", "")
    request_id = request.headers.get("x-request-id", "")
    standin.in_flight += 1
    try:
        await anyio.sleep(standin.seconds)
        count = min(standin.tokens, int(body.get("max_tokens", standin.tokens)))
        for index in range(int(body.get("resume_from", 0)), count):
            if standin.cut_after is not None and index >= standin.cut_after:
                raise ConnectionResetError("stand-in cuts the stream")
            finish = "stop" if index == count - 1 else None
            text = f"{request_id}:{index} "
            choice = {"index": 0, "text": text, "finish_reason": finish}
            chunk = {"id": attempt, "token_index": index, "choices": [choice]}
            yield f"data: {json.dumps(chunk)}\n\n"
            await anyio.sleep(standin.token_seconds)
        yield "data: [DONE]\n\n"
        standin.completed.append(attempt)
    finally:
        standin.in_flight -= 1
