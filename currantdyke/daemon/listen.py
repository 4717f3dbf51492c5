"""Listening sockets and the HTTP server that uses them."""

import socket
from collections.abc import Callable
from typing import Any

import anyio
import attrs
import hypercorn.asyncio
import sniffio
from hypercorn.config import Config

__all__ = ["Listener", "open_listener", "serve_http"]

BACKLOG_CONNECTIONS = 1024
CLOSE_TIMEOUT_SECONDS = 3.0
IDLE_TIMEOUT_SECONDS = 60.0
MAX_HEADER_BYTES = 32_768


@attrs.frozen(kw_only=True)
class Listener:
    """A listening socket with its address and port."""

    socket: socket.socket
    address: str
    port: int

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}:{self.port}"


def open_listener(address: str, port: int) -> Listener:
    """Open a listening TCP socket; port 0 selects any free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(BACKLOG_CONNECTIONS)
    sock.setblocking(False)
    return Listener(socket=sock, address=address, port=sock.getsockname()[1])


async def serve_http(
    app: Callable[..., Any],
    listener: Listener,
    stop: anyio.Event,
    *,
    flush_seconds: Callable[[], float] = lambda: 0.0,
) -> None:
    """Serve an ASGI application on a listener until ``stop`` is set.

    Parameters
    ----------
    flush_seconds : callable
        Called once ``stop`` is set; returns how many seconds, in addition to
        `CLOSE_TIMEOUT_SECONDS`, responses may take before they are cut off.
    """

    async def wait_stop() -> None:
        await stop.wait()
        config.graceful_timeout = CLOSE_TIMEOUT_SECONDS + flush_seconds()

    config = Config()
    config.bind = [f"fd://{listener.socket.fileno()}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = CLOSE_TIMEOUT_SECONDS
    config.keep_alive_timeout = IDLE_TIMEOUT_SECONDS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    await _hypercorn_serve()(app, config, shutdown_trigger=wait_stop)


def _hypercorn_serve() -> Callable[..., Any]:
    if sniffio.current_async_library() == "trio":
        # Imported lazily to save memory: daemons in production run on asyncio.
        from hypercorn import trio as hypercorn_trio

        return hypercorn_trio.serve
    return hypercorn.asyncio.serve
