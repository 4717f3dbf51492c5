"""State of the endpoints as known to one daemon."""

from currantdyke.endpoints.liveness import EndpointLiveness
from currantdyke.endpoints.table import Endpoint, EndpointTable

__all__ = ["Endpoint", "EndpointLiveness", "EndpointTable"]
