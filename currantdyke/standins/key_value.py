"""A stand-in of the platform's key-value service, with its faults.

It speaks the part of the etcd v3 JSON gateway that the adapter uses.
"""

import json
from typing import Any

import anyio
import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from currantdyke.standins.key_value_faults import (
    KeyValueFaults,
    LateWrite,
    Window,
)
from currantdyke.store.etcd import decode, encode
from currantdyke.store.port import Entry

__all__ = ["KeyValueStandIn"]


@attrs.define(kw_only=True)
class Lease:
    """A lease: its length and the time at which it lapses."""

    seconds: float
    expires: float


class KeyValueStandIn:
    """The state of the service and its HTTP face."""

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.history: list[Entry] = []
        self.revision = 0
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1
        self.faults = KeyValueFaults()
        self.calls = 0
        self.writes = 0
        self.refused = 0
        self.waiting_watches = 0
        self.late: list[LateWrite] = []
        self.read_window = Window()
        self.write_window = Window()
        self.changed = anyio.Event()

    def app(self) -> Starlette:
        """Return the HTTP face."""
        return Starlette(
            routes=[
                Route("/v3/kv/range", self._range, methods=["POST"]),
                Route("/v3/kv/txn", self._txn, methods=["POST"]),
                Route("/v3/lease/grant", self._grant, methods=["POST"]),
                Route("/v3/lease/keepalive", self._keep_alive, methods=["POST"]),
                Route("/v3/watch", self._watch, methods=["POST"]),
            ]
        )

    def lapse(self) -> None:
        """Drop lapsed leases and the keys that hang on them."""
        now = anyio.current_time()
        lapsed = {i for i, lease in self.leases.items() if lease.expires <= now}
        for lease_id in lapsed:
            del self.leases[lease_id]
        for key in [k for k, e in self.entries.items() if e.lease in lapsed]:
            del self.entries[key]
            self.revision += 1

    def put(self, key: str, value: bytes, lease: int = 0) -> Entry:
        """Write an entry and wake the watches."""
        self.revision += 1
        self.writes += 1
        entry = Entry(key=key, value=value, revision=self.revision, lease=lease)
        self.entries[key] = entry
        self.history.append(entry)
        self.changed.set()
        self.changed = anyio.Event()
        return entry

    def arrive_late(self) -> None:
        """Let the late writes that are due take effect."""
        now = anyio.current_time()
        due = [write for write in self.late if write.due <= now]
        self.late = [write for write in self.late if write.due > now]
        for write in due:
            self._txn_answer(write.question)

    async def _question(
        self, request: Request, writes: bool = False
    ) -> dict[str, Any] | None:
        self.calls += 1
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        if self.faults.down:
            return None
        if not self._within_rate(writes):
            self.refused += 1
            return None
        self.lapse()
        self.arrive_late()
        return await request.json()

    def _within_rate(self, writes: bool) -> bool:
        if writes:
            return self.write_window.admits(self.faults.writes_per_second)
        left = self.faults.reads_per_second - self.waiting_watches
        return self.read_window.admits(left)

    async def _range(self, request: Request) -> Response:
        question = await self._question(request)
        if question is None:
            return Response(status_code=503)
        return JSONResponse(self._range_answer(question))

    def _range_answer(self, question: dict[str, Any]) -> dict[str, Any]:
        key = decode(question["key"]).decode()
        if "range_end" in question:
            end = decode(question["range_end"]).decode()
            found = [e for k, e in sorted(self.entries.items()) if key <= k < end]
        else:
            found = [self.entries[key]] if key in self.entries else []
        header = {"revision": str(self.revision)}
        return {"header": header, "kvs": [pair_of(entry) for entry in found]}

    async def _txn(self, request: Request) -> Response:
        question = await self._question(request, writes=True)
        if question is None:
            return Response(status_code=503)
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            return Response(status_code=504)
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            due = anyio.current_time() + self.faults.late_by
            self.late.append(LateWrite(due=due, question=question))
            return Response(status_code=504)
        answer = self._txn_answer(question)
        if answer["succeeded"] and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Response(status_code=504)
        return JSONResponse(answer)

    def _txn_answer(self, question: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(map(self._holds, question["compare"]))
        branch = question["success" if succeeded else "failure"]
        responses = [self._operate(operation) for operation in branch]
        return {
            "header": {"revision": str(self.revision)},
            "succeeded": succeeded,
            "responses": responses,
        }

    def _holds(self, compare: dict[str, Any]) -> bool:
        entry = self.entries.get(decode(compare["key"]).decode())
        return int(compare["mod_revision"]) == (entry.revision if entry else 0)

    def _operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            put = operation["request_put"]
            self.put(
                decode(put["key"]).decode(),
                decode(put["value"]),
                int(put.get("lease", 0)),
            )
            return {"response_put": {}}
        if "request_delete_range" in operation:
            deleted = decode(operation["request_delete_range"]["key"]).decode()
            self.entries.pop(deleted, None)
            self.revision += 1
            self.writes += 1
            return {"response_delete_range": {}}
        return {"response_range": self._range_answer(operation["request_range"])}

    async def _grant(self, request: Request) -> Response:
        question = await self._question(request, writes=True)
        if question is None:
            return Response(status_code=503)
        seconds = float(question["TTL"])
        lease_id = self.next_lease
        self.next_lease += 1
        self.leases[lease_id] = Lease(seconds=seconds, expires=self._lapses_at(seconds))
        return JSONResponse({"ID": str(lease_id), "TTL": question["TTL"]})

    async def _keep_alive(self, request: Request) -> Response:
        question = await self._question(request, writes=True)
        if question is None:
            return Response(status_code=503)
        lease = self.leases.get(int(question["ID"]))
        if lease is None:
            return JSONResponse({"result": {"ID": question["ID"], "TTL": "0"}})
        lease.expires = self._lapses_at(lease.seconds)
        seconds = str(int(lease.seconds))
        return JSONResponse({"result": {"ID": question["ID"], "TTL": seconds}})

    def _lapses_at(self, seconds: float) -> float:
        return anyio.current_time() + seconds * self.faults.lease_stretch

    async def _watch(self, request: Request) -> Response:
        question = await self._question(request)
        if question is None:
            return Response(status_code=503)
        return StreamingResponse(self._watched(question["create_request"]))

    async def _watched(self, create: dict[str, Any]):
        start, end = (decode(create[name]).decode() for name in ("key", "range_end"))
        seen = int(create["start_revision"]) - 1
        self.waiting_watches += 1
        try:
            async for line in self._events(start, end, seen):
                yield line
        finally:
            self.waiting_watches -= 1

    async def _events(self, start: str, end: str, seen: int):
        yield json.dumps({"result": {"created": True}}) + "\n"
        while not self.faults.down:
            changed = self.changed
            fresh = [
                entry
                for entry in self.history
                if entry.revision > seen and start <= entry.key < end
            ]
            if fresh and self.faults.break_watches:
                return
            for entry in fresh:
                seen = entry.revision
                if self.faults.skip_events > 0:
                    self.faults.skip_events -= 1
                    continue
                event = {"type": "PUT", "kv": pair_of(entry)}
                yield json.dumps({"result": {"events": [event]}}) + "\n"
            await changed.wait()


def pair_of(entry: Entry) -> dict[str, str]:
    """Return the gateway's form of an entry."""
    return {
        "key": encode(entry.key),
        "value": encode(entry.value),
        "mod_revision": str(entry.revision),
        "lease": str(entry.lease),
    }
