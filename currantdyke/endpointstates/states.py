"""Record what endpoints say of themselves in their answers."""

from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.endpointloads.table import LoadTable
from currantdyke.endpointslots.fragile import FragileServices
from currantdyke.endpointstates.leaving import LeavingEndpoints
from currantdyke.endpointstates.messages import EndpointPaused
from currantdyke.endpointstates.pauses import PauseTable
from currantdyke.platform.answers import ResponseMetadata

__all__ = ["EndpointStates"]


@attrs.define(kw_only=True, eq=False)
class EndpointStates:
    """Passes on what the heads of answers say, except of misdirected requests.

    Those were answered by another endpoint, which has the address now.

    Attributes
    ----------
    send : callable
        Sends a notification to a daemon by its IP.
    loads : LoadTable
        The loads that endpoints state, for this daemon only.
    """

    limits: EndpointLimits
    leaving: LeavingEndpoints
    pauses: PauseTable
    send: Callable[[str, EndpointPaused], None]
    fragile: FragileServices
    loads: LoadTable = attrs.field(factory=LoadTable)

    def record_response(
        self, endpoint: Endpoint, facts: ResponseMetadata, sent_at: float, via: str
    ) -> None:
        """Record the head of an answer.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent.
        via : str
            IP of the daemon through whose tunnel it was; empty for none. What the
            endpoint asks of its sender binds that daemon too.
        """
        if facts.misdirected:
            return
        self.limits.record_response(endpoint, facts, sent_at)
        if endpoint.instance in self.leaving.endpoints.known:
            self.loads.record_response(endpoint, facts, anyio.current_time())
        if facts.leaving:
            self.leaving.record(endpoint)
        if facts.fragile:
            self.fragile.record(endpoint)
        if facts.pause is not None:
            self.pauses.record(endpoint, facts.pause, now=anyio.current_time())
            if via:
                paused = EndpointPaused(
                    instance=endpoint.instance, born=endpoint.born, seconds=facts.pause
                )
                self.send(via, paused)

    def handle_pause(self, paused: EndpointPaused) -> None:
        """Record a pause that an endpoint asked for through this daemon's tunnel."""
        endpoint = self.leaving.endpoints.known.get(paused.instance)
        if endpoint is not None and endpoint.born == paused.born:
            self.pauses.record(endpoint, paused.seconds, now=anyio.current_time())
