"""Emulated endpoints: plain services, stage workers and model engines."""

import itertools
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
import msgspec

from currantdyke.emulator.answers import (
    AnswerPlan,
    Ending,
    Framing,
    plan_sound,
    write_answer,
)
from currantdyke.emulator.http import (
    Handler,
    Reply,
    Request,
    reset_on_close,
    serve_http,
)

__all__ = ["EngineEmulator", "PlainEmulator", "StageEmulator"]

FaultHandler = Callable[[Request, Reply], Awaitable[bool]]


async def inject_no_fault(request: Request, reply: Reply) -> bool:
    """Inject no fault, so that the endpoint handles the request."""
    return False


@attrs.define(kw_only=True, eq=False)
class EndpointEmulator:
    """Base class of the emulated endpoints.

    Attributes
    ----------
    arrivals : list of Request
        Requests in order of arrival.
    runs : list of str
        Attempt ids of the requests whose execution began; for stages, ids of the
        pieces whose execution ended.
    stopped : list of str
        Attempt ids of the requests that were cancelled while they ran, since their
        connection closed or the endpoint was stopped; stages record none.
    handle_first : callable
        Called with each request that passes the check of the expected instance, and
        with its reply. If it returns True, the endpoint does not handle the request.
    plan_answer : callable
        Returns how the answer to a request is written; stages don't use it.
    crash_part : str
        The endpoint crashes when it begins an answer to a prompt with this part,
        anywhere but last; empty for none. Stages don't use it.
    crash_seconds : float
        Time for which an engine writes events of such an answer before it crashes.
    server_limit : str
        The limit on requests per second that its answers name; empty for none.
    says_leaving : bool
        Whether its answers say that it leaves.
    stated_load : str
        Load that all answers state; empty for none.
    retry_after : str
        If not empty, it turns all requests away and asks for a pause of so many
        seconds.
    arrived_at : list of float
        Times of the arrivals, in monotonic seconds.
    places : int or None
        Number of requests that may wait beside those in its slots; others are turned
        away. None for any number, all of which run at once.
    fragile : int
        If not 0, its answers say that it is fragile, and it crashes when it turns more
        requests than this away for want of room within a second.
    in_progress : int
        Requests that run or wait, if its places are limited.
    overload_crashes : list of float
        Times at which it crashed for this reason.
    turned_away : list of (float, str)
        Times at which it turned requests away, and the addresses they came from.
    on_turn_away : callable
        Called with each request that it turns away.
    crashed_on : list of str
        Attempt ids of the requests that crashed it.
    on_crash : callable
        Called at each crash.
    version : str
        Version of its software, which its entry names.
    cold_milliseconds : float
        For how long its entry says that it is cold.
    incarnation, born : int
        Number and start of the current lifetime, in Unix milliseconds.
    cancel_scope : CancelScope
        Stops the endpoint at once when cancelled; one for each call of `run`.
    streams : set
        The open connections.
    """

    instance: str
    service: str
    availability_zone: str = "zone-a"
    host: str = "127.0.0.1"
    port: int = 0
    slots: int = 8
    work_seconds: float = 0.01
    arrivals: list[Request] = attrs.field(factory=list)
    runs: list[str] = attrs.field(factory=list)
    stopped: list[str] = attrs.field(factory=list)
    handle_first: FaultHandler = inject_no_fault
    plan_answer: Callable[[Request], AnswerPlan] = plan_sound
    crash_part: str = ""
    crash_seconds: float = 0.0
    server_limit: str = ""
    says_leaving: bool = False
    stated_load: str = ""
    retry_after: str = ""
    places: int | None = None
    fragile: int = 0
    in_progress: int = 0
    overload_crashes: list[float] = attrs.field(factory=list)
    arrived_at: list[float] = attrs.field(factory=list)
    turned_away: list[tuple[float, str]] = attrs.field(factory=list)
    on_turn_away: Callable[[Request], None] = lambda request: None
    crashed_on: list[str] = attrs.field(factory=list)
    on_crash: Callable[[], None] = lambda: None
    version: str = "v1"
    cold_milliseconds: float = 0
    incarnation: int = 1
    born: int = 1
    streams: set[anyio.abc.SocketStream] = attrs.field(factory=set)
    slot_limiter: anyio.CapacityLimiter = attrs.field(init=False)
    cancel_scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    @property
    def address(self) -> str:
        """Host and port of the endpoint."""
        return f"{self.host}:{self.port}"

    def entry(self, *, state: str = "ready", born: int | None = None) -> dict:
        """Return the endpoint's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.availability_zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": self.cold_milliseconds,
            "sequence": 1,
            "born": self.born if born is None else born,
        }

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled or crashed."""
        handler: Handler = self._handle
        self.slot_limiter = anyio.CapacityLimiter(self.slots)
        self.cancel_scope = anyio.CancelScope()
        with self.cancel_scope:
            async with anyio.create_task_group() as tasks:
                self.port = await tasks.start(
                    serve_http, self.host, self.port, handler, self.streams
                )
                task_status.started()

    def crash(self) -> None:
        """Close the listener, reset all connections and stop all runs."""
        for stream in self.streams:
            reset_on_close(stream)
        self.cancel_scope.cancel()

    def answer_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer by this endpoint, with its signature."""
        return {
            "x-attempt-id": request.attempt_id,
            "x-server-signature": f"signed.{self.instance}",
        } | self.state_headers()

    def state_headers(self) -> dict[str, str]:
        """Return the headers by which all answers state a limit or that it leaves."""
        headers = {"server-limit": self.server_limit} if self.server_limit else {}
        if self.stated_load:
            headers["x-instance-load"] = self.stated_load
        if self.fragile:
            headers["server-brittle"] = str(self.fragile)
        return headers | ({"server-leaving": "1"} if self.says_leaving else {})

    async def _handle(self, request: Request, reply: Reply) -> None:
        if request.path == "/api/report":
            # It needs no slot and is no request of a caller.
            body = msgspec.json.encode({"born": self.born, "busy": False})
            await reply.send_response(200, {}, body)
            return
        self.arrivals.append(request)
        self.arrived_at.append(anyio.current_time())
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.instance:
            headers = {"x-instance-id": self.instance} | self.state_headers()
            await reply.send_response(421, headers)
            return
        if await self.handle_first(request, reply):
            return
        if self.retry_after:
            await self._turn_away(request, reply)
            return
        if self.places is None:
            await self._serve(request, reply)
        else:
            await self._serve_in_slot(request, reply, self.slots + self.places)

    async def _serve_in_slot(self, request: Request, reply: Reply, room: int) -> None:
        """Serve a request once a slot is free, if there is room for it to wait."""
        if self.in_progress >= room:
            await self._turn_away(request, reply)
            self._crash_if_overloaded()
            return
        self.in_progress += 1
        try:
            async with self.slot_limiter:
                await self._serve(request, reply)
        finally:
            self.in_progress -= 1

    def _crash_if_overloaded(self) -> None:
        now = anyio.current_time()
        recent = sum(now - 1.0 < at for at, _ in self.turned_away)
        if self.fragile and recent > self.fragile:
            self.overload_crashes.append(now)
            self.turned_away.clear()
            self.on_crash()
            self.crash()

    async def _turn_away(self, request: Request, reply: Reply) -> None:
        """Answer that the request was not run."""
        self.on_turn_away(request)
        self.turned_away.append((anyio.current_time(), reply.remote_host))
        pause = {"retry-after": self.retry_after} if self.retry_after else {}
        headers = {"x-not-executed": "1"} | pause | self.state_headers()
        await reply.send_response(503, headers)

    async def _serve(self, request: Request, reply: Reply) -> None:
        raise NotImplementedError

    def _is_provoked(self, request: Request) -> bool:
        """Return whether the prompt has the crashing part."""
        return bool(self.crash_part) and self.crash_part in request.prompt_parts[:-1]

    async def _crash_if_provoked(self, request: Request) -> None:
        """Crash if the prompt has the crashing part; called as an answer begins."""
        if self._is_provoked(request):
            self.crashed_on.append(request.attempt_id)
            self.on_crash()
            self.crash()
            await anyio.sleep_forever()


@attrs.define(kw_only=True, eq=False)
class PlainEmulator(EndpointEmulator):
    """Plain endpoint that echoes the request's method, target and body."""

    async def _serve(self, request: Request, reply: Reply) -> None:
        attempt_id = request.attempt_id
        self.runs.append(attempt_id)
        body = f"{request.method} {request.target} ".encode() + request.body
        half = len(body) // 2
        try:
            await anyio.sleep(self.work_seconds)
            await self._crash_if_provoked(request)
            await write_answer(
                reply,
                self.answer_headers(request),
                [body[:half], body[half:]],
                self.plan_answer(request),
                framing=Framing.LENGTH,
            )
        except anyio.get_cancelled_exc_class():
            self.stopped.append(attempt_id)
            raise


@attrs.define(kw_only=True, eq=False)
class EngineEmulator(EndpointEmulator):
    """Model engine that streams numbered events.

    Attributes
    ----------
    events : int
        Number of events in a complete stream.
    break_after : int or None
        Number of events after which the connection is reset, within the next event.
    marks_events : bool
        Whether its events name its version.
    """

    events: int = 5
    event_seconds: float = 0.01
    break_after: int | None = None
    marks_events: bool = False

    async def _serve(self, request: Request, reply: Reply) -> None:
        attempt_id = request.attempt_id
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.runs.append(attempt_id)
        numbers = range(first, self.events + 1)
        headers = {"content-type": "text/event-stream"}
        try:
            await anyio.sleep(self.work_seconds)
            if self.crash_seconds and self._is_provoked(request):
                await self._write_until_crash(request, reply, numbers)
            await self._crash_if_provoked(request)
            await write_answer(
                reply,
                self.answer_headers(request) | headers,
                list(map(self._event, numbers)),
                self._plan(request, first),
                framing=Framing.CHUNKS,
                part_seconds=self.event_seconds,
            )
        except anyio.get_cancelled_exc_class():
            self.stopped.append(attempt_id)
            raise

    async def _write_until_crash(
        self, request: Request, reply: Reply, numbers: range
    ) -> None:
        """Write all events but the last for as long as the engine takes to crash."""
        headers = self.answer_headers(request) | {"content-type": "text/event-stream"}
        await reply.send_head(200, headers)
        for number in numbers[:-1]:
            await reply.send_chunk(self._event(number))
            await anyio.sleep(self.crash_seconds / len(numbers))

    def _event(self, number: int) -> bytes:
        mark = f" {self.version}" if self.marks_events else ""
        return f"id: {number}\ndata: {number}{mark}\n\n".encode()

    def _plan(self, request: Request, first: int) -> AnswerPlan:
        if self.break_after is None:
            return self.plan_answer(request)
        parts = max(0, self.break_after - first + 1)
        return AnswerPlan(break_after=parts, ending=Ending.RESET)


@attrs.define(kw_only=True, eq=False)
class StageEmulator(EndpointEmulator):
    """Stage worker that stores a result for each piece until it is freed.

    Attributes
    ----------
    results : dict of str to dict
        The piece of each stored result, by the result's handle.
    freed : list of str
        Handles of freed results, in order.
    """

    results: dict[str, dict] = attrs.field(factory=dict)
    freed: list[str] = attrs.field(factory=list)
    pieces: list[dict] = attrs.field(factory=list)
    handle_numbers: itertools.count = attrs.field(factory=itertools.count)

    async def _serve(self, request: Request, reply: Reply) -> None:
        document = msgspec.json.decode(request.body)
        headers = {"x-attempt-id": request.attempt_id} | self.state_headers()
        if request.path.endswith("stage-free"):
            self.freed += document["handles"]
            for handle in document["handles"]:
                self.results.pop(handle, None)
            await reply.send_response(200, headers)
            return
        await anyio.sleep(self.work_seconds)
        results = []
        for piece in document["entries"]:
            self.pieces.append(piece)
            self.runs.append(piece["id"])
            handle = f"{self.address}/{self.instance}-{next(self.handle_numbers)}"
            self.results[handle] = piece
            results.append({"handle": handle})
        body = msgspec.json.encode({"entries": results})
        await reply.send_response(200, headers, body)
