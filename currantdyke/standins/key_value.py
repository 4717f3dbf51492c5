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

from currantdyke.store.etcd import decode, encode
from currantdyke.store.port import Entry

__all__ = ["KeyValueFaults", "KeyValueStandIn"]


@attrs.define(kw_only=True)
class KeyValueFaults:
    """Switches that make the service misbehave.

    Attributes
    ----------
    down : bool
        Refuse every call before it takes effect.
    delay : float
        Seconds that each call waits first.
    lose_answers : int
        So many of the next writes take effect and answer with an error.
    lose_writes : int
        So many of the next writes answer with the same error and take no effect.
    break_watches : bool
        End watches at their next event.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    break_watches: bool = False


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

    async def _question(self, request: Request) -> dict[str, Any] | None:
        self.calls += 1
        if self.faults.delay:
            await anyio.sleep(self.faults.delay)
        if self.faults.down:
            return None
        self.lapse()
        return await request.json()

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
        question = await self._question(request)
        if question is None:
            return Response(status_code=503)
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
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
        return {"response_range": self._range_answer(operation["request_range"])}

    async def _grant(self, request: Request) -> Response:
        question = await self._question(request)
        if question is None:
            return Response(status_code=503)
        seconds = float(question["TTL"])
        lease_id = self.next_lease
        self.next_lease += 1
        self.leases[lease_id] = Lease(
            seconds=seconds, expires=anyio.current_time() + seconds
        )
        return JSONResponse({"ID": str(lease_id), "TTL": question["TTL"]})

    async def _keep_alive(self, request: Request) -> Response:
        question = await self._question(request)
        if question is None:
            return Response(status_code=503)
        lease = self.leases.get(int(question["ID"]))
        if lease is None:
            return JSONResponse({"result": {"ID": question["ID"], "TTL": "0"}})
        lease.expires = anyio.current_time() + lease.seconds
        seconds = str(int(lease.seconds))
        return JSONResponse({"result": {"ID": question["ID"], "TTL": seconds}})

    async def _watch(self, request: Request) -> Response:
        question = await self._question(request)
        if question is None:
            return Response(status_code=503)
        return StreamingResponse(self._watched(question["create_request"]))

    async def _watched(self, create: dict[str, Any]):
        start, end = (decode(create[name]).decode() for name in ("key", "range_end"))
        seen = int(create["start_revision"]) - 1
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
                event = {"type": "PUT", "kv": pair_of(entry)}
                yield json.dumps({"result": {"events": [event]}}) + "\n"
                seen = entry.revision
            await changed.wait()


def pair_of(entry: Entry) -> dict[str, str]:
    """Return the gateway's form of an entry."""
    return {
        "key": encode(entry.key),
        "value": encode(entry.value),
        "mod_revision": str(entry.revision),
        "lease": str(entry.lease),
    }
