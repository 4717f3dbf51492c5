"""The frames at the beginning of a tunnel."""

import anyio
import anyio.abc

from currantdyke.http1 import CONNECTION_ERRORS, set_socket_options
from currantdyke.links.codec import Frame, decode_frame, encode_frame
from currantdyke.platform.records import DaemonEntry
from currantdyke.tunnels.messages import (
    TUNNEL_PREFIX,
    TunnelAnswer,
    TunnelRequest,
    TunnelResult,
)
from currantdyke.tunnels.server import TunnelServer
from currantdyke.tunnels.stream import LENGTH_BYTES, TunnelStream

__all__ = ["open_tunnel", "serve_tunnel"]

# Both frames have some tens of bytes.
MAX_FRAME_BYTES = 4_096
REQUEST_TIMEOUT_SECONDS = 1.0


async def open_tunnel(
    daemon: DaemonEntry, request: TunnelRequest, *, port: int
) -> tuple[TunnelResult, TunnelStream]:
    """Ask a daemon for a tunnel.

    Raises
    ------
    OSError, anyio.BrokenResourceError, anyio.EndOfStream
        If the daemon does not answer.
    """
    stream = await anyio.connect_tcp(daemon.ip, port)
    try:
        set_socket_options(stream)
        await stream.send(TUNNEL_PREFIX + _encode(request))
        content, rest = await _read_frame(stream, b"")
        if not isinstance(content, TunnelAnswer):
            raise anyio.BrokenResourceError
    except BaseException:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
        raise
    tunnel = TunnelStream(stream=stream, peer_ip=daemon.ip, buffer=bytearray(rest))
    return content.result, tunnel


async def serve_tunnel(
    stream: anyio.abc.SocketStream, received: bytes, *, server: TunnelServer
) -> None:
    """Serve a connection after its prefix."""
    set_socket_options(stream)
    try:
        with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
            content, _ = await _read_frame(stream, received)
        if isinstance(content, TunnelRequest):
            await server.serve(stream, content, _encode_answer)
    except (*CONNECTION_ERRORS, TimeoutError):
        # The daemon that asked has closed it, and knows why.
        return
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


def _encode(content: TunnelRequest | TunnelAnswer) -> bytes:
    data = encode_frame(Frame(number=0, content=content))
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def _encode_answer(result: TunnelResult) -> bytes:
    return _encode(TunnelAnswer(result=result))


async def _read_frame(
    stream: anyio.abc.ByteStream, received: bytes
) -> tuple[object, bytes]:
    """Read one frame; return its content, and what follows it."""
    data = received
    while len(data) < LENGTH_BYTES:
        data += await stream.receive()
    end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")
    if end > MAX_FRAME_BYTES:
        raise anyio.BrokenResourceError
    while len(data) < end:
        data += await stream.receive()
    decoded = decode_frame(data[LENGTH_BYTES:end])
    if decoded.is_error():
        raise anyio.BrokenResourceError
    return decoded.ok.content, data[end:]
