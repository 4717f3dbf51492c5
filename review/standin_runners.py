"""Runners: plain services, stages and model runners."""

import asyncio
import dataclasses
import itertools
import json
import secrets
import time
from collections.abc import Awaitable, Callable

from standin_deployment import Record, born_now
from standin_http import Channel, Request, Server, encode_answer

NOT_EXECUTED = {"X-Not-Executed": "1"}


class Runner:
    """What all runners have in common.

    ``runs`` holds the attempt ids of the requests that it began to work on.
    """

    def __init__(
        self,
        record: Record,
        host: str,
        service: str,
        zone: str,
        *,
        slots: int = 1,
        version: str = "v1",
        instance: str = "",
    ):
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.version = version
        self.instance = instance or f"i-{secrets.token_hex(4)}"
        self.server = Server(host, self._handle)
        self.born = born_now()
        self.runs: list[str] = []

    async def start(self) -> None:
        """Listen, at the port that it had before if it had one."""
        self.born = max(self.born + 1, born_now())
        await self.server.start()

    def crash(self) -> None:
        """End as a killed process does."""
        self.server.crash()

    def entry(self, state: str = "ready") -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "born": self.born,
        }

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer, which echo the attempt's id."""
        headers = {"X-Server-Signature": f"sig.{self.instance}"}
        if request.attempt_id:
            headers["X-Attempt-Id"] = request.attempt_id
        return headers

    async def _handle(self, request: Request, channel: Channel) -> None:
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.instance:
            await channel.answer(421, self.headers(request) | NOT_EXECUTED)
            return
        await self.serve(request, channel)

    async def serve(self, request: Request, channel: Channel) -> None:
        """Answer a request that is for this runner."""
        raise NotImplementedError


class PlainRunner(Runner):
    """A runner that works for a moment and answers with what it was sent."""

    work_seconds = 0.02

    async def serve(self, request: Request, channel: Channel) -> None:
        """Run a request."""
        self.runs.append(request.attempt_id)
        self.record.write(
            f"{self.service} {self.instance} runs {request.attempt_id}"
            f" {request.method} {request.target}"
            f" of {request.headers.get('x-tenant', 'no tenant')}"
        )
        await asyncio.sleep(self.work_seconds)
        body = f"{self.service} did {request.attempt_id}\n".encode()
        await channel.answer(200, self.headers(request), body)


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of a piece: whose it is, and until when it is kept."""

    attempt_id: str
    stage: int
    segment: int
    until: float


class Results:
    """The results that all stage runners hold, by handle, and wrong inputs."""

    def __init__(self, record: Record):
        self.record = record
        self.held: dict[str, Result] = {}
        self.numbers = itertools.count(1)
        self.wrong: list[str] = []

    def find(self, handle: str) -> Result | None:
        """Return a result that still exists."""
        result = self.held.get(handle)
        return None if result is None or result.until < time.monotonic() else result

    def check(self, what: str, attempt_id: str, stages: set[int], handles) -> None:
        """Record inputs that a run begins with although they are not its own."""
        found = [self.held[handle] for handle in handles]
        foreign = sorted({r.attempt_id for r in found if r.attempt_id != attempt_id})
        if foreign:
            self._add(f"{what} of {attempt_id} ran with inputs of {', '.join(foreign)}")
        elif {r.stage for r in found} - stages:
            self._add(f"{what} of {attempt_id} ran with inputs of another stage")
        elif len(set(handles)) < len(handles):
            self._add(f"{what} of {attempt_id} ran with one input twice")

    def _add(self, text: str) -> None:
        self.wrong.append(text)
        self.record.write(f"MIXED: {text}")


class StageRunner(Runner):
    """A runner of a service of stages: one call at a time, two may wait."""

    call_seconds = 0.15
    piece_seconds = 0.032
    queue = 2
    ttl_seconds = 4.0

    def __init__(self, results: Results, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        self.results = results
        self.turn = asyncio.Lock()
        self.present = 0
        self.answers = 0
        self.after_answer: Callable[[Channel, bytes], Awaitable[None]] | None = None

    async def serve(self, request: Request, channel: Channel) -> None:
        """Run the pieces of a call, or release results."""
        document = json.loads(request.body)
        if request.path == "/api/stage-free":
            for handle in document["handles"]:
                self.results.held.pop(handle, None)
            await channel.answer(200, self._load())
            return
        if self.present > self.queue:
            await channel.answer(503, self._load() | NOT_EXECUTED)
            return
        self.present += 1
        try:
            async with self.turn:
                if channel.has_left():
                    return
                entries = await self._run(document["entries"])
        finally:
            self.present -= 1
        headers = self._load() | {"Content-Type": "application/json"}
        if request.attempt_id:
            headers["X-Attempt-Id"] = request.attempt_id
        body = json.dumps({"entries": entries}).encode()
        data = encode_answer(200, headers, body)
        await channel.send(data)
        self.answers += 1
        if self.after_answer is not None:
            await self.after_answer(channel, data)

    async def _run(self, pieces: list[dict]) -> list[dict]:
        entries = []
        work = self.call_seconds
        for piece in pieces:
            inputs = piece.get("inputs", [])
            if any(self.results.find(handle) is None for handle in inputs):
                entries.append({"reason": "gone"})
                continue
            work += self.piece_seconds
            name = f"{self.service}: piece {piece['stage']}.{piece['segment']}"
            if inputs:
                stages = set(range(piece["stage"]))
                self.results.check(name, piece["id"], stages, inputs)
            handle = f"{self.server.address}/{secrets.token_hex(6)}"
            self.results.held[handle] = Result(
                attempt_id=piece["id"],
                stage=piece["stage"],
                segment=piece["segment"],
                until=time.monotonic() + work + self.ttl_seconds,
            )
            entries.append({"handle": handle})
        names = ", ".join(f"{p['id']}/{p['stage']}.{p['segment']}" for p in pieces)
        self.record.write(f"{self.service} {self.instance} runs {names}")
        await asyncio.sleep(work)
        return entries

    def _load(self) -> dict[str, str]:
        waiting = max(0, self.present - 1)
        return {"X-Instance-Load": f"{min(1, self.present)},{waiting},{self.slots}"}


class EngineRunner(Runner):
    """A model runner that streams numbered events."""

    first_seconds = 0.05
    event_seconds = 0.03
    events = 10

    def __init__(self, results: Results | None, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        self.results = results
        self.final_stages: dict[str, int] = {}

    async def serve(self, request: Request, channel: Channel) -> None:
        """Fetch the inputs, then stream the events that are still to come."""
        made_of = "no inputs"
        if self.results is not None:
            text = request.headers.get("x-input-count")
            if text is None:
                await channel.answer(400, self.headers(request) | NOT_EXECUTED)
                return
            handles = [handle for handle in text.split(",") if handle]
            found = [self.results.find(handle) for handle in handles]
            if any(result is None for result in found):
                await channel.answer(409, self.headers(request) | NOT_EXECUTED)
                return
            stages = {self.final_stages[request.path]}
            self.results.check("request", request.attempt_id, stages, handles)
            made_of = "+".join(sorted({r.attempt_id for r in found if r is not None}))
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.runs.append(request.attempt_id)
        self.record.write(
            f"{self.service} {self.instance} {self.version} runs"
            f" {request.attempt_id} from event {first}"
        )
        await asyncio.sleep(self.first_seconds)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [f"{name}: {value}" for name, value in self.headers(request).items()]
        head.append("Transfer-Encoding: chunked")
        await channel.send("\r\n".join([*head, "", ""]).encode())
        for number in range(first, self.events + 1):
            if channel.has_left():
                channel.close()
                return
            text = f"id: {number}\ndata: {number} {self.version} {made_of}\n\n"
            data = text.encode()
            await channel.send(b"%x\r\n%s\r\n" % (len(data), data))
            await asyncio.sleep(self.event_seconds)
        await channel.send(b"0\r\n\r\n")
