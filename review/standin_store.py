"""The platform's metadata store, as PROTOCOL.md and the news pages describe it."""

import asyncio
import base64
import copy
import json
import time
import urllib.parse
from collections.abc import Callable

from standin_http import Channel, Request, Server

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500


class Store:
    """Items with revisions, watches and leases, in memory.

    ``away`` resets all channels. ``era`` is the value of the header Store-Era.
    ``lose`` returns after how many seconds a writing call is done whose answer is
    lost, or None for a call that is done and answered at once.
    """

    def __init__(self, host: str):
        self.server = Server(host, self._handle)
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.oldest = 0
        self.revision = 100
        self.era = 1
        self.away = False
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.calls = 0
        self.lose: Callable[[Request], float | None] = lambda request: None

    async def run_leases(self) -> None:
        """Remove the items of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            ended = [lease for lease, (end, _) in self.leases.items() if end < now]
            for lease in ended:
                self._end_lease(lease)

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write an item; return its revision, as the acknowledgement would."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._add_event(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._add_event(event)

    def copy(self) -> tuple[dict, int, dict]:
        """Return a copy of the state, from which the store may come back."""
        return copy.deepcopy((self.items, self.revision, self.leases))

    def restore(self, state: tuple[dict, int, dict]) -> None:
        """Come back from an older copy: what was written since is gone, leases too.

        The leases of the copy run anew, and no number of a lease is given twice.
        """
        self.items, self.revision, leases = copy.deepcopy(state)
        now = time.monotonic()
        self.leases = {
            lease: (now + seconds, seconds) for lease, (_, seconds) in leases.items()
        }
        self.history.clear()
        self.oldest = self.revision
        self.era += 1

    def go_away(self) -> None:
        """Reset all channels, and new ones until ``come_back``."""
        self.away = True
        for channel in list(self.server.channels):
            channel.reset()

    def come_back(self) -> None:
        """Serve again."""
        self.away = False

    def _add_event(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    async def _handle(self, request: Request, channel: Channel) -> None:
        self.calls += 1
        if self.away:
            channel.reset()
            return
        await asyncio.sleep(ANSWER_SECONDS)
        late = self.lose(request) if request.path == "/api/kv-txn" else None
        if late is not None:
            body = json.loads(request.body)
            asyncio.get_running_loop().call_later(late, self._transaction, body)
            # A channel on which an answer is lost returns nothing further.
            while await channel.reader.read(65_536):
                pass
            channel.close()
            return
        status, document = await self._dispatch(request)
        if self.away:
            channel.reset()
            return
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        await channel.answer(status, headers, json.dumps(document).encode())

    async def _dispatch(self, request: Request) -> tuple[int, dict]:
        query = dict(
            urllib.parse.parse_qsl(
                request.target.partition("?")[2], keep_blank_values=True
            )
        )
        body = json.loads(request.body) if request.body else {}
        last = request.path.rpartition("/")[2]
        match request.method, request.path.split("/")[2]:
            case "GET", "kv-key":
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (200, item)
            case "GET", "kv-range":
                return 200, self._range(query)
            case "GET", "kv-watch":
                return await self._watch(query)
            case "POST", "kv-txn":
                return self._transaction(body)
            case "POST", "kv-lease":
                lease, seconds = self.next_lease, body["ttl_ms"] / 1_000
                self.next_lease += 1
                self.leases[lease] = time.monotonic() + seconds, seconds
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case "POST", "kv-keep":
                known = self.leases.get(int(last))
                if known is None:
                    return 404, {}
                self.leases[int(last)] = time.monotonic() + known[1], known[1]
                return 200, {"ttl_ms": int(known[1] * 1_000)}
            case "DELETE", "kv-lease-end":
                return (200, {}) if self._end_lease(int(last)) else (404, {})
        return 404, {}

    def _range(self, query: dict) -> dict:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and (not after or key > after)
        )
        return {
            "entries": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "at": self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after, era = int(query["after"]), self.era
        end = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            if after < self.oldest or after > self.revision or era != self.era:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query.get("prefix", ""))
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _transaction(self, body: dict) -> tuple[int, dict]:
        expected = body.get("expected_revision", [])
        current = [self.items.get(row["key"], {"revision": 0}) for row in expected]
        if any(
            item["revision"] != row["revision"]
            for item, row in zip(current, expected, strict=True)
        ):
            return 412, {"entries": current}
        writes = body.get("write", [])
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease") or 0)
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
