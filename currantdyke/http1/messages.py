"""Header fields and bodies of HTTP messages."""

from collections.abc import Awaitable, Callable

import anyio
import h11

from currantdyke.http1.connection import ConnectionLostError, Http1Connection

__all__ = [
    "BadRequestError",
    "MessageTooLargeError",
    "header_values",
    "one_value",
    "read_body",
]

# Parts after which other work gets its turn: a body may consist of chunks of a byte.
PARTS_PER_CHECKPOINT = 64


class BadRequestError(Exception):
    """The message is malformed or ambiguous."""


class MessageTooLargeError(Exception):
    """The body exceeds its size limit."""


def header_values(headers, name: bytes) -> list[bytes]:
    """Return all values of a header, whose name is given in lower case."""
    return [value for key, value in headers if key == name]


def one_value(headers, name: bytes) -> bytes | None:
    """Return the value of a header that may occur only once, or None.

    Raises
    ------
    BadRequestError
        If it occurs more than once.
    """
    values = header_values(headers, name)
    if len(values) > 1:
        raise BadRequestError(f"the header {name.decode()} comes more than once")
    return values[0] if values else None


async def read_body(
    connection: Http1Connection,
    max_bytes: int,
    *,
    on_data: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """Read the body of a message.

    Parameters
    ----------
    on_data : callable, optional
        Called with the size in bytes of each part of the body when it arrives; the next
        one is read once it returns.

    Raises
    ------
    MessageTooLargeError
        If the body is longer than ``max_bytes``.
    ConnectionLostError
        If the peer disconnects before the end of the body.
    """
    # A list of parts would take many times the memory of a body in tiny chunks.
    body = bytearray()
    try:
        await _read_parts(connection, body, max_bytes, on_data)
        return bytes(body)
    finally:
        # The frames of a traceback may keep it when the reading is cancelled.
        body.clear()


async def _read_parts(
    connection: Http1Connection,
    body: bytearray,
    max_bytes: int,
    on_data: Callable[[int], Awaitable[None]] | None,
) -> None:
    parts = 0
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.Data):
            parts += 1
            if parts % PARTS_PER_CHECKPOINT == 0:
                await anyio.lowlevel.checkpoint()
            if on_data is not None:
                await on_data(len(event.data))
            if len(body) + len(event.data) > max_bytes:
                raise MessageTooLargeError(f"the body is over {max_bytes} bytes")
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return
        else:
            raise ConnectionLostError("the peer closed the connection within a body")
