"""Scripted choices of endpoints and scripted placements."""

import contextlib
from unittest import mock

import anyio

__all__ = [
    "choose_in_order",
    "fail_with",
    "hang_second_attempt",
    "pause_and_break",
    "pause_twice",
    "refuse_after",
    "replace_second_placement",
]


def choose_in_order(order: list[str]):
    """Return a choice of endpoints that takes the first one that is not excluded."""

    def choose(endpoints, *, excluded, **_):
        known = {endpoint.instance: endpoint for endpoint in endpoints}
        return next((known[n] for n in order if n in known and n not in excluded), None)

    return choose


def refuse_after(seconds: float, *, status: int = 503):
    """Return a handler that answers late that the request was not run."""

    async def handle(request, reply):
        await anyio.sleep(seconds)
        await reply.send_response(status, {"x-not-executed": "1"})
        return True

    return handle


def fail_with(status: int):
    """Return a handler that answers with a failure of the request itself."""

    async def handle(request, reply):
        headers = {
            "x-attempt-id": request.attempt_id,
            "x-server-signature": "signed." + request.headers["x-expect-instance"],
        }
        await reply.send_response(status, headers)
        return True

    return handle


@contextlib.contextmanager
def replace_second_placement(client, answer):
    """Return a refusal, or raise an error, as the second placement of a client."""
    place = type(client).place
    calls = []

    async def replaced(self, request):
        calls.append(request)
        if len(calls) != 2:
            return await place(self, request)
        if isinstance(answer, Exception):
            raise answer
        return answer

    with mock.patch.object(type(client), "place", replaced):
        yield calls


def hang_second_attempt(attempt):
    """Return an attempt of which the second call never begins to send."""
    calls = []

    @contextlib.asynccontextmanager
    async def replaced(*arguments, **options):
        calls.append(arguments)
        if len(calls) == 2:
            await anyio.sleep_forever()
        async with attempt(*arguments, **options) as response:
            yield response

    return replaced


def pause_twice(event, seconds: float):
    """Return a handler of a stream of three events with a pause after each."""

    async def handle(request, reply):
        headers = {
            "x-attempt-id": request.attempt_id,
            "x-server-signature": "signed." + request.headers["x-expect-instance"],
            "content-type": "text/event-stream",
        }
        await reply.send_head(200, headers)
        for number in range(1, 4):
            await reply.send_chunk(event(number))
            await anyio.sleep(seconds)
        await reply.send_end()
        return True

    return handle


def pause_and_break(event, seconds: float):
    """Return a handler of a stream that pauses, goes on and is reset then."""

    async def handle(request, reply):
        headers = {
            "x-attempt-id": request.attempt_id,
            "x-server-signature": "signed." + request.headers["x-expect-instance"],
            "content-type": "text/event-stream",
        }
        await reply.send_head(200, headers)
        await reply.send_chunk(event(1))
        await anyio.sleep(seconds)
        await reply.send_chunk(event(2))
        await anyio.sleep(0.1)
        await reply.reset()
        return True

    return handle
