"""HTTP server for the readiness page of the platform and the metrics page."""

from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import h11

from currantdyke.http1 import ConnectionLostError, Http1Connection

__all__ = ["Page", "serve_pages"]

# Longer than the polling period of the clients, which is up to a few seconds.
IDLE_TIMEOUT_SECONDS = 15.0


@attrs.frozen(kw_only=True)
class Page:
    """Response to a GET request."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain; charset=utf-8"


async def serve_pages(address: str, pages: dict[bytes, Callable[[], Page]]) -> None:
    """Serve pages by path until cancelled."""
    host, _, port = address.rpartition(":")
    async with await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    ) as listener:

        async def serve(stream: anyio.abc.SocketStream) -> None:
            await _serve_connection(stream, pages)

        await listener.serve(serve)


async def _serve_connection(
    stream: anyio.abc.SocketStream, pages: dict[bytes, Callable[[], Page]]
) -> None:
    connection = Http1Connection(stream=stream, role=h11.SERVER)
    try:
        while True:
            with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
                request = await connection.next_event()
                if not isinstance(request, h11.Request):
                    return
                while not isinstance(await connection.next_event(), h11.EndOfMessage):
                    pass
                await _send_page(connection, request, pages)
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
