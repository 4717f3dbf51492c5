"""HTTP/1.1 over anyio streams, with h11 framing for clients and servers."""

from currantdyke.http1.connection import (
    CONNECTION_ERRORS,
    ConnectionLostError,
    Http1Connection,
    is_reset_unread,
    limit_reading,
    set_socket_options,
)
from currantdyke.http1.messages import (
    BadRequestError,
    MessageTooLargeError,
    header_values,
    one_value,
    read_body,
)

__all__ = [
    "CONNECTION_ERRORS",
    "BadRequestError",
    "ConnectionLostError",
    "Http1Connection",
    "MessageTooLargeError",
    "header_values",
    "is_reset_unread",
    "limit_reading",
    "one_value",
    "read_body",
    "set_socket_options",
]
