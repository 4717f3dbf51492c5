"""Runs of requests on endpoints, as evidence for and against their keys."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint

__all__ = ["EndpointRun"]

# Longest wait of a request for the probe that decides whether it is sent again.
SETTLE_TIMEOUT_SECONDS = 0.25
# An answer that goes on is checked this long after its first data, and again after each
# doubling of that time.
FIRST_CHECK_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class EndpointRun:
    """A run of a request on an endpoint, as seen by the daemon that sent it.

    Attributes
    ----------
    born : int
        Start of the endpoint's lifetime, as far as this daemon knows.
    on_progress : callable
        Called with the run as its answer goes on, and when it is complete.
    on_stop : callable
        Called with a run that this daemon ended.
    on_loss : callable
        Called with the run if its connection was lost; sets `probed` later.
    began_at : float or None
        Time of the first data of the answer.
    complete : bool
        Whether the whole answer has arrived.
    abandoned : bool
        Whether this daemon closed the connection.
    probed : anyio.Event or None
        Set once it is known whether the endpoint still listens; None unless the run
        was lost.
    """

    keys: frozenset[str]
    endpoint: Endpoint
    born: int
    sent_at: float
    on_progress: Callable[["EndpointRun"], None]
    on_stop: Callable[["EndpointRun"], None]
    on_loss: Callable[["EndpointRun"], None]
    began_at: float | None = None
    check_after: float = FIRST_CHECK_SECONDS
    complete: bool = False
    abandoned: bool = False
    probed: anyio.Event | None = None

    def record_data(self) -> None:
        """Record that a part of the answer has arrived."""
        now = anyio.current_time()
        if self.began_at is None:
            self.began_at = now
        elif now >= self.began_at + self.check_after:
            self.check_after *= 2.0
            self.on_progress(self)

    def finish(self) -> None:
        """Record that the answer is complete."""
        if not self.complete:
            self.complete = True
            if self.began_at is not None:
                self.on_progress(self)

    def stop(self) -> None:
        """Record that this daemon ended a run that had not failed.

        The endpoint may have begun to crash on it.
        """
        if not self.complete:
            self.on_stop(self)

    def lose(self, *, abandoned: bool = False) -> None:
        """Record that the connection was lost; the endpoint may have crashed.

        Parameters
        ----------
        abandoned : bool
            Whether this daemon closed the connection to a silent endpoint.
        """
        self.abandoned = abandoned
        if not self.complete:
            self.probed = anyio.Event()
            self.on_loss(self)

    async def settle(self) -> None:
        """Wait until it is known whether the endpoint crashed, if the run was lost."""
        if self.probed is not None:
            with anyio.move_on_after(SETTLE_TIMEOUT_SECONDS):
                await self.probed.wait()
