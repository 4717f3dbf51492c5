import json

from starlette.applications import Starlette
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from currantdyke.stagecalls import TrackedAttempt
from currantdyke.testing.builders import build_attempt

ADDRESS = "encoder-1:1"


def build_chunk(index, *, text=None, finish=None, **changes):
    choice = {"text": f"t{index} " if text is None else text, "finish_reason": finish}
    chunk = {"id": "entry-1.ab.a1", "token_index": index, "choices": [choice]}
    return f"data: {json.dumps(chunk | changes)}\n\n"


def build_stream(count, first=0):
    chunks = [build_chunk(i) for i in range(first, count - 1)]
    return [*chunks, build_chunk(count - 1, finish="stop"), "data: [DONE]\n\n"]


def build_echo_headers(**changes):
    attempt = build_attempt()
    names = ("x-request-id", "x-stage", "x-attempt-id")
    echo = {name: attempt.headers()[name] for name in names}
    return echo | {k.replace("_", "-"): v for k, v in changes.items()}


def build_endpoint(chunks, *, headers=None, status=200, streamed=True):
    async def body():
        for chunk in chunks:
            if callable(chunk):
                await chunk()
            else:
                yield chunk

    async def answer(request):
        echo = build_echo_headers() if headers is None else headers
        if not streamed:
            return Response(chunks, status, echo)
        return StreamingResponse(body(), status, echo, media_type="text/event-stream")

    return Starlette(routes=[Route("/v1/call", answer, methods=["POST"])])


def build_unsettled_attempt(**changes):
    return TrackedAttempt(attempt=build_attempt(**changes))
