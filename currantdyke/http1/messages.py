"""Header fields and bodies of HTTP messages."""

from collections.abc import Awaitable, Callable

import h11

from currantdyke.http1.connection import ConnectionLostError, Http1Connection

__all__ = [
    "BadRequestError",
    "MessageTooLargeError",
    "header_values",
    "one_value",
    "read_body",
]


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
    parts: list[bytes] = []
    size = 0
    while True:
        event = await connection.next_event()
        if isinstance(event, h11.Data):
            size += len(event.data)
            if on_data is not None:
                await on_data(len(event.data))
            if size > max_bytes:
                raise MessageTooLargeError(f"the body is over {max_bytes} bytes")
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise ConnectionLostError("the peer closed the connection within a body")
