"""Runs of one request at several endpoints, of which the first to serve it wins."""

import math
from collections.abc import Awaitable, Callable, Iterable

import anyio
import anyio.abc
import attrs

from currantdyke.decisionlog import DecisionLog, log_internal_error

__all__ = ["Race", "Run"]

# Bounds the rate of checks for silence, whatever a route's target latency.
MIN_SILENCE_SECONDS = 0.05
# A cancelled run that has received nothing for this long is logged as silent.
SILENT_RUN_SECONDS = 0.5
GIVEN_UP = "given up for another"
SILENT = "silent until the end"
WITHIN_EVENT = "cancelled within an event that did not end"
CANCELLED = "cancelled"
INTERNAL_ERROR = "internal error"


@attrs.define(kw_only=True, eq=False)
class Run:
    """An attempt to have a request served by one endpoint.

    Attributes
    ----------
    instance : str
        The endpoint; empty until one is chosen.
    sent : bool
        Whether sending of the request has started.
    heard : bool
        Whether anything was received.
    given_up : bool
        Whether another run serves the request.
    version : str
        Software version of the endpoint.
    heard_at : float
        Monotonic time in seconds at which it was sent or last received anything; of a
        stream, the last whole event.
    partial_since : float or None
        Monotonic time in seconds at which a part of an event arrived whose end has not;
        None if there is no such event.
    """

    instance: str = ""
    sent: bool = False
    heard: bool = False
    given_up: bool = False
    version: str = ""
    heard_at: float = attrs.field(factory=anyio.current_time)
    partial_since: float | None = None
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    def record_heard(self) -> None:
        """Record that something was received."""
        self.heard = True
        self.heard_at = anyio.current_time()
        self.partial_since = None

    def record_partial_event(self) -> None:
        """Record that a part of an event was received, but not its end."""
        if self.partial_since is None:
            self.partial_since = anyio.current_time()

    def partial_seconds(self) -> float:
        """Return for how long an event has been arriving; 0 if none has begun."""
        if self.partial_since is None:
            return 0.0
        return anyio.current_time() - self.partial_since

    def is_stuck(self) -> bool:
        """Return whether an event began long ago and has not ended."""
        return self.partial_seconds() >= SILENT_RUN_SECONDS

    def cancelled_outcome(self) -> str:
        """Return the log's outcome of an attempt that was cancelled."""
        if self.given_up:
            return GIVEN_UP
        if self.is_stuck():
            return WITHIN_EVENT
        silent = anyio.current_time() - self.heard_at >= SILENT_RUN_SECONDS
        return SILENT if silent else CANCELLED


@attrs.define(kw_only=True, eq=False)
class Race:
    """The live runs of a request.

    A run is given up only when another one serves the request. Until then, a silent run
    goes on beside those that are started because of its silence.

    Attributes
    ----------
    live : list of Run
        Runs that have not ended, in the order of their start.
    silent_at : float
        Monotonic time in seconds at which the runs count as silent; infinite while
        silence is not measured.
    silence_seconds : float
        The time for which silence was measured last.
    paused : bool
        Whether silence is not measured, because a response is being relayed.
    log : DecisionLog or None
        Receives the errors of runs beside which another one goes on.
    """

    log: DecisionLog | None = None
    live: list[Run] = attrs.field(factory=list)
    silent_at: float = math.inf
    silence_seconds: float = MIN_SILENCE_SECONDS
    paused: bool = False
    error: Exception | None = None
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    tasks: anyio.abc.TaskGroup | None = None

    async def run(self, control: Callable[[], Awaitable[None]]) -> None:
        """Await ``control``, which starts runs, and end the runs that are left."""
        error: Exception | None = None
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            try:
                await control()
            except Exception as raised:
                # Raised below, since the task group would wrap it in a group.
                error = raised
            tasks.cancel_scope.cancel()
        if error is not None:
            raise error

    def start(self, function: Callable[[Run], Awaitable[None]]) -> None:
        """Start a run; silence is measured again once it is sent or has ended."""
        assert self.tasks is not None
        run = Run()
        self.live.append(run)
        self.stop_measuring()
        self.tasks.start_soon(self._run, run, function)

    def record_sent(self, run: Run, silence_seconds: float) -> None:
        """Record that a run is being sent."""
        run.sent = True
        run.heard_at = anyio.current_time()
        self.extend(silence_seconds)
        self._notify()

    def extend(self, silence_seconds: float) -> None:
        """Count the runs as silent only after this time, in seconds from now."""
        self.silence_seconds = max(MIN_SILENCE_SECONDS, silence_seconds)
        self.silent_at = anyio.current_time() + self.silence_seconds

    def stop_measuring(self) -> None:
        """Don't count the runs as silent until one is sent, goes on or ends."""
        self.silent_at = math.inf

    def claim(self, run: Run) -> bool:
        """Give up all other runs; return False if this one was given up.

        A run must claim the request each time before it relays anything of a response,
        without an ``await`` between.
        """
        if run.given_up:
            return False
        self._give_up(other for other in self.live if other is not run)
        return True

    def give_up_all(self) -> None:
        """Give up all runs, so that something else than their responses is relayed."""
        self._give_up(self.live)

    def _give_up(self, runs: Iterable[Run]) -> None:
        for run in runs:
            run.given_up = True
            run.scope.cancel()

    def has_others(self, run: Run) -> bool:
        """Return whether another run may still serve the request."""
        return any(other is not run and not other.given_up for other in self.live)

    def is_silent(self) -> bool:
        """Return whether all runs were sent and are silent."""
        return (
            not self.paused
            and anyio.current_time() >= self.silent_at
            and all(run.sent for run in self.live)
        )

    async def wait(self) -> None:
        """Wait until a run is sent or ends, or until the runs count as silent.

        Raises
        ------
        Exception
            The error of a run that failed when no other one was left.
        """
        changed = self.changed
        timeout = max(MIN_SILENCE_SECONDS, self.silent_at - anyio.current_time())
        with anyio.move_on_after(timeout):
            await changed.wait()
        if self.error is not None:
            raise self.error

    async def _run(self, run: Run, function: Callable[[Run], Awaitable[None]]) -> None:
        try:
            with run.scope:
                await function(run)
        except Exception as error:
            if not self.has_others(run):
                # Raised by `wait`, in the task that serves the request.
                self.error = self.error or error
            elif self.log is not None:
                log_internal_error(self.log, error, where="run of a request")
        finally:
            self.live.remove(run)
            # The run that ended may have been the reason to measure no silence.
            if self.silent_at == math.inf:
                self.extend(self.silence_seconds)
            self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
