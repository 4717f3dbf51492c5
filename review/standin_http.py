"""A small HTTP/1.1 server and client over asyncio streams."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Awaitable, Callable

HEAD_LIMIT = 262_144


@dataclasses.dataclass
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def attempt_id(self) -> str:
        """The value of X-Attempt-Id, empty without one."""
        return self.headers.get("x-attempt-id", "")


class Channel:
    """The server's side of one channel."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer

    async def read_request(self) -> Request | None:
        """Return the next request, or None at the end of the channel."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = _parse_headers(lines[1:])
        try:
            body = await read_body(self.reader, headers)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return Request(method=method, target=target, headers=headers, body=body)

    async def send(self, data: bytes) -> None:
        """Write bytes and wait until they are taken."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a whole answer with a length."""
        await self.send(encode_answer(status, headers or {}, body))

    def has_left(self) -> bool:
        """Return whether the other side has closed the channel."""
        return self.reader.at_eof() or self.writer.is_closing()

    def close(self) -> None:
        """Close the channel."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the channel."""
        raw = self.writer.get_extra_info("socket")
        if raw is not None and raw.fileno() >= 0:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Handler = Callable[[Request, Channel], Awaitable[None]]


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return headers


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or is in chunks; empty without either."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            part = await read_chunk(reader)
            if not part:
                return body
            body += part
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk; empty for the last one."""
    line = await reader.readuntil(b"\r\n")
    data = await reader.readexactly(int(line.split(b";")[0], 16) + 2)
    return data[:-2]


class Server:
    """Serves requests at an address, and can end as a crashed process would."""

    def __init__(self, host: str, handler: Handler, port: int = 0):
        self.host = host
        self.port = port
        self.handler = handler
        self.channels: set[Channel] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; a port of 0 is replaced by a free one."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=HEAD_LIMIT
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening, reset all channels and end what runs."""
        if self.server is not None:
            self.server.close()
        for channel in list(self.channels):
            channel.reset()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self.channels.add(channel)
        self.tasks.add(task)
        try:
            while True:
                request = await channel.read_request()
                if request is None:
                    return
                await self.handler(request, channel)
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.channels.discard(channel)
            self.tasks.discard(task)
            writer.close()


@dataclasses.dataclass
class Answer:
    """What a requester received; ``status`` is 0 without an answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


class Client:
    """A requester's channel to a gateway, opened anew after it was closed."""

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        timeout: float = 15.0,
    ) -> Answer:
        """Send a request and return what came, also if that is not a whole answer."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                await self._exchange(answer, method, target, headers, body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer.error = type(error).__name__
        if not answer.complete or "close" in answer.headers.get("connection", ""):
            self.close()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def _exchange(
        self,
        answer: Answer,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if self.reader is None or self.writer is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=HEAD_LIMIT
            )
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await self.writer.drain()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        head_lines = head.split("\r\n")
        answer.headers = _parse_headers(head_lines[1:])
        answer.status = int(head_lines[0].split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while part := await read_chunk(self.reader):
                answer.body += part
        else:
            answer.body = await read_body(self.reader, answer.headers)
        answer.complete = True
