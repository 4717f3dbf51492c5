"""Endpoints of each service with their state and load."""

import math

import attrs

from currantdyke.bundle.schema import Bundle, EndpointSpec

__all__ = ["Endpoint", "EndpointTable"]

DURATION_SMOOTHING_FACTOR = 0.2
PACE_SMOOTHING_FACTOR = 0.3
LOAD_REPORT_DECAY_SECONDS = 2.0


@attrs.define(kw_only=True, eq=False)
class Endpoint:
    """One endpoint of a service.

    Attributes
    ----------
    in_flight : int
        Calls of this daemon that are in progress at the endpoint.
    leaving : bool
        Whether the endpoint is shutting down and gets no new work; its later
        responses do not reset this.
    seconds : float or None
        Smoothed duration of a successful call; None before the first one.
    failures_in_row : int
        Consecutive failed calls.
    failed_at : float
        Monotonic time of the latest failure in seconds.
    reported_load, reported_at, in_flight_at_report : float, float, int
        Calls in progress at the endpoint according to its latest report, the time to
        which that number refers, and this daemon's own calls when the report arrived.
    pace, pace_measured_at : float or None, float
        Smoothed seconds per unit of work (a token, or a call), and the time of the
        last measurement.
    """

    service: str
    spec: EndpointSpec
    in_flight: int = 0
    leaving: bool = False
    seconds: float | None = None
    failures_in_row: int = 0
    failed_at: float = 0.0
    reported_load: float | None = None
    reported_at: float = 0.0
    in_flight_at_report: int = 0
    pace: float | None = None
    pace_measured_at: float = 0.0

    @property
    def name(self) -> str:
        """Name of the endpoint's VM."""
        return self.spec.name

    def record_load(self, load: float, measured_at: float) -> None:
        """Store a load report unless a newer one is known.

        Parameters
        ----------
        load : float
            Calls in progress at the endpoint.
        measured_at : float
            Monotonic time to which the load refers, in seconds.
        """
        if self.reported_load is not None and measured_at < self.reported_at:
            return
        self.reported_load = load
        self.reported_at = measured_at
        self.in_flight_at_report = self.in_flight

    def expected_load(self, now: float, share: float) -> float:
        """Estimate the calls in progress at the endpoint, over all daemons.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        share : float
            This daemon's part of all calls to the service. As a report ages, weight
            shifts from the report to this daemon's own calls divided by ``share``.
        """
        scaled = self.in_flight / share
        if self.reported_load is None:
            return scaled
        estimate = self.reported_load + self.in_flight - self.in_flight_at_report
        weight = math.exp((self.reported_at - now) / LOAD_REPORT_DECAY_SECONDS)
        return weight * max(self.in_flight, estimate) + (1.0 - weight) * scaled

    def observe_pace(self, seconds_per_unit: float, now: float) -> None:
        """Update the smoothed seconds per unit of work."""
        self.pace_measured_at = now
        if self.pace is None:
            self.pace = seconds_per_unit
        else:
            self.pace += PACE_SMOOTHING_FACTOR * (seconds_per_unit - self.pace)

    def observe(self, seconds: float) -> None:
        """Record the duration of a successful call in seconds."""
        self.failures_in_row = 0
        if self.seconds is None:
            self.seconds = seconds
        else:
            self.seconds += DURATION_SMOOTHING_FACTOR * (seconds - self.seconds)


class EndpointTable:
    """Endpoints of all services in the bundle in force."""

    def __init__(self):
        self.by_service: dict[str, dict[str, Endpoint]] = {}
        self.lists_by_service: dict[str, list[Endpoint]] = {}

    def follow(self, bundle: Bundle) -> None:
        """Adopt the endpoints of a bundle; known endpoints keep their state."""
        self.by_service = {
            name: {
                spec.name: self._known_or_new(name, spec) for spec in service.endpoints
            }
            for name, service in bundle.services.items()
        }
        self.lists_by_service.clear()

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service, as a new list object after each change."""
        found = self.lists_by_service.get(service)
        if found is None:
            found = list(self.by_service.get(service, {}).values())
            self.lists_by_service[service] = found
        return found

    def named(self, name: str) -> list[Endpoint]:
        """Return the endpoints of all services on a VM."""
        found = (endpoints.get(name) for endpoints in self.by_service.values())
        return [endpoint for endpoint in found if endpoint is not None]

    def reset(self, name: str) -> None:
        """Reset the state of a VM that was replaced at the same address."""
        for endpoint in self.named(name):
            self.by_service[endpoint.service][name] = Endpoint(
                service=endpoint.service, spec=endpoint.spec
            )
            self.lists_by_service.pop(endpoint.service, None)

    def _known_or_new(self, service: str, spec: EndpointSpec) -> Endpoint:
        known = self.by_service.get(service, {}).get(spec.name)
        if known is None or known.spec.url != spec.url:
            return Endpoint(service=service, spec=spec)
        known.spec = spec
        return known
