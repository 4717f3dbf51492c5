"""State of one request: its events, its readers and its result."""

import math
from typing import Any

import anyio
import attrs
import msgspec

from currantdyke.core import Failure, Outcome
from currantdyke.requests.eventlog import EventLog

__all__ = ["Exchange", "StageRecord"]


@attrs.frozen(kw_only=True)
class StageRecord:
    """Elapsed time of one stage and total time of all its attempts, in seconds."""

    stage: str
    endpoint: str
    attempts: int
    seconds: float
    cost_seconds: float


@attrs.define(kw_only=True, eq=False)
class Exchange:
    """A request that is running or has run on this daemon.

    Its events are kept as long as the request is, so that a caller that lost its
    connection can resume from any event.

    Attributes
    ----------
    started, ended_at : float, float or None
        Monotonic times in seconds; ``ended_at`` is None until the request is settled.
    deadline : float
        Monotonic time in seconds by which the answer is due.
    failure : Failure or None
        The failure; None while the request runs and if it succeeded.
    left_out : list of str
        Optional stages that failed, timed out or were not run.
    first_token_at : float or None
        Monotonic time in seconds of the first token.
    fingerprint : str
        Digest shared by all copies of the request; empty until first needed.
    readers : int
        Number of callers that are reading the events.
    event_added : anyio.Event or None
        Set when the next event is appended; None until a reader waits for it.
    cancelled : bool
        Whether the caller has cancelled the request, possibly before it started.
    """

    request_id: str
    workspace: str
    pipeline: str
    input: Any
    started: float
    deadline: float
    priority: int = 0
    idempotency_key: str = ""
    events: EventLog = attrs.field(factory=EventLog)
    records: list[StageRecord] = attrs.field(factory=list)
    left_out: list[str] = attrs.field(factory=list)
    outcome: Outcome | None = None
    failure: Failure | None = None
    output: Any = None
    first_token_at: float | None = None
    ended_at: float | None = None
    fingerprint: str = ""
    readers: int = 0
    event_added: anyio.Event | None = None
    cancelled: bool = False
    cancel_scope: anyio.CancelScope | None = None

    def attach_cancel_scope(self, scope: anyio.CancelScope) -> None:
        """Set the scope that cancels the run; cancel it if the request already is."""
        self.cancel_scope = scope
        if self.cancelled:
            scope.cancel()

    def cancel(self) -> None:
        """Cancel the run; no effect on a request that has ended."""
        if self.outcome is not None:
            return
        self.cancelled = True
        if self.cancel_scope is not None:
            self.cancel_scope.cancel()

    def append(self, name: str, data: Any) -> None:
        """Append an event and wake the readers."""
        self._append_encoded(name, msgspec.json.encode(data))

    def settle(
        self, *, output: Any = None, failure: Failure | None = None, now: float
    ) -> bool:
        """Set the result if there is none; return whether this call set it."""
        if self.outcome is not None:
            return False
        outcome = failure.outcome if failure else Outcome.DONE
        body = self._result_body(outcome, output, failure)
        data = msgspec.json.encode(body)
        self.ended_at = now
        self.output = output
        self.failure = failure
        self.outcome = outcome
        self._append_encoded("error" if failure else "answer", data)
        self.events.seal()
        return True

    def _append_encoded(self, name: str, data: bytes) -> None:
        self.events.append(name, data)
        if self.event_added is not None:
            self.event_added.set()
            self.event_added = None

    def _result_body(
        self, outcome: Outcome, output: Any, failure: Failure | None
    ) -> dict[str, Any]:
        body: dict[str, Any] = {
            "request_id": self.request_id,
            "outcome": outcome.value,
            "stages": [attrs.asdict(record) for record in self.records],
            "left_out": list(self.left_out),
        }
        if failure is None:
            body["output"] = output
        else:
            body["error"] = failure_body(failure)
        return body

    def final_body(self) -> bytes:
        """Return the data of the last event: the answer or the failure, as JSON."""
        assert self.outcome is not None
        return self.events.last_data

    async def wait_for_event(self, position: int, seconds: float = math.inf) -> bool:
        """Wait for event ``position`` or the result; return False on timeout."""
        with anyio.move_on_after(seconds):
            while self.outcome is None and len(self.events) <= position:
                if self.event_added is None:
                    self.event_added = anyio.Event()
                await self.event_added.wait()
            return True
        return False

    async def wait_until_ended(self, seconds: float = math.inf) -> bool:
        """Wait until the request is settled; return False on timeout."""
        with anyio.move_on_after(seconds):
            while self.outcome is None:
                await self.wait_for_event(len(self.events))
            return True
        return False


def failure_body(failure: Failure) -> dict[str, Any]:
    """Return a failure as the JSON object sent to callers."""
    return {
        "code": failure.kind.code,
        "message": failure.message,
        "outcome": failure.outcome.value,
        "retry_after": failure.retry_after,
    }
