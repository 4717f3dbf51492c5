"""An in-memory network: ASGI applications behind an httpx transport.

Request and response bodies are streamed: each chunk of a response arrives when the
application sends it, and closing the response disconnects the application.
"""

import math
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.abc
import attrs
import httpx

__all__ = ["LinkFaults", "MemoryNetwork"]

SEND_STARTED_EVENT = "http11.send_request_headers.started"


@attrs.define(kw_only=True)
class LinkFaults:
    """Faults of the network path to one address.

    Attributes
    ----------
    refuse : bool
        Connections are refused.
    silent : bool
        Calls reach the application, but no answer is returned.
    unreachable : bool
        Connection attempts get no reply, and end with their timeout if they have one.
    delay : float
        Latency in each direction, in seconds.
    lose_answer : bool
        The application answers, but the connection breaks before the answer arrives.
    cut_after_bytes : float
        Bytes of an answer's body after which the connection breaks.
    """

    refuse: bool = False
    silent: bool = False
    unreachable: bool = False
    delay: float = 0.0
    lose_answer: bool = False
    cut_after_bytes: float = math.inf


class MemoryNetwork(httpx.AsyncBaseTransport):
    """Transport that connects httpx clients with applications by ``host:port``.

    Parameters
    ----------
    tasks : TaskGroup
        Runs the applications.
    """

    def __init__(self, *, tasks: anyio.abc.TaskGroup):
        self.tasks = tasks
        self.apps: dict[str, Callable[..., Any]] = {}
        self.faults: dict[str, LinkFaults] = {}
        self.calls = 0
        self.active_calls: dict[str, set[_Call]] = {}

    def attach(self, address: str, app: Callable[..., Any]) -> str:
        """Serve an application at an address; return its base URL."""
        self.apps[address] = app
        return f"http://{address}"

    def detach(self, address: str) -> None:
        """Remove an application, so that its address refuses connections."""
        self.apps.pop(address, None)

    def kill(self, address: str) -> None:
        """Remove an application and break its open calls."""
        self.detach(address)
        for call in list(self.active_calls.get(address, ())):
            call.abort()

    async def can_connect(self, url: str) -> bool | None:
        """Return whether a URL accepts connections; None if it is unreachable."""
        address = httpx.URL(url).netloc.decode()
        faults = self.faults_at(address)
        if faults.unreachable:
            return None
        return address in self.apps and not faults.refuse

    def faults_at(self, address: str) -> LinkFaults:
        """Return the modifiable faults of the path to an address."""
        return self.faults.setdefault(address, LinkFaults())

    def client(self, **options: Any) -> httpx.AsyncClient:
        """Return a client on this network."""
        return httpx.AsyncClient(transport=self, timeout=None, **options)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Pass a request to its application and return the start of the answer."""
        address = request.url.netloc.decode()
        faults = self.faults_at(address)
        await self._connect(request, address, faults)
        self.calls += 1
        trace = request.extensions.get("trace")
        if trace is not None:
            await trace(SEND_STARTED_EVENT, {})
        await anyio.sleep(faults.delay)
        call = _Call(request=request, faults=faults)
        app = self.apps.get(address)
        if app is None:
            raise httpx.ReadError("connection reset", request=request)
        self.active_calls.setdefault(address, set()).add(call)
        self.tasks.start_soon(self._run, call, address, app)
        try:
            return await call.response()
        except BaseException:
            call.scope.cancel()
            raise

    async def _run(self, call: "_Call", address: str, app: Callable[..., Any]) -> None:
        try:
            await call.run(app)
        finally:
            self.active_calls[address].discard(call)

    async def _connect(
        self, request: httpx.Request, address: str, faults: LinkFaults
    ) -> None:
        if faults.unreachable:
            limit = request.extensions.get("timeout", {}).get("connect") or math.inf
            await anyio.sleep(limit)
            raise httpx.ConnectTimeout("timed out", request=request)
        if faults.refuse or address not in self.apps:
            raise httpx.ConnectError("connection refused", request=request)


class _Call:
    """An open call, with its application side and its client side."""

    def __init__(self, *, request: httpx.Request, faults: LinkFaults):
        assert isinstance(request.stream, httpx.AsyncByteStream)
        self.request = request
        self.body = request.stream.__aiter__()
        self.faults = faults
        self.scope = anyio.CancelScope()
        self.disconnected = anyio.Event()
        self.body_read = False
        self.send_stream, self.receive_stream = anyio.create_memory_object_stream[
            dict[str, Any]
        ](math.inf)

    async def run(self, app: Callable[..., Any]) -> None:
        """Run the application for this call."""
        with self.send_stream:
            try:
                with self.scope:
                    await app(self._scope(), self._receive, self._send)
            except Exception:
                return

    async def response(self) -> httpx.Response:
        """Wait for the status and headers of the answer."""
        if self.faults.silent:
            await anyio.sleep_forever()
        message = await self._next_message()
        await anyio.sleep(self.faults.delay)
        if message is None or self.faults.lose_answer:
            raise httpx.ReadError("connection reset", request=self.request)
        return httpx.Response(
            message["status"],
            headers=message.get("headers", []),
            stream=_Body(call=self),
            request=self.request,
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer's body; raise ``httpx.ReadError`` on a broken connection."""
        received_bytes = 0
        while True:
            message = await self._next_message()
            if message is None:
                raise httpx.ReadError("connection reset", request=self.request)
            chunk = message.get("body", b"")
            received_bytes += len(chunk)
            if received_bytes > self.faults.cut_after_bytes:
                self.close()
                raise httpx.ReadError("connection cut", request=self.request)
            if chunk:
                yield chunk
            if not message.get("more_body", False):
                return

    def abort(self) -> None:
        """Cancel the application and break the client's connection."""
        self.scope.cancel()
        self.send_stream.close()

    def close(self) -> None:
        """Disconnect the client and cancel the application."""
        self.disconnected.set()
        self.scope.cancel()

    async def _next_message(self) -> dict[str, Any] | None:
        try:
            return await self.receive_stream.receive()
        except anyio.EndOfStream:
            return None

    async def _receive(self) -> dict[str, Any]:
        if not self.body_read:
            chunk = await anext(self.body, None)
            self.body_read = chunk is None
            more = chunk is not None
            return {"type": "http.request", "body": chunk or b"", "more_body": more}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        await self.send_stream.send(message)

    def _scope(self) -> dict[str, Any]:
        url = self.request.url
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": self.request.method,
            "headers": [(k.lower(), v) for k, v in self.request.headers.raw],
            "scheme": url.scheme,
            "path": url.path,
            "raw_path": url.raw_path,
            "query_string": url.query,
            "server": (url.host, url.port or 80),
            "client": ("127.0.0.1", 1),
            "root_path": "",
            "extensions": {},
        }


@attrs.define(kw_only=True)
class _Body(httpx.AsyncByteStream):
    call: _Call

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self.call.chunks():
            yield chunk

    async def aclose(self) -> None:
        self.call.close()
