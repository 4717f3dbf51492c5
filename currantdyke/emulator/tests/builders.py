"""Builders of emulated endpoints and requests."""

import contextlib
from collections.abc import AsyncIterator

import anyio

from currantdyke.emulator import (
    AnswerPlan,
    Caller,
    CallerAnswer,
    EngineEmulator,
    PlainEmulator,
)
from currantdyke.emulator.endpoints import EndpointEmulator

__all__ = ["STREAM", "prompt_headers", "request_once", "running_endpoint"]

STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))


def prompt_headers(*parts: str) -> dict[str, str]:
    """Return the headers of a request with a prompt of these parts."""
    return {"x-prefix-hash": ",".join(f"{part}:10" for part in parts)}


@contextlib.asynccontextmanager
async def running_endpoint(
    kind: type, plan: AnswerPlan
) -> AsyncIterator[EndpointEmulator]:
    """Run an endpoint that writes all answers as planned."""
    service = {PlainEmulator: "plain", EngineEmulator: "engine"}[kind]
    endpoint: EndpointEmulator = kind(
        instance="i-1", service=service, plan_answer=lambda request: plan
    )
    async with anyio.create_task_group() as tasks:
        await tasks.start(endpoint.run)
        yield endpoint
        tasks.cancel_scope.cancel()


async def request_once(kind: type, plan: AnswerPlan) -> CallerAnswer:
    """Return the answer of an endpoint to one request."""
    async with running_endpoint(kind, plan) as endpoint:
        caller = Caller(address=endpoint.address)
        answer = await caller.request("POST", "/x", body=b"body")
        await caller.close()
        return answer
