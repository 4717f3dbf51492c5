"""The adapter for services that speak the etcd v3 JSON gateway.

References
----------
etcd documentation, "gRPC gateway": keys and values in base64, 64-bit integers as
strings, streams as one JSON object a line.
"""

import base64
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import attrs
import httpx
from expression import Error, Ok, Result

from currantdyke.store.port import Conflict, Entry, StoreError, Unavailable, Unknown

__all__ = ["EtcdStore"]

CALL_TIMEOUT_SECONDS = 2.0
PATIENT_RETRY_SECONDS = 0.25


def encode(text: str | bytes) -> str:
    """Return text or bytes in base64."""
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def decode(text: str) -> bytes:
    """Return the bytes behind base64 text."""
    return base64.b64decode(text)


def prefix_end(prefix: str) -> str:
    """Return the end of the range of all keys that begin with ``prefix``."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return encode(bytes(raw))


def entry_of(pair: dict[str, Any]) -> Entry:
    """Return the entry that a gateway's key-value object describes."""
    return Entry(
        key=decode(pair["key"]).decode(),
        value=decode(pair.get("value", "")),
        revision=int(pair["mod_revision"]),
        lease=int(pair.get("lease", 0)),
    )


@attrs.define(kw_only=True)
class EtcdStore:
    """The store behind a gateway's URL.

    Attributes
    ----------
    client : httpx.AsyncClient
        The client to call with; its transport may be in memory.
    url : str
        The gateway's base URL.
    count : callable
        Called with duty, call and result after each call.
    patience_seconds : float
        How long a call that provably did nothing is tried again.  Daemons have
        none: their duties know better when to come back.
    """

    client: httpx.AsyncClient
    url: str
    count: Callable[[str, str, str], None] = lambda duty, call, result: None
    patience_seconds: float = 0.0

    async def get(self, key: str, *, duty: str) -> Result[Entry | None, Unavailable]:
        """Return the entry of a key, or None."""
        answer = await self._read(duty, "get", "/v3/kv/range", {"key": encode(key)})
        return answer.map(
            lambda body: next(map(entry_of, body.get("kvs", ())), None),
        )

    async def list(self, prefix: str, *, duty: str) -> Result[list[Entry], Unavailable]:
        """Return all entries under a prefix, by key."""
        question = {"key": encode(prefix), "range_end": prefix_end(prefix)}
        answer = await self._read(duty, "list", "/v3/kv/range", question)
        return answer.map(lambda body: list(map(entry_of, body.get("kvs", ()))))

    async def compare_and_swap(
        self, key: str, expected: int, value: bytes, *, duty: str, lease: int = 0
    ) -> Result[int, StoreError]:
        """Write if the key is at revision ``expected`` (0: if absent)."""
        put: dict[str, Any] = {"key": encode(key), "value": encode(value)}
        if lease:
            put["lease"] = str(lease)
        return await self._transact(
            "compare_and_swap", key, expected, {"request_put": put}, duty
        )

    async def delete(
        self, key: str, expected: int, *, duty: str
    ) -> Result[int, StoreError]:
        """Delete a key that is at revision ``expected``."""
        operation = {"request_delete_range": {"key": encode(key)}}
        return await self._transact("delete", key, expected, operation, duty)

    async def grant_lease(self, seconds: int, *, duty: str) -> Result[int, Unavailable]:
        """Return the id of a new lease."""
        question = {"TTL": str(seconds)}
        answer = await self._read(duty, "grant_lease", "/v3/lease/grant", question)
        return answer.map(lambda body: int(body["ID"]))

    async def keep_alive(self, lease: int, *, duty: str) -> Result[bool, Unavailable]:
        """Renew a lease; False where it has lapsed."""
        question = {"ID": str(lease)}
        answer = await self._read(duty, "keep_alive", "/v3/lease/keepalive", question)
        return answer.map(
            lambda body: int(body.get("result", {}).get("TTL", 0)) > 0,
        )

    async def watch(
        self, prefix: str, from_revision: int, *, duty: str
    ) -> AsyncIterator[Entry]:
        """Yield entries as they are written; ends when the watch breaks."""
        create = {
            "key": encode(prefix),
            "range_end": prefix_end(prefix),
            "start_revision": str(from_revision),
        }
        self.count(duty, "watch", "started")
        try:
            async with self.client.stream(
                "POST",
                f"{self.url}/v3/watch",
                json={"create_request": create},
                timeout=httpx.Timeout(CALL_TIMEOUT_SECONDS, read=None),
            ) as response:
                async for line in response.aiter_lines():
                    for event in json.loads(line)["result"].get("events", ()):
                        if event.get("type", "PUT") == "PUT":
                            yield entry_of(event["kv"])
        except (httpx.HTTPError, ValueError, KeyError):
            self.count(duty, "watch", "broken")

    async def _transact(
        self,
        call: str,
        key: str,
        expected: int,
        operation: dict[str, Any],
        duty: str,
    ) -> Result[int, StoreError]:
        compare = {
            "key": encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected),
        }
        question = {
            "compare": [compare],
            "success": [operation],
            "failure": [{"request_range": {"key": encode(key)}}],
        }
        answer = await self._patient_post("/v3/kv/txn", question, is_read=False)
        if answer.is_error():
            self.count(duty, call, _result_label(answer))
            return Error(answer.error)
        body = answer.ok
        if body.get("succeeded"):
            self.count(duty, call, "ok")
            return Ok(int(body["header"]["revision"]))
        self.count(duty, call, "conflict")
        pairs = body["responses"][0]["response_range"].get("kvs", ())
        return Error(Conflict(current=next(map(entry_of, pairs), None)))

    async def _read(
        self, duty: str, call: str, path: str, question: dict[str, Any]
    ) -> Result[dict[str, Any], Unavailable]:
        answer = await self._patient_post(path, question, is_read=True)
        self.count(duty, call, _result_label(answer))
        return answer.map_error(lambda error: Unavailable(detail=error.detail))

    async def _patient_post(
        self, path: str, question: dict[str, Any], *, is_read: bool
    ) -> Result[dict[str, Any], Unavailable | Unknown]:
        """Post until there is an answer, or patience ends.

        A write that may stand is never sent again here: see ``settled_swap``.
        """
        ends = anyio.current_time() + self.patience_seconds
        while True:
            answer = await self._post(path, question)
            if answer.is_ok() or anyio.current_time() >= ends:
                return answer
            if not is_read and isinstance(answer.error, Unknown):
                return answer
            await anyio.sleep(PATIENT_RETRY_SECONDS)

    async def _post(
        self, path: str, question: dict[str, Any]
    ) -> Result[dict[str, Any], Unavailable | Unknown]:
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                response = await self.client.post(
                    self.url + path, json=question, timeout=CALL_TIMEOUT_SECONDS
                )
        except TimeoutError:
            return Error(Unknown(detail=f"no answer in {CALL_TIMEOUT_SECONDS:g} s"))
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return Error(Unavailable(detail=repr(error)))
        except httpx.HTTPError as error:
            return Error(Unknown(detail=repr(error)))
        if response.status_code in (429, 503):
            return Error(Unavailable(detail=f"status {response.status_code}"))
        if response.status_code != 200:
            return Error(Unknown(detail=f"status {response.status_code}"))
        try:
            return Ok(response.json())
        except ValueError as error:
            return Error(Unknown(detail=repr(error)))


def _result_label(answer: Result) -> str:
    return "ok" if answer.is_ok() else type(answer.error).__name__.lower()
