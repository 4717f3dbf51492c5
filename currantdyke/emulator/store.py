"""Emulated store of the platform: items with revisions, watches, leases and faults."""

import base64
import collections
import math
import urllib.parse
from collections.abc import Callable

import anyio
import attrs
import msgspec

from currantdyke.emulator.http import Reply, Request, serve_http

__all__ = ["StoreCopy", "StoreEmulator"]

PAGE_ITEMS = 50
# In place of a status, if the connection is to end without an answer.
CUT = 0
# Parts in which a slow store delivers an answer.
PART_BYTES = 10_000


@attrs.frozen(kw_only=True)
class StoreCopy:
    """What the store held at a revision."""

    revision: int
    items: dict[str, dict]
    leases: dict[int, set[str]]


@attrs.define(kw_only=True, eq=False)
class StoreEmulator:
    """An in-memory store served over HTTP.

    Attributes
    ----------
    fault : str
        The injected fault: empty, ``busy`` (503), ``reset`` or ``silent``.
    affected_hosts : set of str
        Addresses of the clients that the fault affects; all clients if empty.
    bytes_per_second : float
        Pace at which each answer is delivered.
    cut_watches_after : float
        Seconds after which a watch that still waits for a change is cut.
    compacted_revision : int
        Changes up to this revision are no longer available to watches.
    era : int
        Raised each time the store returns from a copy; every answer names it.
    name_era : callable
        Returns what answers name as the era; None for no header.
    calls : Counter
        Number of calls by path.
    """

    host: str = "127.0.0.1"
    port: int = 0
    revision: int = 1
    compacted_revision: int = 0
    era: int = 1
    name_era: Callable[[int], str | None] = str
    items: dict[str, dict] = attrs.field(factory=dict)
    history: list[dict] = attrs.field(factory=list)
    leases: dict[int, set[str]] = attrs.field(factory=dict)
    next_lease: int = 1_000
    fault: str = ""
    affected_hosts: set[str] = attrs.field(factory=set)
    bytes_per_second: float = math.inf
    cut_watches_after: float = math.inf
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def address(self) -> str:
        """Host and port of the store."""
        return f"{self.host}:{self.port}"

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.port = await tasks.start(
                serve_http, self.host, self.port, self._handle
            )
            task_status.started()

    def put(self, key: str, document: object, lease: int = 0) -> int:
        """Write an item, as an operator or an endpoint would; return its revision."""
        if not isinstance(document, bytes):
            document = msgspec.json.encode(document)
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(document).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.items[key] = item
        self._record_event(item)
        return self.revision

    def document(self, key: str) -> dict:
        """Return the JSON document of an item; empty if there is none."""
        item = self.items.get(key)
        return (
            {} if item is None else msgspec.json.decode(base64.b64decode(item["value"]))
        )

    def configure(self, document: object) -> None:
        """Write the configuration, as the operators would."""
        self.put("op/config", document)

    def announce(self, instance: str, entry: dict) -> None:
        """Write an endpoint's entry, as the endpoint would."""
        self.put(f"servers/{instance}", entry)

    def withdraw(self, instance: str) -> None:
        """Remove an endpoint's entry."""
        self.remove(f"servers/{instance}")

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "revision": self.revision, "deleted": True})

    def compact(self) -> None:
        """Compact the history, so that watches from earlier revisions get 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        self._notify_watchers()

    def copy(self) -> StoreCopy:
        """Return a copy, from which the store can return later."""
        return StoreCopy(
            revision=self.revision,
            items=dict(self.items),
            leases={lease: set(keys) for lease, keys in self.leases.items()},
        )

    def restore(self, state: StoreCopy) -> None:
        """Return from a copy: what was written since then is gone, leases too.

        Revisions are given out again, and no lease is.
        """
        self.revision = state.revision
        self.items = dict(state.items)
        self.leases = {lease: set(keys) for lease, keys in state.leases.items()}
        self.era += 1
        self.compact()

    def _record_event(self, event: dict) -> None:
        self.history.append(event)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def _handle(self, request: Request, reply: Reply) -> None:
        self.calls[request.path] += 1
        host = reply.remote_host
        if self.fault and (not self.affected_hosts or host in self.affected_hosts):
            await self._serve_fault(reply)
            return
        era = self.era
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition("?")[2], keep_blank_values=True
            )
        )
        status, document = await self._dispatch(request, query)
        if era != self.era or status == CUT:
            # If the store was away meanwhile, its connections are gone.
            await reply.reset()
            return
        body = msgspec.json.encode(document)
        if math.isinf(self.bytes_per_second):
            await reply.send_response(status, self._headers(), body)
        else:
            await self._send_slowly(reply, status, body)

    def _headers(self) -> dict[str, str]:
        name = self.name_era(self.era)
        return {} if name is None else {"Store-Era": name}

    async def _send_slowly(self, reply: Reply, status: int, body: bytes) -> None:
        await reply.send_head(status, self._headers())
        for start in range(0, len(body), PART_BYTES):
            part = body[start : start + PART_BYTES]
            await anyio.sleep(len(part) / self.bytes_per_second)
            await reply.send_chunk(part)
        await reply.send_end()

    async def _serve_fault(self, reply: Reply) -> None:
        if self.fault == "busy":
            await reply.send_response(503, self._headers())
        elif self.fault == "reset":
            await reply.reset()
        else:
            await anyio.sleep_forever()

    async def _dispatch(self, request: Request, query: dict) -> tuple[int, dict]:
        body = msgspec.json.decode(request.body) if request.body else {}
        last = request.path.rpartition("/")[2]
        match request.method, request.path.split("/")[2]:
            case "GET", "kv-range":
                return 200, self._range(query)
            case "GET", "kv-watch":
                return await self._watch(query)
            case "POST", "kv-txn":
                return self._transaction(body)
            case "POST", "kv-lease":
                self.next_lease += 1
                lease = self.next_lease
                self.leases[lease] = set()
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case "POST", "kv-keep":
                known = int(last) in self.leases
                return (200, {"ttl_ms": 1_000}) if known else (404, {})
            case "DELETE", "kv-lease-end":
                self._end_lease(int(last))
                return 200, {}
        return 404, {}

    def _end_lease(self, lease: int) -> None:
        """End a lease, and remove the items that were last written under it."""
        for key in sorted(self.leases.pop(lease, ())):
            if self.items.get(key, {}).get("lease") == lease:
                self.remove(key)

    def _range(self, query: dict) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return {"entries": page, "has_more": has_more, "at": self.revision}

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after = int(query["after"])
        wait = int(query["wait_ms"]) / 1_000
        with anyio.move_on_after(min(wait, self.cut_watches_after)):
            while self.revision == after:
                await self.changed.wait()
        if self.revision == after and wait > self.cut_watches_after:
            return CUT, {}
        if not self.compacted_revision <= after <= self.revision:
            return 410, {}
        events = [event for event in self.history if event["revision"] > after]
        return 200, {"events": events, "at": self.revision}

    def _transaction(self, body: dict) -> tuple[int, dict]:
        expected = body["expected_revision"]
        current = [self.items.get(row["key"], {"revision": 0}) for row in expected]
        if any(
            item["revision"] != row["revision"]
            for item, row in zip(current, expected, strict=True)
        ):
            return 412, {"entries": current}
        for write in body["write"]:
            lease = write.get("lease", 0)
            if lease:
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease].add(write["key"])
            self.put(write["key"], base64.b64decode(write["value"]), lease)
        return 200, {"revision": self.revision}
