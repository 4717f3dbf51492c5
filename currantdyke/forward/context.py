"""State shared by all forwarded requests of a daemon."""

import random
from collections.abc import Callable

import anyio
import attrs

from currantdyke.catalog import Endpoint
from currantdyke.crashes import CrashDetector
from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import Directory
from currantdyke.endpointlimits.client import EndpointLimits
from currantdyke.endpointloads.table import LoadTable
from currantdyke.endpointslots.client import EndpointSlots
from currantdyke.endpointstates.pauses import PauseTable
from currantdyke.endpointstates.states import EndpointStates
from currantdyke.forward.attempt import OutgoingRequest
from currantdyke.forward.budget import FleetRetryBudget
from currantdyke.forward.connections import EndpointConnections
from currantdyke.forward.exchange import Exchange
from currantdyke.forward.health import HealthTable
from currantdyke.platform.requests import EndpointHeaderValues, endpoint_headers
from currantdyke.streamversions.client import FleetStreamVersions

__all__ = ["ForwardContext", "build_outgoing_request"]


@attrs.define(kw_only=True, eq=False)
class ForwardContext:
    """Connections, endpoint health and retry budgets of one daemon.

    Attributes
    ----------
    retry_ratio, retry_window, retry_slack : float
        Bounds of the retry budgets, as in ``FleetRetryBudget``.
    count_daemons : callable
        Returns the number of daemons that share the fleet's budgets.
    states : EndpointStates
        What endpoints say of themselves, by which requests are sent or not.
    slots : EndpointSlots
        Slots of fragile endpoints.
    versions : FleetStreamVersions
        The versions that began streams, at which they go on.
    """

    directory: Directory
    log: DecisionLog
    availability_zone: str
    retry_ratio: float
    retry_window: float
    retry_slack: float
    count_daemons: Callable[[], int]
    crashes: CrashDetector
    states: EndpointStates
    versions: FleetStreamVersions
    slots: EndpointSlots
    connections: EndpointConnections = attrs.field(factory=EndpointConnections)
    health: HealthTable = attrs.field(factory=HealthTable)
    budgets: dict[str, FleetRetryBudget] = attrs.field(factory=dict)
    random_source: random.Random = attrs.field(factory=random.Random)

    def __attrs_post_init__(self) -> None:
        """Record what all responses say of their endpoints."""
        self.connections.on_response = self.states.record_response

    @property
    def limits(self) -> EndpointLimits:
        """The limits that endpoints name, within which requests are sent."""
        return self.states.limits

    @property
    def loads(self) -> LoadTable:
        """The loads that endpoints state."""
        return self.states.loads

    @property
    def pauses(self) -> PauseTable:
        """The endpoints that have asked for a pause."""
        return self.states.pauses

    def set_retry_bounds(self, *, ratio: float, window: float, slack: float) -> None:
        """Set the bounds of the retry budgets; a change resets the budgets."""
        bounds = (ratio, window, slack)
        if bounds != (self.retry_ratio, self.retry_window, self.retry_slack):
            self.retry_ratio, self.retry_window, self.retry_slack = bounds
            self.budgets.clear()

    def budget(self, service: str) -> FleetRetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = FleetRetryBudget(
                ratio=self.retry_ratio, window=self.retry_window, slack=self.retry_slack
            )
        return budget

    def take_retry(self, service: str) -> bool:
        """Take one retry from a service's budget; return whether one was left."""
        return self.budget(service).spend(
            now=anyio.current_time(), daemons=self.count_daemons()
        )


def build_outgoing_request(
    exchange: Exchange,
    endpoint: Endpoint,
    *,
    stage_inputs: tuple[str, ...] | None = None,
    rank: int | None = None,
    last_event_id: bytes | None = None,
) -> OutgoingRequest:
    """Build the request for an endpoint, with the time that is left now."""
    terms = EndpointHeaderValues(
        instance=endpoint.instance,
        remaining=exchange.deadline_at - anyio.current_time(),
        workspace=exchange.workspace,
        stage_inputs=stage_inputs,
        rank=rank,
        last_event_id=last_event_id,
    )
    return OutgoingRequest(
        method=exchange.request.method,
        target=exchange.request.target,
        headers=endpoint_headers(exchange.request, exchange.body, terms),
        body=exchange.body,
        attempt_id=exchange.facts.attempt_id or None,
        once=not exchange.route.may_repeat,
    )
