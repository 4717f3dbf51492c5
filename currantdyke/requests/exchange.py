"""One request: its events, its readers and its end."""

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
    """What one stage took: wall seconds and endpoint seconds of all attempts."""

    stage: str
    endpoint: str
    attempts: int
    seconds: float
    cost_seconds: float


@attrs.define(kw_only=True, eq=False)
class Exchange:
    """A request that runs or ran here.

    Its events are kept until it is forgotten, so that a caller who dropped off
    can read on from any of them.

    Attributes
    ----------
    deadline : float
        Monotonic time at which the answer is worth nothing.
    failure : Failure or None
        Why it did not end well.
    left_out : list of str
        Optional stages that failed or were dropped.
    fingerprint : str
        What it has in common with its copies; worked out when first asked for.
    readers : int
        Callers that read it just now.
    cancelled : bool
        The caller has cancelled it, perhaps before it began to run.
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
    first_token: float | None = None
    ended: float | None = None
    fingerprint: str = ""
    readers: int = 0
    grown: anyio.Event | None = None
    cancelled: bool = False
    cancel_scope: anyio.CancelScope | None = None

    def run_within(self, scope: anyio.CancelScope) -> None:
        """Name the scope that ends the run, and end it if it was cancelled."""
        self.cancel_scope = scope
        if self.cancelled:
            scope.cancel()

    def cancel(self) -> None:
        """End the run as soon as can be; a request that has ended stays as it is."""
        if self.outcome is not None:
            return
        self.cancelled = True
        if self.cancel_scope is not None:
            self.cancel_scope.cancel()

    def append(self, name: str, data: Any) -> None:
        """Add an event and wake the readers."""
        self._add(name, msgspec.json.encode(data))

    def settle(
        self, *, output: Any = None, failure: Failure | None = None, now: float
    ) -> bool:
        """End the request once; return whether this call did."""
        if self.outcome is not None:
            return False
        outcome = failure.outcome if failure else Outcome.DONE
        body = self._final(outcome, output, failure)
        data = msgspec.json.encode(body)
        self.ended = now
        self.output = output
        self.failure = failure
        self.outcome = outcome
        self._add("error" if failure else "answer", data)
        self.events.seal()
        return True

    def _add(self, name: str, data: bytes) -> None:
        self.events.append(name, data)
        if self.grown is not None:
            self.grown.set()
            self.grown = None

    def _final(
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
        """Return the last event's data: the answer or the failure, as JSON."""
        assert self.outcome is not None
        return self.events.last_data

    async def wait_grown(self, position: int, seconds: float = math.inf) -> bool:
        """Wait for events from ``position`` on, or the end; return False if late."""
        with anyio.move_on_after(seconds):
            while self.outcome is None and len(self.events) <= position:
                if self.grown is None:
                    self.grown = anyio.Event()
                await self.grown.wait()
            return True
        return False

    async def wait_end(self, seconds: float = math.inf) -> bool:
        """Wait until the request is settled; return False if that takes longer."""
        with anyio.move_on_after(seconds):
            while self.outcome is None:
                await self.wait_grown(len(self.events))
            return True
        return False


def failure_body(failure: Failure) -> dict[str, Any]:
    """Return a failure as callers get it."""
    return {
        "code": failure.kind.code,
        "message": failure.message,
        "outcome": failure.outcome.value,
        "retry_after": failure.retry_after,
    }
