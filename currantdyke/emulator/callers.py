"""Callers that send requests in the platform's format."""

import itertools

import anyio
import anyio.abc
import attrs
import h11

from currantdyke.http1 import ConnectionLostError, Http1Connection

__all__ = ["Caller", "CallerAnswer", "caller_headers"]

ANSWER_TIMEOUT_SECONDS = 10.0
EVENT_END = b"\n\n"


@attrs.frozen(kw_only=True)
class CallerAnswer:
    """An answer as the caller received it.

    Attributes
    ----------
    complete : bool
        Whether the body is complete according to its HTTP framing.
    seconds : float
        From sending the request to the end of the answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    seconds: float = 0.0

    @property
    def signed(self) -> bool:
        """Whether the answer carries an endpoint's signature."""
        return "x-server-signature" in self.headers

    @property
    def attempt_id(self) -> str:
        """The attempt that the answer belongs to; empty if it names none."""
        return self.headers.get("x-attempt-id", "")

    @property
    def has_retry_after(self) -> bool:
        """Whether the answer has a Retry-After header."""
        return "retry-after" in self.headers


def caller_headers(attempt_id: str, *, key: str, streams: bool) -> dict[str, str]:
    """Return request headers; those of a stream ask for a stage with two pieces."""
    headers = {"authorization": f"Token {key}", "x-attempt-id": attempt_id}
    if streams:
        headers |= {
            "x-token-usage": "100,50",
            "x-prefix-hash": "ab:60,cd:40",
            "x-chunk-count": "2",
            "x-chunk-key": "k",
        }
    return headers


def _build_answer(head: h11.Response, body: bytes, complete: bool) -> CallerAnswer:
    headers = {
        key.decode("latin-1"): value.decode("latin-1") for key, value in head.headers
    }
    return CallerAnswer(
        status=head.status_code, headers=headers, body=body, complete=complete
    )


class Caller:
    """Client that sends requests over one connection.

    Parameters
    ----------
    address : str
        The gateway's host and port.
    """

    attempt_numbers = itertools.count(1)

    def __init__(self, *, address: str):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.connection: Http1Connection | None = None

    async def request(
        self,
        method: str,
        target: str,
        *,
        host: str = "one.example",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> CallerAnswer:
        """Send a request and wait for its answer."""
        started = anyio.current_time()
        await self.send(method, target, host=host, body=body, headers=headers)
        answer = await self.answer()
        return attrs.evolve(answer, seconds=anyio.current_time() - started)

    async def send(
        self,
        method: str,
        target: str,
        *,
        host: str = "one.example",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request, with an attempt id and a deadline unless given."""
        connection = await self.connect()
        fields = {
            "x-attempt-id": f"a{next(self.attempt_numbers)}",
            "x-deadline-ms": "3000",
        } | (headers or {})
        await connection.send(
            h11.Request(
                method=method,
                target=target,
                headers=[
                    ("host", host),
                    *fields.items(),
                    ("content-length", str(len(body))),
                ],
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def answer(self) -> CallerAnswer:
        """Read the answer to the request that was sent last."""
        connection = await self.connect()
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            head = await connection.next_event()
            if not isinstance(head, h11.Response):
                raise ConnectionLostError("closed without an answer")
            body = b""
            complete = False
            try:
                while not isinstance(
                    event := await connection.next_event(), h11.EndOfMessage
                ):
                    if not isinstance(event, h11.Data):
                        break
                    body += bytes(event.data)
                else:
                    complete = True
            except (ConnectionLostError, h11.RemoteProtocolError):
                # The connection was lost during the answer.
                complete = False
        if connection.reusable:
            connection.state.start_next_cycle()
        else:
            await self.close()
        return _build_answer(head, body, complete)

    async def first_events(self, count: int) -> CallerAnswer:
        """Read the answer up to a number of events, and close the connection.

        The answer is whole if it ends before, or without an event after the last one.
        """
        connection = await self.connect()
        body = b""
        complete = False
        with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
            head = await connection.next_event()
            if not isinstance(head, h11.Response):
                raise ConnectionLostError("closed without an answer")
            try:
                while body.count(EVENT_END) < count:
                    event = await connection.next_event()
                    if not isinstance(event, h11.Data):
                        complete = isinstance(event, h11.EndOfMessage)
                        break
                    body += bytes(event.data)
            except (ConnectionLostError, h11.RemoteProtocolError):
                # The connection was lost during the answer.
                complete = False
        await self.close()
        return _build_answer(head, body, complete)

    async def raw(self, data: bytes) -> bytes:
        """Send bytes, and return all bytes received until the connection closes."""
        stream = (await self.connect()).stream
        await stream.send(data)
        read = b""
        with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            try:
                while True:
                    read += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        await self.close()
        return read

    async def connect(self) -> Http1Connection:
        """Return the open connection, or open one."""
        if self.connection is None:
            stream = await anyio.connect_tcp(self.host, self.port)
            self.connection = Http1Connection(stream=stream, role=h11.CLIENT)
        return self.connection

    async def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            await self.connection.close()
            self.connection = None
