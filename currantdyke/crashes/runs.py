"""Runs of requests on endpoints, as evidence for and against their keys."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint

__all__ = ["EndpointRun"]

# Longest wait of a request for the probe that decides whether it is sent again.
SETTLE_TIMEOUT_SECONDS = 0.25
# An answer that goes on for this long after its first event has not crashed the
# endpoint: crashes occur as an answer begins.
CLEAN_SECONDS = 0.5


@attrs.define(kw_only=True, eq=False)
class EndpointRun:
    """A run of a request on an endpoint, as seen by the daemon that sent it.

    Attributes
    ----------
    on_clean : callable
        Called once with the keys and the start of an answer that caused no crash.
    on_loss : callable
        Called with the run if its connection was lost; sets `probed` later.
    began_at : float or None
        Time of the first data of the answer.
    clean : bool
        Whether the answer is known to have caused no crash.
    abandoned : bool
        Whether this daemon closed the connection.
    probed : anyio.Event or None
        Set once it is known whether the endpoint still listens; None unless the run
        was lost.
    """

    keys: frozenset[str]
    endpoint: Endpoint
    sent_at: float
    on_clean: Callable[[frozenset[str], float], None]
    on_loss: Callable[["EndpointRun"], None]
    began_at: float | None = None
    clean: bool = False
    abandoned: bool = False
    probed: anyio.Event | None = None

    def record_data(self) -> None:
        """Record that a part of the answer has arrived."""
        if self.clean:
            return
        now = anyio.current_time()
        if self.began_at is None:
            self.began_at = now
        elif now >= self.began_at + CLEAN_SECONDS:
            self.finish()

    def finish(self) -> None:
        """Record that the answer is complete, or went on for long enough."""
        if self.clean:
            return
        self.clean = True
        if self.began_at is not None:
            self.on_clean(self.keys, self.began_at)

    def lose(self, *, abandoned: bool = False) -> None:
        """Record that the connection was lost; the endpoint may have crashed.

        Parameters
        ----------
        abandoned : bool
            Whether this daemon closed the connection to a silent endpoint.
        """
        self.abandoned = abandoned
        if not self.clean:
            self.probed = anyio.Event()
            self.on_loss(self)

    async def settle(self) -> None:
        """Wait until it is known whether the endpoint crashed, if the run was lost."""
        if self.probed is not None:
            with anyio.move_on_after(SETTLE_TIMEOUT_SECONDS):
                await self.probed.wait()
