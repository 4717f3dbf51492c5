"""The platform's store: items with revisions, watches, leases, and its troubles."""

import base64
import collections
import urllib.parse

import anyio
import attrs
import msgspec

from currantdyke.emulator.http import Reply, Request, serve_http

__all__ = ["StoreEmulator"]

PAGE_ITEMS = 50


@attrs.define(kw_only=True, eq=False)
class StoreEmulator:
    """An in-memory store.

    Attributes
    ----------
    trouble : str
        Empty, ``busy`` (503), ``reset`` or ``silent``.
    refused_hosts : set of str
        Callers' addresses that alone have the trouble; all of them if empty.
    oldest : int
        Changes up to this revision are forgotten.
    """

    host: str = "127.0.0.1"
    port: int = 0
    revision: int = 1
    oldest: int = 0
    items: dict[str, dict] = attrs.field(factory=dict)
    history: list[dict] = attrs.field(factory=list)
    leases: dict[int, set[str]] = attrs.field(factory=dict)
    trouble: str = ""
    refused_hosts: set[str] = attrs.field(factory=set)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def address(self) -> str:
        """Where the store is reached."""
        return f"{self.host}:{self.port}"

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.port = await tasks.start(
                serve_http, self.host, self.port, self._handle
            )
            task_status.started()

    def put(self, key: str, document: object, lease: int = 0) -> int:
        """Write an item as the operator or an endpoint would."""
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
        self._note(item)
        return self.revision

    def configure(self, document: object) -> None:
        """Write the configuration as the operators would."""
        self.put("op/config", document)

    def announce(self, instance: str, entry: dict) -> None:
        """Write an endpoint's entry as it would itself."""
        self.put(f"servers/{instance}", entry)

    def withdraw(self, instance: str) -> None:
        """Remove an endpoint's entry."""
        self.remove(f"servers/{instance}")

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def forget_history(self) -> None:
        """Drop all changes, so that watches have to list anew."""
        self.oldest = self.revision
        self.history.clear()
        self._wake()

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def _handle(self, request: Request, reply: Reply) -> None:
        self.calls[request.path] += 1
        stream = reply.connection.stream
        host = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
        if self.trouble and (not self.refused_hosts or host in self.refused_hosts):
            await self._misbehave(reply)
            return
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition("?")[2], keep_blank_values=True
            )
        )
        status, document = await self._answer(request, query)
        await reply.whole(status, {}, msgspec.json.encode(document))

    async def _misbehave(self, reply: Reply) -> None:
        if self.trouble == "busy":
            await reply.whole(503)
        elif self.trouble == "reset":
            await reply.reset()
        else:
            await anyio.sleep_forever()

    async def _answer(self, request: Request, query: dict) -> tuple[int, dict]:
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
                lease = 1_000 + len(self.leases)
                self.leases[lease] = set()
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case "POST", "kv-keep":
                known = int(last) in self.leases
                return (200, {"ttl_ms": 1_000}) if known else (404, {})
            case "DELETE", "kv-lease-end":
                for key in sorted(self.leases.pop(int(last), ())):
                    self.remove(key)
                return 200, {}
        return 404, {}

    def _range(self, query: dict) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"entries": page, "has_more": more, "at": self.revision}

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after = int(query["after"])
        with anyio.move_on_after(int(query["wait_ms"]) / 1_000):
            while self.revision <= after:
                await self.changed.wait()
        if after < self.oldest:
            return 410, {}
        events = [event for event in self.history if event["revision"] > after]
        return 200, {"events": events, "at": self.revision}

    def _transaction(self, body: dict) -> tuple[int, dict]:
        for write in body["write"]:
            lease = write.get("lease", 0)
            if lease:
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease].add(write["key"])
            self.put(write["key"], base64.b64decode(write["value"]), lease)
        return 200, {"revision": self.revision}
