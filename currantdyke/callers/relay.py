"""Pass a rejoin or a cancel on to the daemon that runs the request."""

import contextlib
import urllib.parse
from collections.abc import AsyncIterator, Callable

import anyio
import attrs
import httpx
import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.types import Receive, Scope, Send

from currantdyke.callers.answers import failure_response
from currantdyke.callers.headers import wait_seconds, wants_stream
from currantdyke.core import (
    DaemonIdentity,
    Failure,
    FailureKind,
    Outcome,
    parse_request_id,
)
from currantdyke.requests.exchange import failure_body
from currantdyke.stagecalls.limited import limit_body

__all__ = ["HOP_HEADER", "Relay", "RunningAt"]

HOP_HEADER = "x-relay-hop"
PASSED_ON = ("authorization", "accept", "last-event-id")
PASSED_BACK = ("content-type", "retry-after", "x-request-id", "location")
MAX_OPEN_RELAYS = 500
MAX_WHOLE_BYTES = 16_000_000
RELAYS_RETRY_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_SECONDS = 10.0
WAIT_STEP_SECONDS = 5.0
TIMEOUT = httpx.Timeout(
    IDLE_SECONDS, connect=CONNECT_TIMEOUT_SECONDS, pool=CONNECT_TIMEOUT_SECONDS
)


@attrs.frozen(kw_only=True)
class RunningAt:
    """Where a daemon of some name is reached, and which life of it that is.

    Attributes
    ----------
    incarnation : str
        Empty where it is not known.
    """

    url: str
    incarnation: str = ""


class Relay:
    """Relays to other daemons; each at most one hop.

    Parameters
    ----------
    identity : DaemonIdentity
        This daemon.
    client : httpx.AsyncClient
        The client for daemons.
    find_daemon : callable
        Returns where the daemon of a name runs, or None if it is gone.
    """

    def __init__(
        self,
        *,
        identity: DaemonIdentity,
        client: httpx.AsyncClient,
        find_daemon: Callable[[str], RunningAt | None],
    ):
        self.identity = identity
        self.client = client
        self.find_daemon = find_daemon
        self.open = 0

    async def answer(self, request: Request) -> Response:
        """Answer for a request that is not in this daemon's table."""
        request_id = request.path_params["request_id"]
        parsed = parse_request_id(request_id)
        if parsed.is_error():
            return _failed(parsed.error)
        number = parsed.ok
        mine = (number.daemon, number.incarnation) == (
            self.identity.name,
            self.identity.incarnation,
        )
        if mine:
            detail = f"request {request_id!r:.80} is not known here"
            return _failed(Failure(kind=FailureKind.UNKNOWN_REQUEST, detail=detail))
        found = self._other(number.daemon, request)
        if found is None or found.incarnation not in ("", number.incarnation):
            return _failed(_lost(number.daemon, "is gone or was started anew"))
        if self.open >= MAX_OPEN_RELAYS:
            return _failed(_too_many(self.open))
        url = f"{found.url}/v1/requests/{urllib.parse.quote(request_id, safe='')}"
        if request.method == "GET" and wants_stream(request):
            return await self._streamed(request, url, number.daemon)
        return await self._whole(request, url, number.daemon)

    def _other(self, name: str, request: Request) -> RunningAt | None:
        if name == self.identity.name or HOP_HEADER in request.headers:
            return None
        return self.find_daemon(name)

    async def _whole(self, request: Request, url: str, daemon: str) -> Response:
        waited_until = anyio.current_time() + wait_seconds(request)
        while True:
            rest = max(0.0, waited_until - anyio.current_time())
            step = min(WAIT_STEP_SECONDS, rest)
            with self.counted():
                answer = await self._ask(request, url, daemon, step)
            if answer.status_code != 202 or rest <= WAIT_STEP_SECONDS:
                return answer

    async def _ask(
        self, request: Request, url: str, daemon: str, wait: float
    ) -> Response:
        sent = self._request(request, url)
        sent.headers["prefer"] = f"wait={wait:g}"
        try:
            response = await self.client.send(sent, stream=True)
            try:
                limit_body(response, MAX_WHOLE_BYTES)
                body = await response.aread()
            finally:
                await response.aclose()
        except (httpx.HTTPError, ValueError) as error:
            return _failed(_lost(daemon, f"does not answer ({type(error).__name__})"))
        return Response(body, response.status_code, _headers_back(response))

    async def _streamed(self, request: Request, url: str, daemon: str) -> Response:
        sent = self._request(request, url)
        try:
            response = await self.client.send(sent, stream=True)
        except httpx.HTTPError as error:
            return _failed(_lost(daemon, f"does not answer ({type(error).__name__})"))
        return RelayedStream(relay=self, response=response, daemon=daemon)

    def _request(self, request: Request, url: str) -> httpx.Request:
        passed = {n: request.headers[n] for n in PASSED_ON if n in request.headers}
        return self.client.build_request(
            request.method,
            url,
            params=httpx.QueryParams(request.url.query),
            headers={
                **passed,
                HOP_HEADER: self.identity.name,
                "accept-encoding": "identity",
            },
            timeout=TIMEOUT,
        )

    @contextlib.contextmanager
    def counted(self):
        """Count one relay as open within a block."""
        self.open += 1
        try:
            yield
        finally:
            self.open -= 1


class RelayedStream(StreamingResponse):
    """Events of a request at another daemon; the call there ends with this one."""

    def __init__(self, *, relay: Relay, response: httpx.Response, daemon: str):
        self.relay = relay
        self.relayed = response
        super().__init__(
            _relayed_events(response, daemon),
            response.status_code,
            _headers_back(response),
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the events; close the call also where none was asked for."""
        try:
            with self.relay.counted():
                await super().__call__(scope, receive, send)
        finally:
            with anyio.CancelScope(shield=True):
                await self.relayed.aclose()


async def _relayed_events(
    response: httpx.Response, daemon: str
) -> AsyncIterator[bytes]:
    """Yield whole events only, and a typed one where the stream breaks."""
    rest = b""
    try:
        async for chunk in response.aiter_bytes():
            whole, rest = split_whole_events(rest + chunk)
            if whole:
                yield whole
        error = "ended its stream within an event" if rest else ""
    except httpx.HTTPError as broken:
        error = f"broke off ({type(broken).__name__})"
    if error:
        yield _broken_event(_lost(daemon, error))


def split_whole_events(text: bytes) -> tuple[bytes, bytes]:
    r"""Split server-sent events behind the last whole event or comment.

    Examples
    --------
    >>> split_whole_events(b"id: 1\ndata: 1\n\nid: 2\nda")
    (b'id: 1\ndata: 1\n\n', b'id: 2\nda')
    >>> split_whole_events(b": keep-alive\nid")
    (b': keep-alive\n', b'id')
    """
    position = 0
    while True:
        mark = b"\n" if text.startswith(b":", position) else b"\n\n"
        end = text.find(mark, position)
        if end < 0:
            return text[:position], text[position:]
        position = end + len(mark)


def _headers_back(response: httpx.Response) -> dict[str, str]:
    headers = response.headers
    return {name: headers[name] for name in PASSED_BACK if name in headers}


def _failed(failure: Failure) -> Response:
    return failure_response(attrs.evolve(failure, outcome=Outcome.UNKNOWN))


def _lost(daemon: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.REQUEST_LOST,
        detail=f"the daemon {daemon!r:.80} that ran it {detail}",
        outcome=Outcome.UNKNOWN,
    )


def _too_many(count: int) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        detail=f"{count} requests of other daemons are relayed here",
        retry_after=RELAYS_RETRY_SECONDS,
    )


def _broken_event(failure: Failure) -> bytes:
    """Return an error event without a number: the last real one stays the last."""
    body = msgspec.json.encode(
        {"outcome": failure.outcome.value, "error": failure_body(failure)}
    )
    return b"event: error\ndata: %s\n\n" % body
