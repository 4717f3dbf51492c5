"""The endpoints of each service, with their state and load."""

import attrs

from currantdyke.bundle.schema import Bundle, EndpointSpec

__all__ = ["Endpoint", "EndpointTable"]

COST_SMOOTHING = 0.2


@attrs.define(kw_only=True, eq=False)
class Endpoint:
    """One endpoint of a service.

    Attributes
    ----------
    in_flight : int
        This daemon's calls under way there.
    leaving : bool
        It gets no new work; sticky until its identity changes.
    seconds : float or None
        Smoothed time of a call, None before the first.
    failures_in_row : int
        Calls failed since the last that did not.
    """

    service: str
    spec: EndpointSpec
    in_flight: int = 0
    leaving: bool = False
    seconds: float | None = None
    failures_in_row: int = 0

    @property
    def name(self) -> str:
        """Return the name of the endpoint's VM."""
        return self.spec.name

    def observe(self, seconds: float) -> None:
        """Blend in the time of a call that ended well."""
        self.failures_in_row = 0
        if self.seconds is None:
            self.seconds = seconds
        else:
            self.seconds += COST_SMOOTHING * (seconds - self.seconds)


class EndpointTable:
    """All endpoints that the bundle in force names."""

    def __init__(self):
        self.by_service: dict[str, dict[str, Endpoint]] = {}

    def follow(self, bundle: Bundle) -> None:
        """Take over a bundle's endpoints; known ones keep their state."""
        self.by_service = {
            name: {spec.name: self._kept(name, spec) for spec in service.endpoints}
            for name, service in bundle.services.items()
        }

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service."""
        return list(self.by_service.get(service, {}).values())

    def named(self, name: str) -> list[Endpoint]:
        """Return the endpoints on a VM, of whatever service."""
        found = (endpoints.get(name) for endpoints in self.by_service.values())
        return [endpoint for endpoint in found if endpoint is not None]

    def renew(self, name: str) -> None:
        """Begin anew with a VM that was replaced at the same address."""
        for endpoint in self.named(name):
            self.by_service[endpoint.service][name] = Endpoint(
                service=endpoint.service, spec=endpoint.spec
            )

    def _kept(self, service: str, spec: EndpointSpec) -> Endpoint:
        known = self.by_service.get(service, {}).get(spec.name)
        if known is None or known.spec.url != spec.url:
            return Endpoint(service=service, spec=spec)
        known.spec = spec
        return known
