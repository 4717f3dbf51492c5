"""Endpoints with scripted answers, and requests to them."""

import itertools

import anyio

from currantdyke.emulator import EngineEmulator, PlainEmulator
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    stream_route,
    wait_until,
)

__all__ = [
    "FirstArrival",
    "KEY",
    "STREAM_HEADERS",
    "announce_unreachable",
    "answer_unframed",
    "break_off",
    "deny_retries",
    "event",
    "events",
    "pause_after",
    "plain_configuration",
    "refuse",
    "send_chunks",
    "send_endlessly",
    "signed_head",
    "start_engines",
    "start_plain",
    "stop_in_heads",
    "stream_configuration",
    "stream_unframed",
    "work",
]

KEY = {"authorization": "Token k1"}
STREAM_HEADERS = KEY | {
    "x-token-usage": "100,50",
    "x-prefix-hash": "ab:60,cd:40",
    "x-deadline-ms": "9000",
}


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


def events(first: int, last: int) -> bytes:
    """Return the events from ``first`` to ``last``."""
    return b"".join(map(event, range(first, last + 1)))


def plain_configuration(**changes) -> dict:
    """Return a configuration of one plain route with time to wait."""
    return configuration(1, [plain_route(**({"timeout_ms": 5_000} | changes))])


def stream_configuration(**changes) -> dict:
    """Return a configuration of one resumable stream with time to wait."""
    return configuration(1, [stream_route(**({"timeout_ms": 9_000} | changes))])


def signed_head(request, *lines: bytes, status: bytes = b"200 OK") -> bytes:
    """Return the head of an answer to a request, with its signature."""
    fields = [
        b"HTTP/1.1 " + status,
        b"x-attempt-id: " + request.attempt_id.encode(),
        b"x-server-signature: signed."
        + request.headers["x-expect-instance"].encode("latin-1"),
        *lines,
    ]
    return b"\r\n".join(fields) + b"\r\n\r\n"


async def refuse(request, reply):
    """Answer that the request was not run."""
    await reply.send_response(503, {"x-not-executed": "1"})
    return True


def pause_after(number: int, seconds: float, *, last: int = 5):
    """Return a handler of a stream that is silent for a while after an event."""

    async def handle(request, reply):
        headers = {
            "x-attempt-id": request.attempt_id,
            "x-server-signature": "signed." + request.headers["x-expect-instance"],
            "content-type": "text/event-stream",
        }
        first = int(request.headers.get("last-event-id", "0")) + 1
        if number >= first:
            await reply.send_head(200, headers)
        for current in range(first, last + 1):
            if current == number + 1:
                await anyio.sleep(seconds)
                if number < first:
                    await reply.send_head(200, headers)
            await reply.send_chunk(event(current))
        await reply.send_end()
        return True

    return handle


def stop_in_heads(lines: tuple[bytes, ...], *, resets: bool):
    """Return a handler that stops within the head of its answer, and ends there.

    Each answer stops one byte later than the one before, as far as the last byte.

    Parameters
    ----------
    lines : tuple of bytes
        Lines of the head besides the usual ones.
    resets : bool
        Whether the connection is reset, not closed.
    """
    numbers = itertools.count()

    async def handle(request, reply):
        head = signed_head(request, *lines)
        sent = next(numbers) % len(head)
        if sent:
            await reply.send_raw(head[:sent])
            # A reset may overtake bytes that were not read yet.
            await anyio.sleep(0.005)
        await (reply.reset() if resets else reply.close())
        return True

    return handle


def answer_unframed(body: bytes, *, whole: bool):
    """Return a handler that sends a body that ends with its connection."""

    async def handle(request, reply):
        await reply.send_raw(signed_head(request) + body)
        # A reset may overtake bytes that were not read yet.
        await anyio.sleep(0.05)
        await (reply.close() if whole else reply.reset())

    return handle


def stream_unframed(last: int, *, whole: bool, partial: bytes = b""):
    """Return a handler of a stream that ends with its connection."""

    async def handle(request, reply):
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = signed_head(request, b"content-type: text/event-stream")
        await reply.send_raw(head + events(first, last) + partial)
        await anyio.sleep(0.05)
        await (reply.close() if whole else reply.reset())

    return handle


def send_endlessly(start, piece: bytes):
    """Return a handler that sends bytes until the connection is closed.

    Parameters
    ----------
    start : callable
        Returns the first bytes for a request.
    """

    async def handle(request, reply):
        await reply.send_raw(start(request))
        while True:
            await reply.send_raw(piece)
            await anyio.sleep(0)

    return handle


def send_chunks(chunk: bytes, bytes_per_second: float):
    """Return a handler of a stream that sends chunks until its connection is closed."""
    framed = b"%x\r\n%s\r\n" % (len(chunk), chunk)

    async def handle(request, reply):
        lines = (b"content-type: text/event-stream", b"transfer-encoding: chunked")
        await reply.send_raw(signed_head(request, *lines))
        started = anyio.current_time()
        sent = 0
        while True:
            await anyio.sleep(0.02)
            due = (anyio.current_time() - started) * bytes_per_second / len(chunk)
            count = int(due) - sent
            await reply.send_raw(framed * count)
            sent += count

    return handle


async def start_plain(deployment, *handlers) -> list[PlainEmulator]:
    """Start a plain endpoint for each handler; None is one without faults."""
    return await _start(deployment, PlainEmulator, "plain", handlers)


async def start_engines(deployment, *handlers) -> list[EngineEmulator]:
    """Start an engine for each handler; None is one without faults."""
    return await _start(deployment, EngineEmulator, "engine", handlers)


async def _start(deployment, kind, service, handlers):
    return [
        await deployment.endpoint(
            kind,
            f"{service}-{number}",
            service,
            **({} if handler is None else {"handle_first": handler}),
        )
        for number, handler in enumerate(handlers)
    ]


async def deny_retries(gateway) -> None:
    """Leave no retry in the budgets of a gateway."""
    await wait_until(lambda: gateway.directory.complete)
    gateway.context.set_retry_bounds(ratio=0.0, window=10.0, slack=0.0)


def work(seconds: float):
    """Return a handler of a plain request that answers after some time."""

    async def handle(request, reply):
        await anyio.sleep(seconds)
        await reply.send_raw(signed_head(request, b"content-length: 4") + b"done")
        return True

    return handle


async def break_off(request, reply):
    """Reset the connection instead of answering."""
    await reply.reset()


class FirstArrival:
    """Handles the first request of a deployment in one way and others in another.

    Attributes
    ----------
    arrived : list of str
        Instances that requests reached, in order.
    stopped : list of str
        Instances whose connection was closed while they handled a request.
    """

    def __init__(self, first, other):
        self.first = first
        self.other = other
        self.arrived = []
        self.stopped = []

    async def __call__(self, request, reply):
        """Handle a request."""
        instance = request.headers["x-expect-instance"]
        handle = self.other if self.arrived else self.first
        self.arrived.append(instance)
        if handle is None:
            return False
        try:
            return await handle(request, reply)
        except anyio.get_cancelled_exc_class():
            self.stopped.append(instance)
            raise


def announce_unreachable(deployment, service: str) -> None:
    """Announce an endpoint at whose address nothing listens."""
    endpoint = PlainEmulator(instance=f"{service}-gone", service=service, port=9)
    deployment.store.announce(endpoint.instance, endpoint.entry())
