"""Client of the platform's key-value store."""

import base64
import contextlib
import math
from collections.abc import Callable, Iterator
from urllib.parse import quote

import anyio
import attrs
import h11
import msgspec

from currantdyke.core import Position
from currantdyke.http1 import (
    ConnectionLostError,
    Http1Connection,
    MessageTooLargeError,
    header_values,
    one_value,
    read_body,
    set_socket_options,
)
from currantdyke.platform.configuration import DECODE_ERRORS
from currantdyke.platform.records import ALL_KEYS_PREFIX

__all__ = [
    "Change",
    "ConditionFailedError",
    "HistoryGoneError",
    "Lease",
    "LeaseEndedError",
    "StoreClient",
    "StoreUnavailableError",
    "WatchCutError",
]

# Limit on the time without progress: until the head of the answer has arrived, and
# between parts of its body. A call normally takes 4 ms; a store that is 50 times slower
# still answers in time.
CALL_TIMEOUT_SECONDS = 1.5
# What a daemon may use for coordination; changes that arrive more slowly than this do
# not keep it up to date, and the call fails.
MIN_ANSWER_BYTES_PER_SECOND = 10_000
CONNECT_TIMEOUT_SECONDS = 0.5
# A page holds at most 1 MB, to which base64 adds a third.
MAX_ANSWER_BYTES = 8_000_000
ERA_HEADER = b"store-era"
# No item has a key that begins with it.
UNUSED_PREFIX = "unused/"
# What an exchange lacks while its request is written and its answer has not begun.
NO_ANSWER = "no answer"
# Frames between daemons hold eras of this size.
MAX_ERA = 2**32 - 1


class StoreUnavailableError(Exception):
    """The store did not answer or rejected the call, which may have taken effect."""


class WatchCutError(StoreUnavailableError):
    """The connection of a watch ended before anything of its answer had arrived.

    The store may do that at any time while a watch waits; `StoreClient.read_position`
    shows whether it is available.
    """


class _NotAnsweredError(StoreUnavailableError):
    """The connection ended before anything of the answer had arrived."""


class _AnswerTooLargeError(StoreUnavailableError):
    """The answer exceeds ``MAX_ANSWER_BYTES``."""


class HistoryGoneError(Exception):
    """The changes can't be had from the store; list all items again."""


class ConditionFailedError(Exception):
    """The item has another revision than the write expected."""


class LeaseEndedError(Exception):
    """The store no longer knows the lease."""


@attrs.frozen(kw_only=True)
class Change:
    """An item as last written or removed.

    Attributes
    ----------
    value : bytes or None
        None if the item was removed.
    revision, era : int
        Position of the change in the history of the store.
    """

    key: str
    value: bytes | None
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the change in the history of the store."""
        return Position(self.era, self.revision)


@attrs.frozen(kw_only=True)
class Lease:
    """A lease, which holds in the era in which the store granted it.

    Attributes
    ----------
    number : int
        The store's name for it, which it may give again in a later era.
    """

    number: int
    era: int


@attrs.define(kw_only=True, eq=False)
class _Transfer:
    """Progress of an exchange.

    Attributes
    ----------
    started_at, head_at : float
        Monotonic times of the start and of the arrival of the head, in seconds.
    scope : CancelScope
        Its deadline moves on while the answer arrives.
    awaiting : str
        What is still missing.
    received : int
        Bytes of the answer's body that have arrived.
    length : int or None
        Size of the whole body in bytes; None if it is not announced.
    resumed : Event or None
        While reading the body is paused, set at the end of the pause.
    paused_seconds : float
        Length of the pauses so far.
    """

    started_at: float
    scope: anyio.CancelScope
    head_at: float = math.inf
    awaiting: str = "no connection"
    received: int = 0
    length: int | None = None
    resumed: anyio.Event | None = None
    paused_seconds: float = 0.0

    def record_head(self, response: h11.Response) -> None:
        """Record the arrival of the head of the answer."""
        self.head_at = anyio.current_time()
        self.awaiting = "incomplete answer"
        length = one_value(response.headers, b"content-length")
        self.length = None if length is None else int(length)
        self._extend_deadline()

    async def record_data(self, size: int) -> None:
        """Record the arrival of a part of the body, and wait while it is paused."""
        self.received += size
        self._extend_deadline()
        if self.resumed is not None:
            started = anyio.current_time()
            self.scope.deadline = math.inf
            await self.resumed.wait()
            self.paused_seconds += anyio.current_time() - started
            self._extend_deadline()

    def describe_failure(self, error: Exception) -> str:
        """Return what was missing when the exchange failed."""
        seconds = anyio.current_time() - self.started_at
        cause = str(error) or type(error).__name__
        text = f"{self.awaiting} after {seconds:.2f} s"
        if self.awaiting == "incomplete answer":
            total = "" if self.length is None else f" of {self.length}"
            text += f", {self.received}{total} bytes"
        return f"{text}: {cause}"

    def _extend_deadline(self) -> None:
        slowest = self.head_at + self.paused_seconds
        slowest += self.received / MIN_ANSWER_BYTES_PER_SECOND
        self.scope.deadline = CALL_TIMEOUT_SECONDS + min(anyio.current_time(), slowest)


class StoreClient:
    """Runs calls one at a time over a single connection.

    A call takes as long as its answer keeps arriving, at most the time that the answer
    needs at ``MIN_ANSWER_BYTES_PER_SECOND`` besides its time limit. A call that has to
    wait for another one fails after the time limit; the other one goes on.

    Parameters
    ----------
    address : str
        Host and port, separated by a colon.
    on_unusable_era : callable, optional
        Called with what an answer names as the era, or None, if that is no number or
        lower than before and the last answer was sound; the last known era holds then.

    Attributes
    ----------
    era : int
        The highest era that an answer named; 0 before.
    """

    def __init__(
        self,
        *,
        address: str,
        on_unusable_era: Callable[[str | None], None] = lambda found: None,
    ):
        self.era = 0
        self.names_era = True
        self.on_unusable_era = on_unusable_era
        self.connection: Http1Connection | None = None
        self.lock = anyio.Lock()
        self.transfer: _Transfer | None = None
        self.calls = 0
        self.received_bytes = 0
        self.use(address)

    def use(self, address: str) -> None:
        """Set the address of the store, for new connections."""
        self.host, _, port = address.rpartition(":")
        self.port = int(port)

    @property
    def answer_seconds(self) -> float:
        """Seconds since the head of an answer that is arriving; 0 if none is."""
        if self.transfer is None or math.isinf(self.transfer.head_at):
            return 0.0
        return anyio.current_time() - self.transfer.head_at

    @contextlib.contextmanager
    def pause_answer(self) -> Iterator[None]:
        """Read no more of an answer that is arriving, so that the link is free.

        What is on its way still arrives. The time limits of the call do not run.
        """
        transfer = self.transfer
        if transfer is None or transfer.resumed is not None:
            yield
            return
        transfer.resumed = resumed = anyio.Event()
        try:
            yield
        finally:
            transfer.resumed = None
            resumed.set()

    async def list_all(self) -> tuple[list[Change], Position]:
        """Return all items, and the position after which to watch.

        Raises
        ------
        HistoryGoneError
            If the store returned from a copy between two pages.
        StoreUnavailableError
            If a page could not be read.
        """
        items: list[Change] = []
        after = ""
        position: Position | None = None
        while True:
            target = f"/api/kv-range?prefix={quote(ALL_KEYS_PREFIX, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            page = await self._call("GET", target)
            # Pages are not a consistent snapshot: a watch that starts at the revision
            # of the first page returns what changed between them.
            if position is None:
                position = Position(self.era, page["at"])
            elif position.era != self.era:
                raise HistoryGoneError(f"era {self.era} after {position.era}")
            items += [_decode_change(entry, self.era) for entry in page["entries"]]
            if not page.get("has_more") or not page["entries"]:
                return items, position
            after = items[-1].key

    async def watch(
        self, after: Position, wait: float
    ) -> tuple[list[Change], Position]:
        """Return the changes after a position, waiting up to ``wait`` seconds for one.

        Raises
        ------
        HistoryGoneError
            If the store no longer has them, has returned from a copy since the era of
            the position, or they exceed ``MAX_ANSWER_BYTES``.
        WatchCutError
            If its connection ended without an answer.
        StoreUnavailableError
            If the store did not answer.
        """
        target = (
            f"/api/kv-watch?prefix={quote(ALL_KEYS_PREFIX, safe='')}"
            f"&after={after.revision}&wait_ms={int(wait * 1_000)}"
        )
        try:
            answer = await self._call("GET", target, extra_timeout=wait)
        except _NotAnsweredError as error:
            raise WatchCutError(str(error)) from error
        except _AnswerTooLargeError as error:
            # The same changes are in the answer to the next watch; a list has only the
            # last value of each item.
            raise HistoryGoneError(str(error)) from error
        if self.era != after.era:
            raise HistoryGoneError(f"era {self.era} after {after.era}")
        changes = [_decode_change(event, self.era) for event in answer["events"]]
        return changes, Position(self.era, answer["at"])

    async def read_position(self) -> Position:
        """Return the position of the last change, by a call that does not wait.

        Raises
        ------
        StoreUnavailableError
            If the store did not answer.
        """
        page = await self._call("GET", f"/api/kv-range?prefix={quote(UNUSED_PREFIX)}")
        return Position(self.era, page["at"])

    async def grant_lease(self, ttl: float) -> tuple[Lease, float]:
        """Create a lease; return it and the seconds until it ends if not renewed."""
        body = {"ttl_ms": int(ttl * 1_000)}
        answer = await self._call("POST", "/api/kv-lease", body)
        return Lease(number=answer["lease"], era=self.era), answer["ttl_ms"] / 1_000

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise `LeaseEndedError` if it has ended."""
        self._check_era(lease)
        await self._call("POST", f"/api/kv-keep/{lease.number}")
        self._check_era(lease)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease, which removes its items."""
        self._check_era(lease)
        await self._call("DELETE", f"/api/kv-lease-end/{lease.number}")

    async def write(self, key: str, value: bytes, lease: Lease) -> int:
        """Write an item under a lease, whatever its last value; return its revision.

        Raises
        ------
        LeaseEndedError
            If the lease has ended, or the store has returned from a copy since it was
            granted.
        """
        self._check_era(lease)
        text = base64.b64encode(value).decode()
        body = {
            "expected_revision": [],
            "write": [{"key": key, "value": text, "lease": lease.number}],
            "remove": [],
        }
        revision = (await self._call("POST", "/api/kv-txn", body))["revision"]
        self._check_era(lease)
        return revision

    async def write_if(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease: Lease | None = None,
    ) -> int:
        """Write an item if it has a revision; return its new one.

        Parameters
        ----------
        expected_revision : int
            Revision that the item must have; 0 if it must not exist.

        Raises
        ------
        ConditionFailedError
            If it has another revision. A repeated call also raises it if an earlier
            one took effect without an answer.
        """
        number = 0
        if lease is not None:
            self._check_era(lease)
            number = lease.number
        text = base64.b64encode(value).decode()
        body = {
            "expected_revision": [{"key": key, "revision": expected_revision}],
            "write": [{"key": key, "value": text, "lease": number}],
            "remove": [],
        }
        return (await self._call("POST", "/api/kv-txn", body))["revision"]

    def _check_era(self, lease: Lease) -> None:
        """Raise `LeaseEndedError` for a lease of an earlier era."""
        if lease.era < self.era:
            raise LeaseEndedError(f"era {self.era} after {lease.era}")

    def _record_era(self, response: h11.Response) -> None:
        """Follow the era that an answer names."""
        values = header_values(response.headers, ERA_HEADER)
        text = b", ".join(values).decode("latin-1")
        era = int(text) if text.isascii() and text.isdigit() else -1
        usable = self.era <= era <= MAX_ERA
        if usable:
            self.era = era
        elif self.names_era:
            self.on_unusable_era(text[:100] if values else None)
        self.names_era = usable

    async def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            await self.connection.close()
            self.connection = None

    async def _call(
        self,
        method: str,
        target: str,
        body: dict | None = None,
        *,
        extra_timeout: float = 0.0,
    ) -> dict:
        self.calls += 1
        await self._wait_for_turn()
        try:
            status, data = await self._exchange(method, target, body, extra_timeout)
        finally:
            self.lock.release()
        if status == 410:
            raise HistoryGoneError(f"status {status}")
        if status == 404:
            raise LeaseEndedError
        if status == 412:
            raise ConditionFailedError
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        try:
            return msgspec.json.decode(data) if data else {}
        except DECODE_ERRORS as error:
            raise StoreUnavailableError(f"malformed response: {error}") from error

    async def _wait_for_turn(self) -> None:
        """Acquire the lock."""
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                await self.lock.acquire()
        except TimeoutError as error:
            reason = f"another call in progress for {CALL_TIMEOUT_SECONDS} s"
            raise StoreUnavailableError(reason) from error

    async def _exchange(
        self, method: str, target: str, body: dict | None, extra_timeout: float
    ) -> tuple[int, bytes]:
        """Send a request within its time limit; return the status and the body."""
        now = anyio.current_time()
        scope = anyio.CancelScope(deadline=now + CALL_TIMEOUT_SECONDS + extra_timeout)
        transfer = self.transfer = _Transfer(started_at=now, scope=scope)
        complete = False
        try:
            with scope:
                status, data = await self._transfer(transfer, method, target, body)
            if scope.cancelled_caught:
                raise TimeoutError
            complete = True
        except TimeoutError as error:
            raise StoreUnavailableError(transfer.describe_failure(error)) from error
        except (OSError, ConnectionLostError) as error:
            reason = transfer.describe_failure(error)
            if transfer.awaiting == NO_ANSWER:
                raise _NotAnsweredError(reason) from error
            raise StoreUnavailableError(reason) from error
        except MessageTooLargeError as error:
            raise _AnswerTooLargeError(str(error)) from error
        except h11.ProtocolError as error:
            raise StoreUnavailableError(f"malformed response: {error}") from error
        finally:
            self.transfer = None
            self.received_bytes += transfer.received
            # A connection cannot be used again after an answer on it was lost.
            if not complete:
                await self.close()
        return status, data

    async def _transfer(
        self, transfer: _Transfer, method: str, target: str, body: dict | None
    ) -> tuple[int, bytes]:
        connection = await self._get_connection()
        transfer.awaiting = NO_ANSWER
        data = b"" if body is None else msgspec.json.encode(body)
        headers = [
            (b"host", f"{self.host}:{self.port}".encode()),
            (b"content-type", b"application/json"),
        ]
        if method != "GET":
            headers.append((b"content-length", b"%d" % len(data)))
        await connection.send(
            h11.Request(method=method, target=target, headers=headers),
            h11.Data(data=data),
            h11.EndOfMessage(),
        )
        try:
            response = await connection.next_event()
        except h11.RemoteProtocolError as error:
            if connection.state.trailing_data == (b"", True):
                # An orderly close before the first byte of an answer.
                raise ConnectionLostError("the store closed the connection") from error
            raise
        if not isinstance(response, h11.Response):
            raise ConnectionLostError("the store closed the connection")
        self._record_era(response)
        transfer.record_head(response)
        if transfer.length is not None and transfer.length > MAX_ANSWER_BYTES:
            raise MessageTooLargeError(f"the body is over {MAX_ANSWER_BYTES} bytes")
        answer = await read_body(
            connection, MAX_ANSWER_BYTES, on_data=transfer.record_data
        )
        if connection.reusable:
            connection.state.start_next_cycle()
        else:
            await self.close()
        return response.status_code, answer

    async def _get_connection(self) -> Http1Connection:
        if self.connection is not None and not self.connection.is_quiet():
            await self.close()
        if self.connection is None:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(self.host, self.port)
            set_socket_options(stream)
            self.connection = Http1Connection(stream=stream, role=h11.CLIENT)
        return self.connection


def _decode_change(entry: dict, era: int) -> Change:
    deleted = entry.get("deleted")
    return Change(
        key=entry["key"],
        value=None if deleted else base64.b64decode(entry["value"]),
        revision=entry["revision"],
        era=era,
    )
