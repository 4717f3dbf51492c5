"""Ask an endpoint which of its lifetimes it is in."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import h11

from currantdyke.catalog import Endpoint
from currantdyke.http1 import (
    CONNECTION_ERRORS,
    ConnectionLostError,
    Http1Connection,
    MessageTooLargeError,
    read_body,
)
from currantdyke.platform.answers import decode_lifetime
from currantdyke.platform.requests import lifetime_request

__all__ = ["read_lifetime"]

# The answer needs no slot of the endpoint.
TIMEOUT_SECONDS = 0.5
MAX_ANSWER_BYTES = 65_536


async def read_lifetime(
    connect: Callable[[Endpoint], Awaitable[anyio.abc.ByteStream]], endpoint: Endpoint
) -> int | None:
    """Return the start of the lifetime that an endpoint states, in Unix milliseconds.

    None if it states none in time.
    """
    with anyio.move_on_after(TIMEOUT_SECONDS):
        try:
            stream = await connect(endpoint)
        except (TimeoutError, OSError):
            return None
        connection = Http1Connection(stream=stream, role=h11.CLIENT)
        try:
            return await _ask(connection, endpoint)
        except (
            *CONNECTION_ERRORS,
            ConnectionLostError,
            MessageTooLargeError,
            h11.RemoteProtocolError,
        ):
            return None
        finally:
            await connection.close()
    return None


async def _ask(connection: Http1Connection, endpoint: Endpoint) -> int | None:
    request = lifetime_request(endpoint.address)
    await connection.send(request, h11.EndOfMessage())
    response = await connection.next_event()
    if not isinstance(response, h11.Response) or response.status_code != 200:
        return None
    return decode_lifetime(await read_body(connection, MAX_ANSWER_BYTES))
