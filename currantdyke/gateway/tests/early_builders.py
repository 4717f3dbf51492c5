"""Endpoints that answer while a request is still being written."""

import enum

import anyio
import anyio.abc
import attrs

from currantdyke.emulator.endpoints import EndpointEmulator
from currantdyke.emulator.http import reset_on_close
from currantdyke.http1 import CONNECTION_ERRORS

__all__ = ["EarlyEmulator", "Ending"]

HEAD_END = b"\r\n\r\n"


class Ending(enum.Enum):
    """How a connection ends after an early answer.

    ``RESET``: by a reset. ``END_AND_RESET``: the endpoint ends its direction, and then
    resets the connection without having read the request. ``END``: the endpoint ends
    its direction and reads the request to its end. ``KEEP``: the connection stays open
    for further requests, and the endpoint reads this one later.
    """

    RESET = "reset"
    END_AND_RESET = "end and reset"
    END = "end"
    KEEP = "keep"


@attrs.define(kw_only=True, eq=False)
class EarlyEmulator(EndpointEmulator):
    """An endpoint that answers as soon as it has read the head of a request.

    Attributes
    ----------
    head : bytes
        Lines of the head besides the status, the attempt id and the signature.
    part : bytes
        What it sends of the body.
    ending : Ending
        How the connection ends after that.
    seconds : float
        Time after the part until the connection ends.
    """

    head: bytes = b""
    part: bytes = b""
    ending: Ending = Ending.RESET
    seconds: float = 0.02

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=self.host)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            task_status.started()
            await listener.serve(self._serve_connection, tasks)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        try:
            async with stream:
                await self._answer(stream)
        except CONNECTION_ERRORS:
            return

    async def _answer(self, stream: anyio.abc.SocketStream) -> None:
        received = b""
        while HEAD_END not in received:
            received += await stream.receive()
        attempt_id = _header(received, b"x-attempt-id")
        self.runs.append(attempt_id.decode())
        await stream.send(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-server-signature: signed.%s\r\n"
            % (attempt_id, self.instance.encode())
            + self.head
            + b"\r\n"
            + self.part
        )
        await anyio.sleep(self.seconds)
        if self.ending in (Ending.END_AND_RESET, Ending.END):
            await stream.send_eof()
            await anyio.sleep(self.seconds)
        if self.ending in (Ending.END, Ending.KEEP):
            await _read_to_end(stream)
        else:
            reset_on_close(stream)


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


async def _read_to_end(stream: anyio.abc.SocketStream) -> None:
    while True:
        await stream.receive()
