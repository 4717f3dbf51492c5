"""A connection between two daemons, with requests, responses and notifications."""

import enum
import itertools
import math
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from currantdyke.http1 import CONNECTION_ERRORS, set_socket_options
from currantdyke.links.codec import (
    MAX_FRAME_BYTES,
    RESPONSE_TYPES,
    ChangesRequest,
    Content,
    Frame,
    Ping,
    Pong,
    Unknown,
    decode_frame,
    encode_frame,
)

__all__ = [
    "Link",
    "LinkLostError",
    "LossReason",
    "PendingRequest",
    "open_link",
    "serve_link",
]

READ_BYTES = 65_536
LENGTH_PREFIX_BYTES = 4
# Frames that are queued for a peer that does not read; beyond that the link breaks.
MAX_QUEUED_FRAMES = 1_000
CONNECT_TIMEOUT_SECONDS = 0.3
# A peer that answers no ping for this long is frozen or unreachable. Half a second is a
# third of the shortest target latency of the requests that wait for it.
SILENCE_TIMEOUT_SECONDS = 0.5
# The same while the link of this VM is full, on which pings wait as well.
CONGESTED_SILENCE_TIMEOUT_SECONDS = 1.5
PING_INTERVAL_SECONDS = 0.15


class LossReason(enum.Enum):
    """Why a response was not received."""

    NO_CONNECTION = "no connection"
    LINK_LOST = "link lost"
    TIME_LIMIT = "time limit"


class LinkLostError(Exception):
    """The peer is gone, frozen or unreachable, or did not respond in time.

    Attributes
    ----------
    peer : str
        Name of the peer.
    reason : LossReason
        Why there is no response.
    received_bytes : int
        Bytes received of the frame that was unfinished then.
    """

    def __init__(self, peer: str, *, reason: LossReason, received_bytes: int = 0):
        super().__init__(f"{peer}: {reason.value}")
        self.peer = peer
        self.reason = reason
        self.received_bytes = received_bytes


@attrs.define(kw_only=True, eq=False)
class Link:
    """Frames over a byte stream.

    Attributes
    ----------
    peer : str
        Name of the peer, for error messages.
    handle_request : callable
        Handles a request of the peer; its result is sent back as the response.
    handle_notification : callable
        Handles a notification of the peer, which has the number 0.
    silent_since : float
        Time from which a silence of the peer counts: when it last sent data, or when
        a request was sent while no other one was pending.
    incoming : bytearray
        The part of an unfinished frame that has been received.
    received_at : float
        Time at which a part of an unfinished frame last arrived, -inf if none has.
    scope : anyio.CancelScope
        Of the running link; cancelled to break it.
    is_congested : callable
        Returns whether the network link of this VM is full.
    is_kept : bool
        Whether it stays open, since it was used for more than to ask for changes.
    """

    peer: str
    stream: anyio.abc.ByteStream
    handle_request: Callable[["Link", Content], Awaitable[Content]]
    handle_notification: Callable[["Link", Content], None]
    pending: dict[int, "PendingRequest"] = attrs.field(factory=dict)
    request_numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    outgoing: list[bytes] = attrs.field(factory=list)
    frames_queued: anyio.Event = attrs.field(factory=anyio.Event)
    silent_since: float = 0.0
    incoming: bytearray = attrs.field(factory=bytearray)
    received_at: float = -math.inf
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    closed: bool = False
    is_kept: bool = False
    is_congested: Callable[[], bool] = lambda: False

    async def request(self, content: Content, *, timeout: float = math.inf) -> Content:
        """Send a request and wait for its response.

        Parameters
        ----------
        timeout : float
            Seconds to wait without progress: while parts of a frame arrive, the limit
            does not run.

        Raises
        ------
        LinkLostError
            If the link breaks first, or the time limit passes.
        """
        request = self.send_request(content)
        try:
            return await self.wait_for_response(request, timeout=timeout)
        finally:
            self.pending.pop(request.number, None)

    def send_request(self, content: Content) -> "PendingRequest":
        """Send a request, which is pending until its response arrives.

        Raises
        ------
        LinkLostError
            If the link is closed.
        """
        if self.closed:
            raise self._lost(LossReason.LINK_LOST)
        now = anyio.current_time()
        request = PendingRequest(number=next(self.request_numbers), sent_at=now)
        self._enqueue(Frame(number=request.number, content=content))
        if not self.pending:
            self.silent_since = now
        self.pending[request.number] = request
        return request

    async def wait_for_response(
        self,
        request: "PendingRequest",
        *,
        timeout: float = math.inf,
        since: float = -math.inf,
    ) -> Content:
        """Wait for the response to a request that was sent on this link.

        Parameters
        ----------
        timeout : float
            As of `request`.
        since : float
            Time in seconds before which the limit does not run either.

        Raises
        ------
        LinkLostError
            As by `request`; after the time limit the request is still pending.
        """
        while not request.done.is_set():
            deadline = max(request.sent_at, self.received_at, since) + timeout
            if anyio.current_time() >= deadline:
                broken = self.closed or self._is_silent()
                raise self._lost(
                    LossReason.LINK_LOST if broken else LossReason.TIME_LIMIT
                )
            with anyio.CancelScope(deadline=deadline):
                await request.done.wait()
        if request.content is None:
            raise self._lost(LossReason.LINK_LOST)
        return request.content

    def notify(self, content: Content) -> None:
        """Send a notification; it is lost if the link breaks."""
        if not self.closed:
            self._enqueue(Frame(number=0, content=content))

    async def run(self) -> None:
        """Send and receive frames until the link breaks."""
        self.silent_since = anyio.current_time()
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._send_frames)
                    tasks.start_soon(self._monitor_peer)
                    await self._receive_frames(tasks)
                    self.scope.cancel()
        finally:
            self.closed = True
            for request in self.pending.values():
                request.done.set()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self.stream)

    def _lost(self, reason: LossReason) -> LinkLostError:
        return LinkLostError(
            self.peer, reason=reason, received_bytes=len(self.incoming)
        )

    def _enqueue(self, frame: Frame, *, compressed: bool = False) -> None:
        if self.closed:
            return
        if len(self.outgoing) >= MAX_QUEUED_FRAMES:
            self.closed = True
            self.scope.cancel()
            return
        data = encode_frame(frame, compressed=compressed)
        self.outgoing.append(len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data)
        self.frames_queued.set()

    async def _send_frames(self) -> None:
        while not self.closed:
            await self.frames_queued.wait()
            self.frames_queued = anyio.Event()
            data = b"".join(self.outgoing)
            self.outgoing.clear()
            try:
                await self.stream.send(data)
            except CONNECTION_ERRORS:
                break
        self.scope.cancel()

    def _is_silent(self) -> bool:
        limit = SILENCE_TIMEOUT_SECONDS
        if self.is_congested():
            limit = CONGESTED_SILENCE_TIMEOUT_SECONDS
        return anyio.current_time() - self.silent_since > limit

    async def _monitor_peer(self) -> None:
        while True:
            await anyio.sleep(PING_INTERVAL_SECONDS)
            if not self.pending:
                continue
            if self._is_silent():
                self.scope.cancel()
                return
            self._enqueue(Frame(number=0, content=Ping()))

    async def _receive_frames(self, tasks: anyio.abc.TaskGroup) -> None:
        buffer = self.incoming
        while True:
            now = self.silent_since = anyio.current_time()
            while len(buffer) >= LENGTH_PREFIX_BYTES:
                end = LENGTH_PREFIX_BYTES + int.from_bytes(
                    buffer[:LENGTH_PREFIX_BYTES], "big"
                )
                if end > MAX_FRAME_BYTES:
                    return
                if len(buffer) < end:
                    break
                decoded = decode_frame(bytes(buffer[LENGTH_PREFIX_BYTES:end]))
                del buffer[:end]
                if decoded.is_error():
                    return
                self._dispatch(decoded.ok, tasks)
            if buffer:
                self.received_at = now
            try:
                buffer += await self.stream.receive(READ_BYTES)
            except CONNECTION_ERRORS:
                return

    def _dispatch(self, frame: Frame, tasks: anyio.abc.TaskGroup) -> None:
        if frame.number == 0:
            if isinstance(frame.content, Ping):
                self._enqueue(Frame(number=0, content=Pong()))
            elif not isinstance(frame.content, Pong):
                self.handle_notification(self, frame.content)
        elif frame.number in self.pending:
            request = self.pending.pop(frame.number)
            request.content = frame.content
            request.done.set()
        elif not isinstance(frame.content, RESPONSE_TYPES):
            tasks.start_soon(self._respond, frame)

    async def _respond(self, frame: Frame) -> None:
        request = frame.content
        content = await self.handle_request(self, request)
        compressed = isinstance(request, ChangesRequest) and request.accepts_compressed
        self._enqueue(
            Frame(number=frame.number, content=content), compressed=compressed
        )


@attrs.define(kw_only=True, eq=False)
class PendingRequest:
    """A request that waits for its response.

    Attributes
    ----------
    done : anyio.Event
        Set when the response has arrived or the link is lost.
    content : Content or None
        The response, if it has arrived.
    """

    number: int
    sent_at: float
    done: anyio.Event = attrs.field(factory=anyio.Event)
    content: Content | None = None


async def reject_request(link: Link, content: Content) -> Content:
    """Respond to a request on a link that this daemon opened.

    Only this daemon may send requests on such a link.
    """
    return Unknown()


async def open_link(
    *,
    peer: str,
    host: str,
    port: int,
    handle_notification: Callable[[Link, Content], None],
    is_congested: Callable[[], bool] = lambda: False,
) -> Link:
    """Connect to a daemon; the caller must run the link.

    Raises
    ------
    LinkLostError
        If the daemon cannot be reached.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise LinkLostError(peer, reason=LossReason.NO_CONNECTION) from error
    set_socket_options(stream)
    return Link(
        peer=peer,
        stream=stream,
        handle_request=reject_request,
        handle_notification=handle_notification,
        is_congested=is_congested,
    )


async def serve_link(
    stream: anyio.abc.SocketStream,
    *,
    received: bytes = b"",
    handle_request: Callable[[Link, Content], Awaitable[Content]],
    handle_notification: Callable[[Link, Content], None],
    on_lost: Callable[[Link], None],
) -> None:
    """Serve a connection from a peer until it breaks.

    Parameters
    ----------
    received : bytes
        What was already read of it.
    """
    set_socket_options(stream)
    remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
    link = Link(
        peer=f"{remote[0]}:{remote[1]}",
        stream=stream,
        handle_request=handle_request,
        handle_notification=handle_notification,
        incoming=bytearray(received),
    )
    try:
        await link.run()
    finally:
        on_lost(link)
