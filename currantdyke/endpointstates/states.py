"""Record what endpoints say of themselves in their answers."""

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.endpointstates.leaving import LeavingEndpoints
from currantdyke.endpointstates.pauses import PauseTable
from currantdyke.platform.answers import ResponseMetadata

__all__ = ["EndpointStates"]


@attrs.define(kw_only=True, eq=False)
class EndpointStates:
    """Passes on what the heads of answers say, except of misdirected requests.

    Those were answered by another endpoint, which has the address now.
    """

    limits: EndpointLimits
    leaving: LeavingEndpoints
    pauses: PauseTable

    def record_response(
        self, endpoint: Endpoint, facts: ResponseMetadata, sent_at: float
    ) -> None:
        """Record the head of an answer to a request that was sent at a time."""
        if facts.misdirected:
            return
        self.limits.record_response(endpoint, facts, sent_at)
        if facts.leaving:
            self.leaving.record(endpoint)
        if facts.pause is not None:
            self.pauses.record(endpoint, facts.pause, now=anyio.current_time())
