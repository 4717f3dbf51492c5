"""HTTP server for the readiness page of the platform and the metrics page."""

import functools
from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import h11

from currantdyke.gateway.limit_log import LimitLog
from currantdyke.http1 import ConnectionLostError, Http1Connection, limit_reading

__all__ = ["Page", "serve_pages"]

# Longer than the polling period of the clients, which is up to a few seconds.
IDLE_TIMEOUT_SECONDS = 15.0
# Many times the clients of a page, which are the platform's probes and collectors. With
# another one, the connection that has waited longest for its client is closed, since a
# page is answered at once.
MAX_CONNECTIONS = 16
MAX_HEADER_BYTES = 16_384


@attrs.frozen(kw_only=True)
class Page:
    """Response to a GET request."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain; charset=utf-8"


@attrs.define(kw_only=True, eq=False)
class PageConnections:
    """The open connections of one page server, those waiting longest first."""

    limit_log: LimitLog
    scopes: dict[anyio.CancelScope, None] = attrs.field(factory=dict)

    def add(self, scope: anyio.CancelScope) -> None:
        """Add a connection, and close another one if there are too many."""
        if len(self.scopes) >= MAX_CONNECTIONS:
            oldest = next(iter(self.scopes))
            del self.scopes[oldest]
            oldest.cancel()
            self.limit_log.record("pages")
        self.scopes[scope] = None

    def record_answer(self, scope: anyio.CancelScope) -> None:
        """Move a connection behind the others."""
        if self.scopes.pop(scope, scope) is None:
            self.scopes[scope] = None


async def serve_pages(
    address: str, pages: dict[bytes, Callable[[], Page]], limit_log: LimitLog
) -> None:
    """Serve pages by path until cancelled."""
    connections = PageConnections(limit_log=limit_log)
    host, _, port = address.rpartition(":")
    async with await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    ) as listener:

        async def serve(stream: anyio.abc.SocketStream) -> None:
            limit_reading(stream)
            with anyio.CancelScope() as scope:
                connections.add(scope)
                try:
                    await _serve_connection(
                        stream,
                        pages,
                        functools.partial(connections.record_answer, scope),
                    )
                finally:
                    connections.scopes.pop(scope, None)

        await listener.serve(serve)


async def _serve_connection(
    stream: anyio.abc.SocketStream,
    pages: dict[bytes, Callable[[], Page]],
    on_answer: Callable[[], None],
) -> None:
    connection = Http1Connection(
        stream=stream, role=h11.SERVER, max_header_bytes=MAX_HEADER_BYTES
    )
    try:
        while True:
            with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
                request = await connection.next_event()
                if not isinstance(request, h11.Request):
                    return
                while not isinstance(await connection.next_event(), h11.EndOfMessage):
                    pass
                await _send_page(connection, request, pages)
            on_answer()
            if not connection.reusable:
                return
            connection.state.start_next_cycle()
    except (ConnectionLostError, h11.ProtocolError, TimeoutError):
        # Not logged, since the client polls again.
        return
    finally:
        await connection.close()


async def _send_page(
    connection: Http1Connection,
    request: h11.Request,
    pages: dict[bytes, Callable[[], Page]],
) -> None:
    build_page = pages.get(request.target.partition(b"?")[0])
    page = Page(status=404) if build_page is None else build_page()
    headers = [
        (b"content-type", page.content_type),
        (b"content-length", b"%d" % len(page.body)),
    ]
    body = b"" if request.method == b"HEAD" else page.body
    await connection.send(
        h11.Response(status_code=page.status, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
