"""Build daemons and their links for tests."""

import contextlib
import math
import os
import random

import anyio

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import ChangeSet, Directory
from currantdyke.links import ChangesRequest, Frame, Peers, Unknown
from currantdyke.links.codec import decode_frame, encode_frame
from currantdyke.links.link import Link
from currantdyke.platform.records import DaemonEntry
from currantdyke.platform.store import Change
from currantdyke.testing.gateways import wait_until

__all__ = [
    "PORT",
    "build_changes",
    "build_entry",
    "build_peers",
    "memory_pair",
    "run_daemons",
    "run_linked",
    "serve_slowly",
]

PORT = 17_741
CHUNK_BYTES = 4_096
LENGTH_PREFIX_BYTES = 4


def build_entry(number, incarnation="first"):
    return DaemonEntry(
        name=f"entry-{number}",
        ip=f"127.77.{os.getpid() % 250}.{number}",
        availability_zone="a",
        incarnation=incarnation,
    )


async def answer(link, content):
    return Unknown()


def build_peers(number, known=(), handle_request=answer):
    log = DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY))
    directory = Directory(log=log)
    directory.daemons = {entry.name: entry for entry in known}
    return Peers(
        own=build_entry(number),
        port=PORT,
        seed_ips=(),
        directory=directory,
        log=log,
        handle_request=handle_request,
        handle_notification=lambda link, content: None,
        on_link_lost=lambda link: None,
    )


@contextlib.asynccontextmanager
async def run_daemons(*daemons):
    """Run daemons from the moment at which all of them accept links."""
    async with anyio.create_task_group() as tasks:
        for daemon in daemons:
            tasks.start_soon(daemon.run)
        await wait_until(lambda: all(daemon.tasks for daemon in daemons))
        yield
        tasks.cancel_scope.cancel()


def build_changes(*, value_bytes, revision=2):
    """Return a change of one item whose value cannot be compressed."""
    value = random.Random(1).randbytes(value_bytes)
    change = Change(key="k", value=value, revision=revision)
    return ChangeSet(changes=(change,), revision=revision)


def serve_slowly(changes, *, seconds, pieces, requests):
    """Return a handler of connections that sends changes in evenly spaced pieces.

    Requests for changes are appended to ``requests``; pings are not answered.
    """

    async def send_changes(stream, number):
        data = encode_frame(Frame(number=number, content=changes))
        data = len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            await stream.send(data[start : start + size])
            await anyio.sleep(seconds / pieces)

    async def serve(stream):
        async with anyio.create_task_group() as tasks:
            async for frame in read_frames(stream):
                if isinstance(frame.content, ChangesRequest):
                    requests.append(frame.content)
                    tasks.start_soon(send_changes, stream, frame.number)
            tasks.cancel_scope.cancel()

    return serve


async def read_frames(stream):
    """Yield the frames that arrive on a stream until it ends."""
    buffer = b""
    async for data in stream:
        buffer += data
        while len(buffer) >= LENGTH_PREFIX_BYTES:
            end = LENGTH_PREFIX_BYTES + int.from_bytes(
                buffer[:LENGTH_PREFIX_BYTES], "big"
            )
            if len(buffer) < end:
                break
            yield decode_frame(buffer[LENGTH_PREFIX_BYTES:end]).ok
            buffer = buffer[end:]


async def run_linked(
    answer,
    scenario,
    *,
    handle_notification=lambda link, content: None,
    bytes_per_second=math.inf,
):
    """Run a scenario with two links that are connected in memory."""
    near, far = memory_pair(bytes_per_second)
    asking = Link(
        peer="far",
        stream=near,
        handle_request=answer,
        handle_notification=handle_notification,
    )
    answering = Link(
        peer="near",
        stream=far,
        handle_request=answer,
        handle_notification=handle_notification,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(asking.run)
        tasks.start_soon(answering.run)
        try:
            return await scenario(asking, answering)
        finally:
            tasks.cancel_scope.cancel()


def memory_pair(bytes_per_second=math.inf):
    """Return the two ends of a connection in memory that sends at a limited rate."""
    send_a, receive_a = anyio.create_memory_object_stream(1_000)
    send_b, receive_b = anyio.create_memory_object_stream(1_000)
    return (
        MemoryStream(send_a, receive_b, bytes_per_second),
        MemoryStream(send_b, receive_a, bytes_per_second),
    )


class MemoryStream:
    def __init__(self, sending, receiving, bytes_per_second):
        self.sending, self.receiving = sending, receiving
        self.bytes_per_second = bytes_per_second

    async def send(self, data):
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            await anyio.sleep(len(chunk) / self.bytes_per_second)
            await self.sending.send(chunk)

    async def receive(self, max_bytes=65_536):
        return await self.receiving.receive()

    async def aclose(self):
        self.sending.close()
        self.receiving.close()
